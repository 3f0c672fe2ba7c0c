package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

func TestEnding(t *testing.T) {
	const (
		ms     = timer.Instant(time.Millisecond)
		maxAge = 6 * time.Second
	)
	first := descriptor.Heartbeat{ID: "server-1", StartedAtMillis: 10}
	add := func(e *ending, id string, sent, ended timer.Instant) {
		e.add(first.ID, first.StartedAtMillis, cutOff{id: id, sent: sent, ended: ended})
	}
	confirm := func(e *ending, cause string, now timer.Instant) { e.confirm(first, cause, now, maxAge) }
	cases := map[string]struct {
		act   func(*ending)
		want  []string
		cause string
	}{
		"latest request first": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			add(e, "b", 990*ms, 1001*ms)
			add(e, "c", 950*ms, 1005*ms)
			confirm(e, "connection refused", 1006*ms)
		}, []string{"b", "c", "a"}, "connection refused"},
		"confirmed before the last disconnect is read": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "connection refused", 1001*ms)
			add(e, "b", 990*ms, 1010*ms)
		}, []string{"b", "a"}, "connection refused"},
		"confirmed before the first disconnect is read": {func(e *ending) {
			confirm(e, "connection refused", 1000*ms)
			add(e, "a", 900*ms, 1010*ms)
		}, []string{"a"}, "connection refused"},
		"confirmed by the next start": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "next start", 4500*ms)
		}, []string{"a"}, "next start"},
		"the first cause counts": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "connection refused", 1001*ms)
			confirm(e, "next start", 4500*ms)
		}, []string{"a"}, "connection refused"},
		"single responses cut off before": {func(e *ending) {
			add(e, "a", 100*ms, 200*ms)
			add(e, "b", 900*ms, 1000*ms)
			confirm(e, "connection refused", 1001*ms)
		}, []string{"b"}, "connection refused"},
		"not confirmed":   {func(e *ending) { add(e, "a", 900*ms, 1000*ms) }, nil, ""},
		"nothing cut off": {func(e *ending) { confirm(e, "connection refused", 1000*ms) }, nil, ""},
		"cut off long before the next start": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "next start", 8000*ms)
		}, nil, ""},
		"response to a later request": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			e.answered(first.ID, first.StartedAtMillis, 1010*ms)
			confirm(e, "next start", 4500*ms)
		}, nil, ""},
		"response to an earlier request": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			e.answered(first.ID, first.StartedAtMillis, 990*ms)
			confirm(e, "next start", 4500*ms)
		}, []string{"a"}, "next start"},
		"abandoned shortly before": {func(e *ending) {
			e.abandon(cutOff{id: "long before", ended: 1000*ms - timer.Instant(abandonedAge) - 1})
			for _, id := range []string{"b", "c", "d"} {
				e.abandon(cutOff{id: id, ended: 900 * ms})
			}
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "connection refused", 1001*ms)
		}, []string{"a", "b", "c", "d"}, "connection refused"},
		"many abandoned": {func(e *ending) {
			for _, id := range []string{"b", "c", "d", "e", "f"} {
				e.abandon(cutOff{id: id, ended: 900 * ms})
			}
			add(e, "a", 900*ms, 1000*ms)
			confirm(e, "connection refused", 1001*ms)
		}, []string{"a", "c", "d", "e", "f"}, "connection refused"},
		"abandoned only": {func(e *ending) {
			e.abandon(cutOff{id: "a", ended: 900 * ms})
			confirm(e, "connection refused", 1001*ms)
		}, nil, ""},
		"another start": {func(e *ending) {
			add(e, "a", 900*ms, 1000*ms)
			e.confirm(descriptor.Heartbeat{ID: "server-1", StartedAtMillis: 20}, "connection refused", 1001*ms, maxAge)
		}, nil, ""},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var e ending
			tt.act(&e)
			got, ok := e.takeSettled(9000 * ms)
			require.Equal(t, tt.want != nil, ok)
			require.Equal(t, tt.cause, got.cause)
			var ids []string
			running := 0
			for _, c := range got.latest {
				ids = append(ids, c.id)
				if !c.abandoned {
					running++
				}
			}
			require.Equal(t, running, got.count)
			require.Equal(t, tt.want, ids)
			_, ok = e.takeSettled(9000 * ms)
			require.False(t, ok, "an end is reported once")
		})
	}
}

func TestEndWaitsForItsLastDisconnect(t *testing.T) {
	var e ending
	at := timer.Instant(time.Second)
	e.add("server-1", 10, cutOff{id: "a", ended: at})
	e.confirm(descriptor.Heartbeat{ID: "server-1", StartedAtMillis: 10}, "connection refused", at, time.Second)
	_, ok := e.takeSettled(at.Add(endSettleTime - 1))
	require.False(t, ok)
	_, ok = e.takeSettled(at.Add(endSettleTime))
	require.True(t, ok)
}

func TestEndNamesABoundedNumberOfRequests(t *testing.T) {
	var e ending
	for i := range 10 * maxCutOffLogged {
		e.add("server-1", 10, cutOff{id: strconv.Itoa(i), sent: timer.Instant(i), ended: timer.Instant(time.Second)})
	}
	require.Len(t, e.latest, maxCutOffLogged)
	require.Equal(t, 10*maxCutOffLogged, e.count)
	require.Equal(t, strconv.Itoa(10*maxCutOffLogged-1), e.latest[0].id)
}

// Connects that customers gave up say nothing about the backend server: after a reset of all
// connections a node reported the end of a server that went on.
func TestResetOfConnectionsIsNoEnd(t *testing.T) {
	end := make(chan struct{})
	f := newTestForwarder(t, func(http.ResponseWriter, *http.Request) {
		<-end
		panic(http.ErrAbortHandler) // closes the connection
	})
	result := make(chan dispatcher.Result)
	go func() { result <- f.Serve(context.Background(), f.call(true)) }()
	require.Eventually(t, func() bool { running, _ := f.Load(); return running == 1 }, time.Second, time.Millisecond)
	close(end)
	res := <-result
	require.True(t, res.Disconnected)
	require.False(t, res.ServerEnded)
	f.exchanger.Close() // the connection that the check for an end left
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range maxFailedConnects {
		require.Equal(t, dispatcher.ReasonUnreachable, f.Serve(ctx, f.call(true)).Reason)
	}
	f.reportEnd(f.clock.Now().Add(endSettleTime))
	require.Zero(t, f.Ends())
	require.False(t, f.Server().Down)
}

// Incident 0016: no line told that backend servers ended one after the other, and under which
// request.
func TestEndUnderRunningRequestsIsLogged(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-end
		panic(http.ErrAbortHandler) // closes the connection
	}))
	var log bytes.Buffer
	f := newTestForwarderAt(t, strings.TrimPrefix(server.URL, "http://"))
	f.logger = zerolog.New(zerolog.SyncWriter(&log))
	_, ok := f.Heartbeat(f.heartbeat(), nil)
	require.True(t, ok)

	results := make(chan dispatcher.Result, 2)
	for _, id := range []string{"1", "2"} {
		c := f.call(true)
		c.ID = id
		go func() { results <- f.Serve(context.Background(), c) }()
		<-started
	}
	require.NoError(t, server.Listener.Close())
	close(end)
	for range 2 {
		res := <-results
		require.Equal(t, dispatcher.Unknown, res.Outcome)
		require.True(t, res.Disconnected)
		require.True(t, res.ServerEnded)
	}
	require.Equal(t, dispatcher.ReasonNoServer, f.Serve(context.Background(), f.call(true)).Reason)
	f.reportEnd(f.clock.Now().Add(endSettleTime))
	require.EqualValues(t, 1, f.Ends())

	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	var line struct {
		Server, Cause, Message string
		Born                   int64
		Running                int
		Requests               []struct{ Request, Fingerprint string }
	}
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &line))
	require.Equal(t, "backend server ended while requests were running", line.Message)
	require.Equal(t, "server-1", line.Server)
	require.Equal(t, "connection refused", line.Cause)
	require.EqualValues(t, 10, line.Born)
	require.Equal(t, 2, line.Running)
	require.Len(t, line.Requests, 2)
	require.Equal(t, "2", line.Requests[0].Request)
	require.Equal(t, f.call(true).Fingerprint().String(), line.Requests[0].Fingerprint)
	require.Equal(t, line.Requests[0].Fingerprint, line.Requests[1].Fingerprint, "the id is no part of it")
}
