package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/exchanger"
)

const (
	// streamHeadBytes is how much of a body with an announced length is read before it is passed on. It exceeds
	// what the connections on the way hold, so that a call which is rejected there can be tried again.
	streamHeadBytes = 256 << 10
	// maxStreams is the number of bodies that are passed on while they arrive.
	maxStreams = 4
	// restTimeout is how long the rest of a body that is not served is still read.
	restTimeout = 500 * time.Millisecond
	// streamRetryAfter is the Retry-After if there are too many of them.
	streamRetryAfter = time.Second
)

// errStreams means that no more bodies are passed on while they arrive.
var errStreams = errors.New("too many large bodies")

// largeBodies decides which bodies are passed on while they arrive.
type largeBodies struct {
	// above is the largest body that is kept in memory, or zero if all are.
	above   int64
	running atomic.Int64
}

// take reserves a place for a body, and reports whether there was one.
func (l *largeBodies) take() bool {
	if l.running.Add(1) <= maxStreams {
		return true
	}
	l.running.Add(-1)
	return false
}

// SetLargestKeptBody sets the size above which bodies are passed on while they arrive; it must be called before
// the first request.
func (d *Dispatcher) SetLargestKeptBody(n int64) { d.large.above = n }

// LargeBodies returns the number of bodies that are passed on while they arrive.
func (d *Dispatcher) LargeBodies() int64 { return d.large.running.Load() }

// requestBody is the body of a request, whole or as a stream.
type requestBody struct {
	whole  []byte
	stream *exchanger.Stream
	// place is where a stream has its place, or nil.
	place *largeBodies
}

// close gives back the place of a stream.
func (b *requestBody) close() {
	if b.place != nil {
		b.place.running.Add(-1)
	}
}

// limitRest limits how long the server reads what is left of a body that is not served. Some of it is read so
// that the connection is not reset before the client has the response.
func limitRest(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) // a broken connection fails at its next use
}

// readBody reads a body of at most limit bytes, or the first part of one that is passed on while it arrives.
func (d *Dispatcher) readBody(w http.ResponseWriter, r *http.Request, memory *budgeter.Lease, limit int64) (b requestBody, err error) {
	above := d.large.above
	if above <= 0 || limit <= above || (r.ContentLength >= 0 && r.ContentLength <= above) {
		b.whole, err = memory.ReadAll(http.MaxBytesReader(w, r.Body, limit), limit, r.ContentLength)
		return b, errors.CombineErrors(err, takeUnsent(memory, b.whole))
	}
	if r.ContentLength > limit {
		return b, errors.Wrapf(budgeter.ErrTooLarge, "%d bytes announced, limit %d", r.ContentLength, limit)
	}
	if r.ContentLength > above { // rejected before its body is read
		if !d.large.take() {
			return b, errStreams
		}
		b.place, above = &d.large, streamHeadBytes
	}
	rest := http.MaxBytesReader(w, r.Body, limit)
	head, ended, err := memory.ReadFirst(rest, above)
	if err := errors.CombineErrors(err, takeUnsent(memory, head)); err != nil || ended {
		b.whole = head
		return b, err
	}
	if b.place == nil {
		if !d.large.take() {
			return b, errStreams
		}
		b.place = &d.large
	}
	n := int64(len(head)) // the function must not keep the head itself
	b.stream = exchanger.NewStream(head, rest, r.ContentLength, interrupter(w), func() { memory.Return(n) })
	return b, nil
}

// takeUnsent takes the memory for what the kernel holds of a body while it is sent on.
func takeUnsent(memory *budgeter.Lease, body []byte) error {
	return memory.Take(int64(min(len(body), exchanger.MaxUnsent)))
}

// interrupter returns a function that makes reads of a request's body return. Its connection cannot be used
// for another request then.
func interrupter(w http.ResponseWriter) func() {
	return func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) } // a broken connection fails at its next use
}

// limitRead ends reads of a body when its request can no longer be served, and returns what lifts the limit.
func limitRead(w http.ResponseWriter, r *http.Request, left time.Duration) (lift func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(left)) // a broken connection fails at its next use
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}

// timeLeft returns the time that a request has from its arrival, by its route and its own deadline.
func (d *Dispatcher) timeLeft(h http.Header, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if left, ok := d.codec.Deadline(h); ok {
		timeout = min(timeout, left)
	}
	return timeout
}
