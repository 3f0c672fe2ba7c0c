// Package responder serves the requests that other nodes pass on.
package responder

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Local runs requests on this node's backend server.
type Local interface {
	// Serve runs a request.
	Serve(ctx context.Context, req *wirepb.Request) *wirepb.Answer
}

// callKey names a call of a link.
type callKey struct {
	link *messenger.Link
	call uint64
}

// Responder runs each request of a peer on a thread of its own and sends the
// answer back on the same link.
type Responder struct {
	ctx     context.Context
	local   Local
	tracer  *tracer.Tracer
	mu      sync.Mutex
	cancels map[callKey]context.CancelFunc
	work    sync.WaitGroup
}

// NewResponder returns a responder whose work ends with the context.
func NewResponder(ctx context.Context, local Local, t *tracer.Tracer) *Responder {
	return &Responder{ctx: ctx, local: local, tracer: t, cancels: make(map[callKey]context.CancelFunc)}
}

// Request starts a peer's request; it does not block.
func (r *Responder) Request(l *messenger.Link, req *wirepb.Request) {
	left := time.Duration(req.GetTimeLeftMicros()) * time.Microsecond
	ctx, cancel := context.WithTimeout(r.ctx, left)
	key := callKey{link: l, call: req.GetCall()}
	r.mu.Lock()
	r.cancels[key] = cancel
	r.mu.Unlock()
	r.work.Add(1)
	go r.serve(ctx, key, req)
}

func (r *Responder) serve(ctx context.Context, key callKey, req *wirepb.Request) {
	defer r.work.Done()
	defer r.forget(key)
	ctx, span, parent := r.tracer.Start(ctx, "serve for peer", req.GetTraceParent(), trace.SpanKindServer)
	req.TraceParent = parent
	answer := r.local.Serve(ctx, req)
	span.End()
	_ = key.link.SendData(answer) // a peer whose link is gone asks on another
}

func (r *Responder) forget(key callKey) {
	r.mu.Lock()
	cancel := r.cancels[key]
	delete(r.cancels, key)
	r.mu.Unlock()
	cancel()
}

// Cancel ends a request that nobody waits for any more.
func (r *Responder) Cancel(l *messenger.Link, call uint64) {
	r.mu.Lock()
	cancel := r.cancels[callKey{link: l, call: call}]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Wait returns when no request is in progress.
func (r *Responder) Wait() { r.work.Wait() }
