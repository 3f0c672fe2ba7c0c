package responder

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/deduplicator"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// blockingExecutor runs each call once, until the test releases it.
type blockingExecutor struct {
	dedup   *deduplicator.Deduplicator
	release chan struct{}
	runs    atomic.Int64
}

func (s *blockingExecutor) Serve(_ context.Context, req *wirepb.Request) *wirepb.Answer {
	k := deduplicator.NewCallKey(req.GetOrigin(), req.GetCall())
	if _, isNew := s.dedup.Begin(k); !isNew {
		return &wirepb.Answer{Call: req.GetCall(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN}
	}
	s.runs.Add(1)
	<-s.release
	answer := &wirepb.Answer{Call: req.GetCall(), Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 200, Body: []byte("receipt")}
	s.dedup.End(k, answer)
	return answer
}

// blackholeProxy forwards bytes until dropTraffic; later connections work.
type blackholeProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	dropping []*atomic.Bool
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &blackholeProxy{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go p.accept()
	return p
}

func (p *blackholeProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		dropping := &atomic.Bool{}
		p.mu.Lock()
		p.dropping = append(p.dropping, dropping)
		p.mu.Unlock()
		go forward(in, out, dropping)
		go forward(out, in, dropping)
	}
}

func forward(from, to net.Conn, dropping *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if dropping.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

// dropTraffic discards all further bytes on the present connections.
func (p *blackholeProxy) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.dropping {
		s.Store(true)
	}
}

// pair is a connector that reaches a responder through the proxy.
type pair struct {
	connector *messenger.Connector
	proxy     *blackholeProxy
	local     *blockingExecutor
}

func newPair(t *testing.T) *pair {
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	timers := timer.NewService(timer.BootClock{})
	group.Go(func() error { return timers.Run(ctx) })
	dedup := deduplicator.NewDeduplicator(timers)
	local := &blockingExecutor{dedup: dedup, release: make(chan struct{})}
	spans, err := tracer.NewTracer(ctx, "", 0, "test")
	require.NoError(t, err)
	r := NewResponder(ctx, local, dedup, spans)
	handle := func(l *messenger.Link, m proto.Message) {
		switch m := m.(type) {
		case *wirepb.Request:
			r.Request(l, m)
		case *wirepb.Resolve:
			r.Resolve(l, m)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hello := &wirepb.Hello{Format: messenger.FormatVersion, Cell: "cell", Node: "b"}
	server := messenger.NewConnector(ctx, group, hello, timers, messenger.Plain{}, handle)
	group.Go(func() error { return server.Serve(listener) })
	client := messenger.NewConnector(ctx, group, &wirepb.Hello{Format: messenger.FormatVersion, Cell: "cell", Node: "a"}, timers, messenger.Plain{}, handle)
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		_ = group.Wait()
	})
	return &pair{connector: client, proxy: newBlackholeProxy(t, listener.Addr().String()), local: local}
}

func (p *pair) link(t *testing.T) *messenger.Link {
	l, err := p.connector.Link(t.Context(), p.proxy.listener.Addr().String())
	require.NoError(t, err)
	return l
}

func testRequest() *wirepb.Request {
	return &wirepb.Request{Call: 1, Origin: 7, Pool: "permits", TimeLeftMicros: uint32(time.Minute.Microseconds())}
}

// TestSilentLinkIsResolved drops the traffic of a link during a call: the link
// is closed, and the answer arrives over a new one.
func TestSilentLinkIsResolved(t *testing.T) {
	p := newPair(t)
	first := p.link(t)
	lost := make(chan error, 1)
	go func() {
		_, err := first.Call(t.Context(), testRequest())
		lost <- err
	}()
	require.Eventually(t, func() bool { return p.local.runs.Load() == 1 }, time.Minute, time.Millisecond)
	p.proxy.dropTraffic()
	require.ErrorIs(t, <-lost, messenger.ErrLinkLost)
	second := p.link(t)
	require.NotSame(t, first, second)
	close(p.local.release)
	answer, err := second.Resolve(t.Context(), testRequest())
	require.NoError(t, err)
	require.Equal(t, "receipt", string(answer.GetBody()))
	require.EqualValues(t, 1, p.local.runs.Load())
}

// TestUnseenCallIsRejectedForGood resolves a call that never arrived: it must
// not run, even if it arrives later.
func TestUnseenCallIsRejectedForGood(t *testing.T) {
	p := newPair(t)
	close(p.local.release)
	l := p.link(t)
	answer, err := l.Resolve(t.Context(), testRequest())
	require.NoError(t, err)
	require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, answer.GetOutcome())
	answer, err = l.Call(t.Context(), testRequest())
	require.NoError(t, err)
	require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, answer.GetOutcome())
	require.Zero(t, p.local.runs.Load())
}
