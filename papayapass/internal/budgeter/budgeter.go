// Package budgeter limits the memory that the bodies of all requests and responses of a
// node take together. Without it, a few backend servers that send bytes without end would
// end the node's process.
package budgeter

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that the node has no memory left for a body.
var ErrExhausted = errors.New("no memory left for bodies")

// ErrTooLarge means that a body is larger than its own limit.
var ErrTooLarge = errors.New("body too large")

const (
	// firstRead is the size of the first buffer of a body.
	firstRead = 4 << 10
	// maxGrowth is the most bytes that a buffer grows by at a time.
	maxGrowth = 1 << 20
)

// Budget is the memory for bodies.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease returns a lease that takes no memory yet.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is the memory that one request takes from the budget. Its methods may be called
// by several goroutines, and a nil lease takes nothing.
type Lease struct {
	budget *Budget
	taken  atomic.Int64
}

// take takes n more bytes.
func (l *Lease) take(n int64) error {
	if l == nil {
		return nil
	}
	if used := l.budget.used.Add(n); used > l.budget.limit {
		l.budget.used.Add(-n)
		return errors.Wrapf(ErrExhausted, "%d of %d bytes in use", used-n, l.budget.limit)
	}
	l.taken.Add(n)
	return nil
}

// Close gives the memory back.
func (l *Lease) Close() {
	if l != nil {
		l.budget.used.Add(-l.taken.Swap(0))
	}
}

// ReadAll reads a body of at most limit bytes until its end; expected is its announced
// length, or negative.
func (l *Lease) ReadAll(r io.Reader, limit, expected int64) ([]byte, error) {
	if expected > limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes announced, limit %d", expected, limit)
	}
	size := int64(firstRead)
	if expected >= 0 {
		size = min(expected, maxGrowth)
	}
	var buf []byte
	for {
		if size = min(size, limit+1); int64(cap(buf)) < size {
			if err := l.take(size - int64(cap(buf))); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		for len(buf) < cap(buf) {
			n, err := r.Read(buf[len(buf):cap(buf)])
			buf = buf[:len(buf)+n]
			if errors.Is(err, io.EOF) { // io.ErrUnexpectedEOF is a truncated body
				return buf, nil
			}
			if err != nil {
				return nil, err
			}
		}
		switch {
		case expected >= 0 && int64(len(buf)) >= expected:
			return buf, nil
		case int64(len(buf)) > limit:
			return nil, errors.Wrapf(ErrTooLarge, "limit %d bytes", limit)
		}
		size += min(max(size, firstRead), maxGrowth)
		if expected >= 0 {
			size = min(size, expected)
		}
	}
}
