package messenger

import (
	"bufio"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// ErrLinkLost means that the link closed during a call: the peer may have run
// it.
var ErrLinkLost = errors.New("link lost during the call")

// pendingCall is a call in flight.
type pendingCall struct {
	answer chan *wirepb.Answer
	sent   timer.Instant
}

// callTable matches answers to calls. An answer without a pending call, because
// it is late or a duplicate, is dropped and counted.
type callTable struct {
	mu      sync.Mutex
	pending map[uint64]pendingCall
	closed  bool
	dropped uint64
}

func (t *callTable) init() { t.pending = make(map[uint64]pendingCall) }

func (t *callTable) add(call uint64, sent timer.Instant) (chan *wirepb.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrLinkClosed
	}
	answer := make(chan *wirepb.Answer, 1)
	t.pending[call] = pendingCall{answer: answer, sent: sent}
	return answer, nil
}

func (t *callTable) remove(call uint64) {
	t.mu.Lock()
	delete(t.pending, call)
	t.mu.Unlock()
}

func (t *callTable) deliver(m *wirepb.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pending[m.GetCall()]
	if !ok {
		t.dropped++
		return
	}
	delete(t.pending, m.GetCall())
	p.answer <- m
}

// oldest returns when the oldest pending call was sent.
func (t *callTable) oldest() (timer.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest timer.Instant
	found := false
	for _, p := range t.pending {
		if !found || p.sent < oldest {
			oldest, found = p.sent, true
		}
	}
	return oldest, found
}

func (t *callTable) failAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for call, p := range t.pending {
		delete(t.pending, call)
		close(p.answer)
	}
}

// Call sends a request and waits for its answer. ErrLinkClosed and
// ErrSendQueueFull mean that nothing was sent; after ErrLinkLost or the end of
// the context the peer may still run the request. When the context ends, the
// peer gets a cancel message.
func (l *Link) Call(ctx context.Context, req *wirepb.Request) (*wirepb.Answer, error) {
	answer, err := l.exchange(ctx, req.GetCall(), req)
	if err != nil && ctx.Err() != nil {
		_ = l.data.send(&wirepb.Cancel{Call: req.GetCall()}) // if lost, the request's deadline ends it
	}
	return answer, err
}

// Resolve queries the outcome of a call that was sent on another link, and
// waits for its answer. The peer rejects a call that it has not seen, now and
// later.
func (l *Link) Resolve(ctx context.Context, req *wirepb.Request) (*wirepb.Answer, error) {
	return l.exchange(ctx, req.GetCall(), &wirepb.Resolve{Call: req.GetCall(), Origin: req.GetOrigin()})
}

// exchange sends a message and waits for the answer of its call.
func (l *Link) exchange(ctx context.Context, call uint64, m proto.Message) (*wirepb.Answer, error) {
	answer, err := l.calls.add(call, l.timers.Now())
	if err != nil {
		return nil, err
	}
	if err := l.data.send(m); err != nil {
		l.calls.remove(call)
		return nil, err
	}
	select {
	case m, ok := <-answer:
		if !ok {
			return nil, ErrLinkLost
		}
		return m, nil
	case <-ctx.Done():
		l.calls.remove(call)
		return nil, ctx.Err()
	}
}

// DroppedAnswers returns how many answers matched no pending call.
func (l *Link) DroppedAnswers() uint64 {
	l.calls.mu.Lock()
	defer l.calls.mu.Unlock()
	return l.calls.dropped
}

// decodeUnbuffered reads one frame and no byte beyond it.
func decodeUnbuffered(r io.Reader) (proto.Message, error) {
	m, _, err := Decode(bufio.NewReaderSize(&oneByteReader{r: r}, 1))
	return m, err
}

// oneByteReader prevents a buffered reader from reading ahead.
type oneByteReader struct {
	r io.Reader
}

// Read reads at most one byte.
func (o *oneByteReader) Read(p []byte) (int, error) {
	return o.r.Read(p[:1])
}
