package exchanger

import (
	"context"
	"net"
	"sync"
	"time"
)

// minRestartTime is less than the time in which a server can end and start again: a connection that
// is opened so soon after a message of a start leads to it.
const minRestartTime = 10 * time.Millisecond

// witnessMaxAge is the age at which the connection is replaced: servers close those that stay idle.
const witnessMaxAge = 4 * time.Second

// Witness keeps a connection open that carries nothing. While it is open, the process that accepted
// it runs, and new connections to the address lead to the same process.
type Witness struct {
	address        string
	dialer         net.Dialer
	minRestartTime time.Duration
	maxAge         time.Duration

	mu       sync.Mutex
	conn     net.Conn
	openedAt time.Time
	// start is the start of the server that the connection leads to, or empty if it is not known yet.
	start string
}

// NewWitness returns a witness without a connection to an address.
func NewWitness(address string, connectTimeout time.Duration) *Witness {
	return &Witness{address: address, dialer: NewDialer(connectTimeout), minRestartTime: minRestartTime, maxAge: witnessMaxAge}
}

// Heard records that a start of the server has just been heard, and opens a connection if there is
// none to it.
func (w *Witness) Heard(ctx context.Context, start string) error {
	former, ok := w.keep(start)
	if ok {
		return nil
	}
	began := time.Now()
	conn, err := w.dialer.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != former { // another message came meanwhile
		return conn.Close()
	}
	isSame := w.isOpen() || time.Since(began) <= w.minRestartTime
	w.close()
	w.conn, w.openedAt = conn, began
	if isSame {
		w.start = start
	}
	return nil
}

// keep reports whether the connection is one to a start that has just been heard, and young enough.
// Otherwise it returns the connection to replace, or nil.
func (w *Witness) keep(start string) (former net.Conn, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOpen() || (w.start != start && w.start != "") {
		w.close()
		return nil, false
	}
	w.start = start // it has been heard since the connection was opened
	return w.conn, time.Since(w.openedAt) <= w.maxAge
}

// Vouches reports whether connections that are open now lead to a start of the server.
func (w *Witness) Vouches(start string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.start == start && start != "" && w.isOpen()
}

// Close closes the connection.
func (w *Witness) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.close()
}

// isOpen reports whether the server has closed neither the connection nor sent anything. The caller
// holds w.mu.
func (w *Witness) isOpen() bool { return w.conn != nil && IsQuiet(w.conn) }

// close closes the connection. The caller holds w.mu.
func (w *Witness) close() {
	if w.conn != nil {
		_ = w.conn.Close() // nothing was sent
	}
	w.conn, w.start = nil, ""
}
