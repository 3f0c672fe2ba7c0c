package receiver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/meter"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
)

const testRules = `path=/permits/ method=POST pool=permits key=path:2 idempotent=no # desk
path=/permits/ pool=permits key=path:2 accountLimit=1 # desk
path=/grades/ pool=lots key=any class=bulk deadline=2s # services
`

// recordingRouter records its requests and returns the scripted answer.
type recordingRouter struct {
	mu     sync.Mutex
	seen   []*wirepb.Request
	answer func(req *wirepb.Request) *wirepb.Answer
}

func (r *recordingRouter) Route(_ context.Context, req *wirepb.Request) *wirepb.Answer {
	r.mu.Lock()
	r.seen = append(r.seen, &wirepb.Request{
		Pool: req.GetPool(), Keyed: req.GetKeyed(), Idempotent: req.GetIdempotent(),
		Class: req.GetClass(), TimeLeftMicros: req.GetTimeLeftMicros(), Body: append([]byte(nil), req.GetBody()...),
	})
	r.mu.Unlock()
	return r.answer(req)
}

func (r *recordingRouter) requests() []*wirepb.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*wirepb.Request(nil), r.seen...)
}

type fixedView struct{ view *keeper.View }

func (f fixedView) View() *keeper.View { return f.view }

func echo(req *wirepb.Request) *wirepb.Answer {
	return &wirepb.Answer{
		Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: fasthttp.StatusOK, Body: append([]byte("echo "), req.GetBody()...),
	}
}

// serve starts a receiver and returns its address.
func serve(t *testing.T, r Router) string {
	table := assigner.NewTable("cell", 1, assigner.NewMember("a", "", "", "z", 1))
	view := keeper.NewView("a", table, 0, &wirepb.Configuration{Version: 1, Rules: testRules})
	spans, err := tracer.NewTracer(t.Context(), "", 0, "a")
	require.NoError(t, err)
	rc := NewReceiver(r, fixedView{view: view}, meter.NewMeter(), spans, zerolog.Nop(), 1, NewLimits(1024, 200*time.Millisecond, 64))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rc.Serve(listener) // returns when the listener closes
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// exchange sends raw bytes and returns the head of the response.
func exchange(t *testing.T, address, text string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close() //nolint:errcheck // the test ends
	_, err = fmt.Fprint(conn, text)
	require.NoError(t, err)
	var head strings.Builder
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return head.String()
		}
		head.WriteString(line)
	}
}

func TestIncompleteRequests(t *testing.T) {
	tests := map[string]struct {
		text   string
		status string
		reason string
	}{
		"body over the limit": {
			text:   "POST /permits/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000),
			status: "413", reason: "too-large",
		},
		"body that stalls": {
			text:   "POST /permits/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
			status: "408", reason: "deadline",
		},
		"not HTTP":              {text: "nonsense\r\n\r\n", status: "400", reason: "bad-request"},
		"no rule":               {text: "GET /other HTTP/1.1\r\nHost: x\r\n\r\n", status: "404", reason: "no-rule"},
		"no key":                {text: "GET /permits/ HTTP/1.1\r\nHost: x\r\n\r\n", status: "400", reason: "bad-request"},
		"header over the limit": {text: "GET /permits/1 HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 20_000) + "\r\n\r\n", status: "431", reason: "too-large"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &recordingRouter{answer: echo}
			head := exchange(t, serve(t, r), tt.text)
			require.Contains(t, head, "HTTP/1.1 "+tt.status)
			require.Contains(t, head, "Papayapass-Outcome: not-run")
			require.Contains(t, head, "Papayapass-Reason: "+tt.reason)
			require.Empty(t, r.requests(), "no request may reach the router")
		})
	}
}

func TestOutcomesOfAnswers(t *testing.T) {
	tests := map[string]struct {
		answer *wirepb.Answer
		status string
		lines  []string
	}{
		"answered":          {answer: &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 201}, status: "201", lines: []string{"Papayapass-Outcome: answered"}},
		"not run":           {answer: &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_OVERLOADED}, status: "503", lines: []string{"Papayapass-Outcome: not-run", "Papayapass-Reason: overloaded", "Retry-After: 1"}},
		"deadline exceeded": {answer: &wirepb.Answer{Reason: wirepb.Reason_REASON_DEADLINE}, status: "504", lines: []string{"Papayapass-Outcome: unknown"}},
		"connection lost":   {answer: &wirepb.Answer{Reason: wirepb.Reason_REASON_LOST_CONNECTION}, status: "502", lines: []string{"Papayapass-Outcome: unknown", "Papayapass-Reason: lost-connection"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &recordingRouter{answer: func(*wirepb.Request) *wirepb.Answer { return tt.answer }}
			head := exchange(t, serve(t, r), "GET /permits/1 HTTP/1.1\r\nHost: x\r\n\r\n")
			require.Contains(t, head, "HTTP/1.1 "+tt.status)
			for _, line := range tt.lines {
				require.Contains(t, head, line)
			}
		})
	}
}

func TestRulesSetRequestFields(t *testing.T) {
	r := &recordingRouter{answer: echo}
	address := serve(t, r)
	exchange(t, address, "POST /permits/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	exchange(t, address, "GET /grades/7 HTTP/1.1\r\nHost: x\r\nPapayapass-Deadline-Millis: 300\r\n\r\n")
	seen := r.requests()
	require.Len(t, seen, 2)
	require.True(t, seen[0].GetKeyed())
	require.False(t, seen[0].GetIdempotent())
	require.Equal(t, "body", string(seen[0].GetBody()))
	require.False(t, seen[1].GetKeyed())
	require.True(t, seen[1].GetIdempotent())
	require.Equal(t, wirepb.Class_CLASS_BULK, seen[1].GetClass())
	require.EqualValues(t, 300_000, seen[1].GetTimeLeftMicros())
}

func TestAccountLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	r := &recordingRouter{answer: func(req *wirepb.Request) *wirepb.Answer {
		entered <- struct{}{}
		<-release
		return echo(req)
	}}
	address := serve(t, r)
	first := make(chan string, 1)
	go func() {
		first <- exchange(t, address, "GET /permits/1 HTTP/1.1\r\nHost: x\r\nPapayapass-Account: office\r\n\r\n")
	}()
	<-entered
	head := exchange(t, address, "GET /permits/2 HTTP/1.1\r\nHost: x\r\nPapayapass-Account: office\r\n\r\n")
	require.Contains(t, head, "HTTP/1.1 429")
	require.Contains(t, head, "Papayapass-Reason: limit")
	close(release)
	require.Contains(t, <-first, "HTTP/1.1 200")
}
