package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// noticeServer is a backend server whose responses carry the headers last set.
type noticeServer struct {
	headers atomic.Pointer[map[string]string]
	runs    atomic.Int32
}

func (s *noticeServer) say(headers map[string]string) {
	headers["Seal"] = "s"
	s.headers.Store(&headers)
}

func (s *noticeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	respond(http.StatusOK, *s.headers.Load())(w, r)
}

// serveAtOnce serves a call that may not wait in the queue.
func (f *testForwarder) serveAtOnce() dispatcher.Result {
	c := f.call(true)
	c.NoQueue = true
	return f.Serve(context.Background(), c)
}

// Incident 0013: a backend server that named a limit of 8.9 requests per second got 94 in 4 s.
func TestRateLimitOfBackendServerIsKept(t *testing.T) {
	server := &noticeServer{}
	f := newTestForwarder(t, server.ServeHTTP)
	server.say(map[string]string{"Limit": "0"})
	require.Equal(t, dispatcher.Answered, f.serveAtOnce().Outcome)
	for range 5 {
		res := f.serveAtOnce()
		require.Equal(t, dispatcher.ReasonBusy, res.Reason)
		require.Greater(t, res.Retry, time.Second, "the customer is told when there is room")
	}
	require.EqualValues(t, 1, server.runs.Load())
}

// A response without the limit that overtakes others must not let a burst through.
func TestLateResponsesDoNotRaiseRateLimit(t *testing.T) {
	limited := func(rate float64) descriptor.ServerNotice {
		return descriptor.ServerNotice{Limited: true, RateLimit: rate}
	}
	const namedAt = timer.Instant(100)
	cases := map[string]struct {
		next descriptor.ServerNotice
		sent timer.Instant
		want descriptor.ServerNotice
	}{
		"end, sent before": {next: descriptor.ServerNotice{}, sent: 99, want: limited(9)},
		"end, sent after":  {next: descriptor.ServerNotice{}, sent: 101, want: descriptor.ServerNotice{}},
		"higher, before":   {next: limited(12), sent: 99, want: limited(9)},
		"higher, after":    {next: limited(12), sent: 101, want: limited(12)},
		"lower, before":    {next: limited(5), sent: 99, want: limited(5)},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			n := serverNotice{}
			n.update(limited(9), 1, namedAt)
			n.update(tt.next, tt.sent, 110)
			require.Equal(t, tt.want, n.ServerNotice)
		})
	}
}

func TestRateLimitEndsWithServer(t *testing.T) {
	cases := map[string]func(*testForwarder, *noticeServer){
		"restart of the backend server": func(f *testForwarder, _ *noticeServer) {
			h := f.heartbeat()
			h.ID, h.StartedAtMillis, h.Sequence = "server-2", 20, 1
			f.Heartbeat(h, nil)
		},
		"response without a limit": func(f *testForwarder, server *noticeServer) {
			server.say(map[string]string{})
			require.Eventually(t, func() bool { return f.serveAtOnce().Outcome == dispatcher.Answered }, time.Second, time.Millisecond)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			server := &noticeServer{}
			f := newTestForwarder(t, server.ServeHTTP)
			server.say(map[string]string{"Limit": "40"})
			f.Serve(context.Background(), f.call(true))
			server.say(map[string]string{})
			end(f, server)
			for range 20 {
				require.Equal(t, dispatcher.Answered, f.serveAtOnce().Outcome)
			}
		})
	}
}

// The address of a backend server that is gone may belong to another one, whose rejection
// says nothing about this one.
func TestRejectionOfOtherServerNamesNoLimit(t *testing.T) {
	f := newTestForwarder(t, respond(http.StatusMisdirectedRequest, map[string]string{"Limit": "1", "Not-Run": "1"}))
	f.Serve(context.Background(), f.call(true))
	n, _ := f.Notice()
	require.False(t, n.Limited)
}

// A backend server whose heartbeats are held up says only in its responses that it leaves.
func TestBackendServerThatLeavesByResponseGetsNoMoreRequests(t *testing.T) {
	server := &noticeServer{}
	f := newTestForwarder(t, server.ServeHTTP)
	server.say(map[string]string{"Leaving": "1"})
	before := f.node.triggers.Load()
	require.Equal(t, dispatcher.Answered, f.serveAtOnce().Outcome, "a response that is ready is delivered")
	require.Greater(t, f.node.triggers.Load(), before, "the coordinator is told at once")
	require.Equal(t, dispatcher.ReasonNoServer, f.serveAtOnce().Reason)

	h := f.heartbeat()
	h.Sequence++
	f.Heartbeat(h, nil) // one from before it left
	require.Equal(t, dispatcher.ReasonNoServer, f.serveAtOnce().Reason)
	require.EqualValues(t, 1, server.runs.Load())

	server.say(map[string]string{})
	h.ID, h.StartedAtMillis, h.Sequence = "server-2", 20, 1
	f.Heartbeat(h, nil)
	require.Equal(t, dispatcher.Answered, f.serveAtOnce().Outcome, "its successor gets requests")
}

// A node beside a backend server with a low limit restarts; the server got a burst from all
// other nodes before its first response.
func TestRateLimitOutlivesRestartOfNode(t *testing.T) {
	cases := map[string]struct {
		restart func(*descriptor.Heartbeat)
		want    dispatcher.Outcome
	}{
		"of the node":                   {func(*descriptor.Heartbeat) {}, dispatcher.NotRun},
		"of the backend server with it": {func(h *descriptor.Heartbeat) { h.StartedAtMillis++ }, dispatcher.Answered},
		"of another one at its address": {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis = "server-2", 20 }, dispatcher.Answered},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			server := &noticeServer{}
			server.say(map[string]string{"Limit": "0"})
			node := newTestForwarder(t, server.ServeHTTP)
			e := enveloper.NewEnveloper("")
			handler := func(f *testForwarder) http.Handler {
				return dispatcher.NewPeerHandler(f, f.clock, e, budgeter.NewBudget(1<<20), &tracer.Tracer{})
			}
			var current atomic.Pointer[http.Handler]
			serve := func(f *testForwarder) {
				h := handler(f)
				current.Store(&h)
			}
			serve(node)
			l := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*current.Load()).ServeHTTP(w, r) }))
			t.Cleanup(l.Close)
			peer := dispatcher.NewPeer(strings.TrimPrefix(l.URL, "http://"), node.clock, e)
			call := func() dispatcher.Result {
				c := node.call(true)
				c.NoQueue = true
				return peer.Serve(context.Background(), c)
			}
			require.Equal(t, dispatcher.Answered, call().Outcome)
			require.Equal(t, dispatcher.ReasonBusy, call().Reason)

			restarted := newTestForwarderAt(t, node.address)
			h := node.heartbeat()
			tt.restart(&h)
			_, ok := restarted.Heartbeat(h, nil)
			require.True(t, ok)
			serve(restarted)
			require.Equal(t, tt.want, call().Outcome)
		})
	}
}

// A response from before a backend server left is overtaken by one that says so. Then the node
// beside the server restarts, and gets a heartbeat from before it left.
func TestOvertakenResponseDoesNotTakeBackThatServerLeaves(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	node := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		header := map[string]string{"Seal": "s"}
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		} else {
			header["Leaving"] = "1"
		}
		respond(http.StatusOK, header)(w, r)
	})
	e := enveloper.NewEnveloper("")
	serving := node
	l := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dispatcher.NewPeerHandler(serving, serving.clock, e, budgeter.NewBudget(1<<20), &tracer.Tracer{}).ServeHTTP(w, r)
	}))
	t.Cleanup(l.Close)
	peer := dispatcher.NewPeer(strings.TrimPrefix(l.URL, "http://"), node.clock, e)
	call := func(uri string) dispatcher.Result {
		c := node.call(true)
		c.URI, c.NoQueue = uri, true
		return peer.Serve(context.Background(), c)
	}
	slow := make(chan dispatcher.Result)
	go func() { slow <- call("/slow") }()
	<-started
	require.Equal(t, dispatcher.Answered, call("/x").Outcome)
	close(release)
	require.Equal(t, dispatcher.Answered, (<-slow).Outcome)
	n, _ := node.Notice()
	require.True(t, n.Leaving)

	serving = newTestForwarderAt(t, node.address)
	_, ok := serving.Heartbeat(node.heartbeat(), nil)
	require.True(t, ok)
	require.Equal(t, dispatcher.ReasonNoServer, call("/x").Reason)
}
