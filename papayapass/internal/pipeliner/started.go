package pipeliner

import (
	"context"
	"net/http"
	"runtime/debug"

	"papayapass.dev/papayapass/internal/budgeter"
)

// started is a request that runs before its response is due.
type started struct {
	request *http.Request
	cancel  context.CancelFunc
	// turn receives the writer of the response when it is due.
	turn chan http.ResponseWriter
	done chan struct{}
	// isAborted is set before done is closed if there is no whole response.
	isAborted bool
}

// start runs a request, which holds memory until its end. Its context is not that of the server, which begins in its turn.
func start(p *Pipeliner, r *http.Request, memory *budgeter.Lease) *started {
	ctx, cancel := context.WithCancel(context.Background())
	s := &started{cancel: cancel, turn: make(chan http.ResponseWriter, 1), done: make(chan struct{})}
	s.request = r.WithContext(ctx)
	w := &turnWriter{started: s, header: make(http.Header)}
	go func() {
		defer close(s.done)
		defer cancel()
		defer memory.Close()
		defer func() {
			if v := recover(); v != nil {
				p.logger.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("request that started early failed, its connection is closed")
				s.isAborted = true
			}
		}()
		p.handler.ServeHTTP(w, s.request)
		s.isAborted = !w.hasHead
	}()
	return s
}

// respond lets the request write its response, and waits for its end. The request is canceled
// when ctx is. Without a response, the connection is aborted.
func (s *started) respond(ctx context.Context, w http.ResponseWriter) {
	s.turn <- w
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	<-s.done
	if s.isAborted {
		panic(http.ErrAbortHandler)
	}
}

// turnWriter writes the response of a request that started early, once it is due.
type turnWriter struct {
	started *started
	header  http.Header
	// w is the server's writer, or nil before the response is due.
	w http.ResponseWriter
	// hasHead is set once the head of the response was written.
	hasHead bool
}

// Header returns the headers of the response.
func (t *turnWriter) Header() http.Header {
	if t.w != nil {
		return t.w.Header()
	}
	return t.header
}

// await waits until the response is due. The result is false if that is never.
func (t *turnWriter) await() bool {
	if t.w != nil {
		return true
	}
	select {
	case t.w = <-t.started.turn:
	case <-t.started.request.Context().Done():
		select {
		case t.w = <-t.started.turn:
		default:
			return false
		}
	}
	h := t.w.Header()
	for name, values := range t.header {
		h[name] = values
	}
	return true
}

// WriteHeader writes the head of the response.
func (t *turnWriter) WriteHeader(status int) {
	if t.await() {
		t.hasHead = true
		t.w.WriteHeader(status)
	}
}

// Write writes a part of the body.
func (t *turnWriter) Write(b []byte) (int, error) {
	if !t.await() {
		return 0, context.Cause(t.started.request.Context())
	}
	t.hasHead = true
	return t.w.Write(b)
}

// guardedWriter keeps the connection open after a response while later requests of it run.
type guardedWriter struct {
	http.ResponseWriter

	conn    *conn
	hasHead bool
}

// Unwrap returns the writer that it wraps.
func (g *guardedWriter) Unwrap() http.ResponseWriter { return g.ResponseWriter }

// WriteHeader writes the head of the response.
func (g *guardedWriter) WriteHeader(status int) {
	if !g.hasHead {
		g.hasHead = true
		if g.Header().Get("Connection") != "" && g.conn.keepOpen() {
			g.Header().Del("Connection")
		}
	}
	g.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (g *guardedWriter) Write(b []byte) (int, error) {
	if !g.hasHead {
		g.WriteHeader(http.StatusOK)
	}
	return g.ResponseWriter.Write(b)
}
