// Package budgeter limits the memory that connections, heads and bodies of a node take. Without
// it, a few clients or backend servers that send bytes without end would end the node's process.
package budgeter

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that a budget has no memory left.
var ErrExhausted = errors.New("no memory left")

// ErrTooLarge means that a body is larger than its own limit.
var ErrTooLarge = errors.New("body too large")

const (
	// firstRead is the size of the first buffer of a body.
	firstRead = 4 << 10
	// maxGrowth is the most bytes that a buffer grows by at a time.
	maxGrowth = 1 << 20
)

// Budget is an amount of memory for one purpose.
type Budget struct {
	// whole is the budget that this one is a part of, or nil.
	whole    *Budget
	limit    int64
	used     atomic.Int64
	refusals atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget that takes its memory from this one, up to a number of bytes. What it leaves is
// kept for others.
func (b *Budget) Part(limit int64) *Budget { return &Budget{whole: b, limit: limit} }

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// TakeRefusals returns how often the budget had no memory since the last call.
func (b *Budget) TakeRefusals() int64 { return b.refusals.Swap(0) }

// add takes n bytes, or gives them back if n is negative.
func (b *Budget) add(n int64) error {
	if used := b.used.Add(n); n > 0 && used > b.limit {
		b.used.Add(-n)
		b.refusals.Add(1)
		return errors.Wrapf(ErrExhausted, "%d of %d bytes in use", used-n, b.limit)
	}
	if b.whole == nil {
		return nil
	}
	if err := b.whole.add(n); err != nil {
		b.used.Add(-n)
		b.refusals.Add(1)
		return err
	}
	return nil
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease returns a lease that takes no memory yet; a nil budget has a lease without a limit.
func (b *Budget) Lease() *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b}
}

// Lease is the memory that one request takes from the budget. Its methods may be called
// by several goroutines, and a nil lease takes nothing.
type Lease struct {
	budget *Budget
	taken  atomic.Int64
}

// Take takes n more bytes.
func (l *Lease) Take(n int64) error {
	if l == nil {
		return nil
	}
	if err := l.budget.add(n); err != nil {
		return err
	}
	l.taken.Add(n)
	return nil
}

// Taken returns the number of bytes taken.
func (l *Lease) Taken() int64 {
	if l == nil {
		return 0
	}
	return l.taken.Load()
}

// Return gives n bytes back.
func (l *Lease) Return(n int64) {
	if l == nil || n == 0 {
		return
	}
	l.taken.Add(-n)
	_ = l.budget.add(-n) // giving back does not fail
}

// Close gives the memory back.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	if n := l.taken.Swap(0); n != 0 {
		_ = l.budget.add(-n) // giving back does not fail
	}
}

// ReadFirst reads the first n bytes of a body, or all of it if it ends before; ended tells which.
func (l *Lease) ReadFirst(r io.Reader, n int64) (b []byte, ended bool, err error) {
	b, err = l.ReadAll(io.LimitReader(r, n), n, -1)
	return b, err == nil && int64(len(b)) < n, err
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
			if err := l.Take(size - int64(cap(buf))); err != nil {
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
