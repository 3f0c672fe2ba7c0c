// Package pipeliner serves the requests of a pipelined connection side by side: a request that
// may run more than once starts when its head has arrived, although the response to the one
// before is not written yet. Responses are written in the order of the requests.
package pipeliner

import (
	"context"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/budgeter"
)

// Pipeliner wraps a server's listener and its handler.
type Pipeliner struct {
	handler http.Handler
	// mayStartEarly reports whether a request may run beside others of its connection, and although
	// the connection may end before its response is due.
	mayStartEarly func(*http.Request) bool
	// memory is for what is read ahead and for requests that started early; nil has no limit.
	memory *budgeter.Budget
	logger zerolog.Logger
}

// NewPipeliner returns a pipeliner for a handler.
func NewPipeliner(h http.Handler, mayStartEarly func(*http.Request) bool, memory *budgeter.Budget, logger zerolog.Logger) *Pipeliner {
	return &Pipeliner{handler: h, mayStartEarly: mayStartEarly, memory: memory, logger: logger}
}

// Listener returns a listener whose connections read ahead.
func (p *Pipeliner) Listener(l net.Listener) net.Listener { return listener{l, p} }

type listener struct {
	net.Listener

	pipeliner *Pipeliner
}

// Accept accepts a connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.pipeliner), nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// WithConn returns a context for the requests of a connection, which may wrap one of a Listener.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	for {
		if own, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = wrapper.NetConn()
	}
}

// ServeHTTP serves one request, or hands the response of a request that started early over.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		p.handler.ServeHTTP(w, r)
		return
	}
	defer c.responded()
	guarded := &guardedWriter{ResponseWriter: w, conn: c}
	if s := c.takeCurrent(); s != nil {
		c.serving(true)
		s.respond(r.Context(), guarded)
		return
	}
	c.serving(p.mayStartEarly(r))
	p.handler.ServeHTTP(guarded, r)
}
