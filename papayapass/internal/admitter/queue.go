package admitter

// queue orders requests by their customers' priority, then by their own, nested calls first, then by arrival.
type queue []*Ticket

// before reports whether a request starts before another. Of the same priority, nested calls
// come first: they are short, and the work of the calling request is lost without them and
// holds a slot until they end.
func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.CustomerPriority != o.CustomerPriority:
		return t.CustomerPriority < o.CustomerPriority
	case t.Priority != o.Priority:
		return t.Priority < o.Priority
	case t.Nested != o.Nested:
		return t.Nested
	default:
		return t.arrived < o.arrived
	}
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a request; it implements heap.Interface.
func (q *queue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last request; it implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
