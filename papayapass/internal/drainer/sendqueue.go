package drainer

import (
	"net"
	"sync"

	"papayapass.dev/papayapass/internal/budgeter"
)

// freeUnsent is what the kernel may hold of a connection's answers beside the budget, in bytes. It spares most
// answers a look at their queue.
const freeUnsent = 4 << 10

// SendBudget is the memory that the kernel may take for answers which clients have not read. Writers wait
// for room in it.
type SendBudget struct {
	budget *budgeter.Budget

	mu    sync.Mutex
	freed chan struct{}
}

// NewSendBudget returns a budget of a number of bytes.
func NewSendBudget(limit int64) *SendBudget {
	return &SendBudget{budget: budgeter.NewBudget(limit), freed: make(chan struct{})}
}

// Used returns the number of bytes in use.
func (s *SendBudget) Used() int64 { return s.budget.Used() }

// changed returns a channel that is closed at the next call of signal.
func (s *SendBudget) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

// signal makes the writers look again.
func (s *SendBudget) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.freed)
	s.freed = make(chan struct{})
}

// sendQueue accounts for the answers of a connection that the kernel holds.
type sendQueue struct {
	budget *SendBudget // nil without a limit
	tcp    *net.TCPConn

	mu    sync.Mutex
	lease *budgeter.Lease
	// queued is the most that the kernel can hold.
	queued int64
	closed bool
}

func newSendQueue(b *SendBudget, c net.Conn) *sendQueue {
	if b == nil {
		return &sendQueue{}
	}
	return &sendQueue{budget: b, tcp: tcpConn(c), lease: b.budget.Lease()}
}

// add accounts for n bytes before they are written, and returns false if there is no room for them.
func (q *sendQueue) add(n int64) bool {
	if q.budget == nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return true // the write fails
	}
	if q.queued+n > freeUnsent {
		q.queued = unsent(q.tcp)
	}
	if !q.adjust(q.queued + n) {
		return false
	}
	q.queued += n
	return true
}

// left returns how many bytes the client has not read, or at most freeUnsent.
func (q *sendQueue) left() int64 {
	if q.budget == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued <= freeUnsent {
		return q.queued
	}
	return unsent(q.tcp)
}

// measure gives back what the client has read since.
func (q *sendQueue) measure() {
	if q.budget == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.lease.Taken() == 0 {
		return
	}
	q.queued = unsent(q.tcp)
	q.adjust(q.queued)
}

// adjust makes the lease cover a number of queued bytes if there is room for them. The caller holds q.mu.
func (q *sendQueue) adjust(queued int64) bool {
	need := min(max(queued-freeUnsent, 0), maxUnsent)
	taken := q.lease.Taken()
	if need > taken {
		return q.lease.Take(need-taken) == nil // counted by the budget
	}
	q.lease.Return(taken - need)
	return true
}

func (q *sendQueue) held() int64 { return q.lease.Taken() }

// close ends the account.
func (q *sendQueue) close() {
	if q.budget == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.lease.Close()
}
