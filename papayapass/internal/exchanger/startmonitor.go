package exchanger

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxHeldUp is how late a message may be handled whose sender has closed its connection since.
const maxHeldUp = time.Second

// monitorMaxAge is the age at which the connection is replaced: servers close those that stay idle.
const monitorMaxAge = 4 * time.Second

// StartMonitor keeps a connection open that carries nothing. While it is open, the process that accepted
// it runs, and new connections to the address lead to the same process.
type StartMonitor struct {
	address string
	dialer  net.Dialer
	maxAge  time.Duration
	heldUp  time.Duration

	mu       sync.Mutex
	conn     net.Conn
	openedAt time.Time
	// start is the start of the server that the connection leads to, or empty if it is not known yet.
	start string
}

// NewStartMonitor returns a monitor without a connection to an address.
func NewStartMonitor(address string, connectTimeout time.Duration) *StartMonitor {
	return &StartMonitor{address: address, dialer: NewDialer(connectTimeout), maxAge: monitorMaxAge, heldUp: maxHeldUp}
}

// Observe records that a start of the server has just been heard over a connection of its own, and opens
// one to the server if there is none. If both are open, they lead to the same process; the message of a
// sender that has closed its connection may have been held up while the next one started.
func (m *StartMonitor) Observe(ctx context.Context, start string, sender net.Conn) error {
	former, ok := m.keep(start, IsQuiet(sender))
	if ok {
		return nil
	}
	began := time.Now()
	conn, err := m.dialer.DialContext(ctx, "tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != former { // another message came meanwhile
		return conn.Close()
	}
	known := ""
	if m.isOpen() {
		known = m.start
	}
	m.close()
	m.conn, m.openedAt, m.start = conn, began, known
	if known == "" && IsQuiet(sender) {
		m.start = start
	}
	return nil
}

// keep reports whether the connection is one to a start that has just been heard, and young enough.
// Otherwise it returns the connection to replace, or nil. senderOpen reports whether the sender had not
// closed its connection.
func (m *StartMonitor) keep(start string, senderOpen bool) (former net.Conn, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isOpen() || (m.start != start && m.start != "") {
		m.close()
		return nil, false
	}
	age := time.Since(m.openedAt)
	if senderOpen || age > m.heldUp {
		m.start = start // it has sent this since the connection was opened
	}
	return m.conn, age <= m.maxAge
}

// Confirms reports whether connections that are open now lead to a start of the server.
func (m *StartMonitor) Confirms(start string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.start == start && start != "" && m.isOpen()
}

// Close closes the connection.
func (m *StartMonitor) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.close()
}

// isOpen reports whether the server has closed neither the connection nor sent anything. The caller
// holds m.mu.
func (m *StartMonitor) isOpen() bool { return m.conn != nil && IsQuiet(m.conn) }

// close closes the connection. The caller holds m.mu.
func (m *StartMonitor) close() {
	if m.conn != nil {
		_ = m.conn.Close() // nothing was sent
	}
	m.conn, m.start = nil, ""
}
