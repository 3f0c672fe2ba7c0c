package admitter

const (
	// callSmoothing is the weight of the present number of running calls in their share.
	callSmoothing = 0.02
	// maxCallShare limits the share of the slots that calls are expected to take.
	maxCallShare = 0.8
)

// callLoad estimates the share of the slots that nested calls take, which customers' requests
// of their priority and less urgent ones do not get.
type callLoad struct {
	running  int
	share    float64
	priority int
	// customerPriority is that of the calls, zero in practice since they have no key.
	customerPriority int
}

// observe counts the running calls when a request is offered.
func (l *callLoad) observe(r Request, slots int) {
	if r.Nested {
		l.priority, l.customerPriority = r.Priority, r.CustomerPriority
	}
	share := min(float64(l.running)/float64(max(slots, 1)), maxCallShare)
	l.share += callSmoothing * (share - l.share)
}

// shareBefore returns the share of the slots that go to calls before a request.
func (l *callLoad) shareBefore(r Request) float64 {
	if r.Nested || r.CustomerPriority < l.customerPriority || (r.CustomerPriority == l.customerPriority && r.Priority < l.priority) {
		return 0
	}
	return l.share
}

func (l *callLoad) start(r Request) {
	if r.Nested {
		l.running++
	}
}

func (l *callLoad) end(r Request) {
	if r.Nested {
		l.running--
	}
}
