// Package drainer closes the connections of an HTTP server without losing requests that
// have arrived on them.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Drainer runs an HTTP server and drains it. Unlike with http.Server.Shutdown, a
// connection counts as busy from the first byte of a request, not from the end of its
// header, and responses announce before the drain that their connection closes.
type Drainer struct {
	server             *http.Server
	listener           net.Listener
	keepAlivesDisabled atomic.Bool
	guard              *Guard // nil without limits
	// open counts the connections, and full is set when one was refused because of their number.
	open atomic.Int64
	full atomic.Bool
	// crowded is set from a refusal until a sweep finds room again.
	crowded atomic.Bool

	mu      sync.Mutex
	closing bool
	conns   map[*conn]struct{}
	// lingering are connections that the server has closed while their clients read.
	lingering map[*conn]linger
	allClosed chan struct{}
}

// NewDrainer returns a drainer for a server at a listener. It wraps the server's handler
// and sets its ConnState hook.
func NewDrainer(s *http.Server, l net.Listener) *Drainer {
	d := &Drainer{server: s, listener: l, conns: make(map[*conn]struct{}), lingering: make(map[*conn]linger), allClosed: make(chan struct{})}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.keepAlivesDisabled.Load() || d.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	s.ConnState = d.stateChanged
	return d
}

// Serve accepts and serves connections until Drain or Close.
func (d *Drainer) Serve() error {
	err := d.server.Serve(listener{d.listener, d.admit})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	return err
}

// DisableKeepAlives adds "Connection: close" to all later responses.
func (d *Drainer) DisableKeepAlives() { d.keepAlivesDisabled.Store(true) }

// Drain stops accepting connections, closes those on which no request has started, and
// waits for the others until ctx is done.
func (d *Drainer) Drain(ctx context.Context) error {
	d.DisableKeepAlives()
	d.mu.Lock()
	d.closing = true
	for c := range d.conns {
		c.endIfIdle()
	}
	d.signalIfEmpty()
	d.mu.Unlock()
	if err := d.listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	select {
	case <-d.allClosed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "connections are still busy")
	}
}

// Close closes the listener and all connections at once.
func (d *Drainer) Close() error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	return d.server.Close()
}

// stateChanged tracks the server's connections.
func (d *Drainer) stateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.conns[c] = struct{}{}
	case http.StateIdle:
		c.markIdle()
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		d.closed(c)
		d.signalIfEmpty()
		return
	case http.StateActive:
		c.markActive()
		return
	}
	if d.closing {
		c.endIfIdle()
	}
}

// signalIfEmpty signals Drain if no connection is left. The caller holds d.mu.
func (d *Drainer) signalIfEmpty() {
	if !d.closing || len(d.conns) > 0 {
		return
	}
	select {
	case <-d.allClosed:
	default:
		close(d.allClosed)
	}
}
