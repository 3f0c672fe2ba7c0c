package exchanger

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNoConnections means that as many connections are open as may be, and all are in use.
var ErrNoConnections = errors.New("too many connections")

// ConnectionLimit limits the connections of several exchangers together.
type ConnectionLimit struct {
	limit int64
	open  atomic.Int64

	mu         sync.Mutex
	exchangers []*Exchanger
}

// NewConnectionLimit returns a limit of a number of connections.
func NewConnectionLimit(limit int) *ConnectionLimit { return &ConnectionLimit{limit: int64(limit)} }

// Open returns the number of open connections.
func (l *ConnectionLimit) Open() int64 { return l.open.Load() }

// Limit makes a limit hold for the exchanger too; it must be called before the first request.
func (e *Exchanger) Limit(l *ConnectionLimit) {
	e.limit = l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchangers = append(l.exchangers, e)
}

// take makes room for a connection, and closes idle ones of any exchanger for it.
func (l *ConnectionLimit) take() error {
	if l == nil {
		return nil
	}
	for l.open.Add(1) > l.limit {
		l.open.Add(-1)
		if !l.closeIdle() {
			return errors.Wrapf(ErrNoConnections, "all %d are in use", l.limit)
		}
	}
	return nil
}

func (l *ConnectionLimit) give() {
	if l != nil {
		l.open.Add(-1)
	}
}

// closeIdle closes an idle connection, and reports whether there was one.
func (l *ConnectionLimit) closeIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.exchangers {
		if e.closeOldest() {
			return true
		}
	}
	return false
}

// CloseExpired closes connections that have been idle for too long.
func (l *ConnectionLimit) CloseExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.exchangers {
		e.closeExpired()
	}
}
