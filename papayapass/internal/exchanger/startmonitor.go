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

// monitorMaxAge is the age at which the connection is replaced: servers close those that stay idle.
const monitorMaxAge = 4 * time.Second

// StartMonitor keeps a connection open that carries nothing. While it is open, the process that accepted
// it runs, and new connections to the address lead to the same process.
type StartMonitor struct {
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

// NewStartMonitor returns a monitor without a connection to an address.
func NewStartMonitor(address string, connectTimeout time.Duration) *StartMonitor {
	return &StartMonitor{address: address, dialer: NewDialer(connectTimeout), minRestartTime: minRestartTime, maxAge: monitorMaxAge}
}

// Observe records that a start of the server has just been heard, and opens a connection if there is
// none to it.
func (m *StartMonitor) Observe(ctx context.Context, start string) error {
	former, ok := m.keep(start)
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
	isSame := m.isOpen() || time.Since(began) <= m.minRestartTime
	m.close()
	m.conn, m.openedAt = conn, began
	if isSame {
		m.start = start
	}
	return nil
}

// keep reports whether the connection is one to a start that has just been heard, and young enough.
// Otherwise it returns the connection to replace, or nil.
func (m *StartMonitor) keep(start string) (former net.Conn, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isOpen() || (m.start != start && m.start != "") {
		m.close()
		return nil, false
	}
	m.start = start // it has been heard since the connection was opened
	return m.conn, time.Since(m.openedAt) <= m.maxAge
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
