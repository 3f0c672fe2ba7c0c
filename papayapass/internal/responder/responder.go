// Package responder serves the requests that peers forward.
package responder

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/deduplicator"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// LocalExecutor runs requests on the local backend server.
type LocalExecutor interface {
	// Serve runs a request.
	Serve(ctx context.Context, req *wirepb.Request) *wirepb.Answer
}

// Deduplicator records calls that must not run twice.
type Deduplicator interface {
	// Done returns a channel that is closed when a recorded call ends.
	Done(k deduplicator.Key) (<-chan struct{}, bool)
	// Reject records that a call must not run if it arrives late.
	Reject(k deduplicator.Key) bool
	// Result returns the answer of a finished call, or nil.
	Result(k deduplicator.Key) *wirepb.Answer
}

// callKey identifies a call on a link.
type callKey struct {
	link *messenger.Link
	call uint64
}

// Responder runs each request of a peer on its own goroutine and sends the
// answer on the same link.
type Responder struct {
	ctx          context.Context
	local        LocalExecutor
	deduplicator Deduplicator
	tracer       *tracer.Tracer
	mu           sync.Mutex
	cancels      map[callKey]context.CancelFunc
	wg           sync.WaitGroup
}

// NewResponder returns a responder. Cancelling the context cancels its
// requests.
func NewResponder(ctx context.Context, local LocalExecutor, dedup Deduplicator, t *tracer.Tracer) *Responder {
	return &Responder{ctx: ctx, local: local, deduplicator: dedup, tracer: t, cancels: make(map[callKey]context.CancelFunc)}
}

// Request starts a peer's request; it does not block.
func (r *Responder) Request(l *messenger.Link, req *wirepb.Request) {
	left := time.Duration(req.GetTimeLeftMicros()) * time.Microsecond
	ctx, cancel := context.WithTimeout(r.ctx, left)
	key := callKey{link: l, call: req.GetCall()}
	r.mu.Lock()
	r.cancels[key] = cancel
	r.mu.Unlock()
	r.wg.Add(1)
	go r.serve(ctx, key, req)
}

func (r *Responder) serve(ctx context.Context, key callKey, req *wirepb.Request) {
	defer r.wg.Done()
	defer r.finish(key)
	ctx, span, parent := r.tracer.Start(ctx, "serve for peer", req.GetTraceParent(), trace.SpanKindServer)
	req.TraceParent = parent
	answer := r.local.Serve(ctx, req)
	span.End()
	_ = key.link.SendData(answer) // if the link is lost, the peer resolves the call on another one
}

func (r *Responder) finish(key callKey) {
	r.mu.Lock()
	cancel := r.cancels[key]
	delete(r.cancels, key)
	r.mu.Unlock()
	cancel()
}

// Cancel ends a request whose caller no longer waits for it.
func (r *Responder) Cancel(l *messenger.Link, call uint64) {
	r.mu.Lock()
	cancel := r.cancels[callKey{link: l, call: call}]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Resolve answers a query for the outcome of a call that was sent on another
// link. A call that was never seen is rejected, now and later.
func (r *Responder) Resolve(l *messenger.Link, m *wirepb.Resolve) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if answer := r.resolve(l, deduplicator.NewCallKey(m.GetOrigin(), m.GetCall())); answer != nil {
			copied := proto.CloneOf(answer)
			copied.Call = m.GetCall()
			_ = l.SendData(copied) // if lost, the outcome stays unknown to the peer
		}
	}()
}

// resolve waits for the end of a call; nil means that the querying link closed.
func (r *Responder) resolve(l *messenger.Link, k deduplicator.Key) *wirepb.Answer {
	r.deduplicator.Reject(k)
	if done, ok := r.deduplicator.Done(k); ok {
		select {
		case <-done:
		case <-l.Done():
			return nil
		}
	}
	if answer := r.deduplicator.Result(k); answer != nil {
		return answer
	}
	return &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_LOST_CONNECTION}
}

// Wait returns when no request is in flight.
func (r *Responder) Wait() { r.wg.Wait() }
