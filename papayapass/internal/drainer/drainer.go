// Package drainer ends the connections of an HTTP server without losing requests that
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

// Drainer serves HTTP and ends it gracefully. In contrast to http.Server.Shutdown, a
// connection counts as busy from the first byte of a request, not from the end of its
// header, and answers tell customers ahead of the end that their connection closes.
type Drainer struct {
	server   *http.Server
	listener net.Listener
	leaving  atomic.Bool

	mu     sync.Mutex
	ending bool
	conns  map[*conn]struct{}
	empty  chan struct{}
}

// NewDrainer returns a drainer of a server's connections at a listener. It wraps the
// server's handler, and takes its hook of connection states.
func NewDrainer(s *http.Server, l net.Listener) *Drainer {
	d := &Drainer{server: s, listener: l, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	s.ConnState = d.stateChanged
	return d
}

// Serve serves connections until the drainer ends.
func (d *Drainer) Serve() error {
	err := d.server.Serve(listener{d.listener})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		return nil
	}
	return err
}

// DisableKeepAlives has each answer from now on say that its connection closes.
func (d *Drainer) DisableKeepAlives() { d.leaving.Store(true) }

// Drain accepts no more connections, ends those on which no request has begun, and
// waits for the others until ctx ends.
func (d *Drainer) Drain(ctx context.Context) error {
	d.DisableKeepAlives()
	d.mu.Lock()
	d.ending = true
	for c := range d.conns {
		c.end()
	}
	d.checkEmpty()
	d.mu.Unlock()
	if err := d.listener.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "connections are still busy")
	}
}

// Close ends everything at once.
func (d *Drainer) Close() error {
	d.mu.Lock()
	d.ending = true
	d.mu.Unlock()
	return d.server.Close()
}

// stateChanged follows the connections of the server.
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
		c.rest()
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		d.checkEmpty()
		return
	case http.StateActive:
		return
	}
	if d.ending {
		c.end()
	}
}

// checkEmpty tells Drain that no connection is left. The caller holds d.mu.
func (d *Drainer) checkEmpty() {
	if !d.ending || len(d.conns) > 0 {
		return
	}
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}
