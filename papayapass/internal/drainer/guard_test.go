package drainer

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/shedder"
)

// newGuarded returns a drainer that limits its connections, and what it has counted.
func newGuarded(t *testing.T, memory int64, conns int, h http.HandlerFunc) (*Drainer, *pipeListener, chan shedder.Reason) {
	t.Helper()
	p := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	d := NewDrainer(&http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}, p)
	counted := make(chan shedder.Reason, 100)
	d.Limit(&Guard{
		Memory: budgeter.NewBudget(memory), Bodies: budgeter.NewBudget(memory), Unsent: NewSendBudget(memory), MaxConnections: conns, Count: func(r shedder.Reason) { counted <- r },
		Limits: func() shedder.Limits {
			return shedder.Limits{HeadBytes: 4 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}
		},
	})
	go func() { _ = d.Serve() }() // ends with the test
	t.Cleanup(func() { _ = d.Close() })
	return d, p, counted
}

// sweep sweeps once a second for a number of seconds.
func (d *Drainer) sweep(seconds int) {
	for range seconds {
		d.Sweep(time.Second)
	}
}

func (c customer) requireClosed() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.r) // how a pipe is closed does not matter
	require.Empty(c.t, string(rest), "the connection must be closed")
}

// requireServed sends a whole request and requires that it is served.
func (c customer) requireServed() {
	c.t.Helper()
	c.send(firstHalf + secondHalf)
	require.Equal(c.t, http.StatusNoContent, c.receive().StatusCode)
}

func TestRefusedHeadHasNotRun(t *testing.T) {
	cases := map[string]struct {
		line   string
		status int
		reason shedder.Reason
	}{
		"many short fields": {strings.Repeat("a:\r\n", 1000), http.StatusServiceUnavailable, shedder.ReasonMemory},
		"one long field":    {strings.Repeat("a", 9<<10), http.StatusRequestHeaderFieldsTooLarge, shedder.ReasonHeadSize},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			_, p, counted := newGuarded(t, 2*connectionBytes+100<<10, 10, ok)
			c, ordinary := p.connect(t), p.connect(t)
			ordinary.requireServed()
			go func() { _, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n"+tt.line) }() // the node closes the connection
			resp := c.receive()
			require.Equal(t, tt.status, resp.StatusCode)
			require.True(t, resp.Close)
			c.requireClosed()
			require.Equal(t, tt.reason, <-counted)
			ordinary.requireServed()
		})
	}
}

// A request sent ahead waits in the server's buffer, where its head is not seen as it arrives.
func TestRequestsSentAheadAreServed(t *testing.T) {
	d, p, _ := newGuarded(t, 1<<20, 10, ok)
	c := p.connect(t)
	c.send(strings.Repeat(firstHalf+secondHalf, 5))
	for range 5 {
		require.Equal(t, http.StatusNoContent, c.receive().StatusCode)
	}
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return d.guard.Memory.Used() == 0 && d.open.Load() == 0 }, time.Minute, time.Millisecond)
}

func TestFullListenerShedsSilentConnections(t *testing.T) {
	d, p, counted := newGuarded(t, 1<<20, 4, ok)
	kept, silent, other, running := p.connect(t), p.connect(t), p.connect(t), p.connect(t)
	kept.requireServed()
	running.requireServed()
	p.connect(t).requireClosed()
	require.Equal(t, shedder.ReasonConns, <-counted)
	d.sweep(1) // young connections stay
	d.sweep(2)
	p.connect(t).requireClosed()
	require.Equal(t, shedder.ReasonConns, <-counted)
	d.sweep(1)
	require.Equal(t, shedder.ReasonShed, <-counted)
	require.Eventually(t, func() bool { return d.open.Load() == 3 }, time.Minute, time.Millisecond)
	kept.requireServed()
	running.requireServed()
	p.connect(t).requireServed()
	_, _ = silent, other // one of them was closed
}

// 200 clients that sent requests ahead held all connections, and others got none.
func TestFullListenerClosesAfterResponses(t *testing.T) {
	d, p, counted := newGuarded(t, 1<<20, 4, ok)
	conns := []customer{p.connect(t), p.connect(t), p.connect(t), p.connect(t)}
	for _, c := range conns {
		c.requireServed()
	}
	p.connect(t).requireClosed()
	require.Equal(t, shedder.ReasonConns, <-counted)
	conns[0].send(firstHalf + secondHalf)
	require.True(t, conns[0].receive().Close)
	require.Eventually(t, func() bool { return d.open.Load() == 3 }, time.Minute, time.Millisecond)
	conns[1].send(firstHalf + secondHalf)
	require.False(t, conns[1].receive().Close, "there is room again")
	p.connect(t).requireServed()
}

func TestTimeLimits(t *testing.T) {
	cases := map[string]struct {
		sent    string
		seconds int
		reason  shedder.Reason
	}{
		"idle":            {firstHalf + secondHalf, 17, shedder.ReasonIdle},
		"unused":          {"", 17, shedder.ReasonIdle},
		"head that stops": {firstHalf, 6, shedder.ReasonHeadTime},
		"body that stops": {"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", 10, shedder.ReasonBody},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			failed := make(chan error, 1)
			d, p, counted := newGuarded(t, 1<<20, 10, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/body" {
					_, err := io.ReadAll(r.Body)
					failed <- err
				}
				ok(w, r)
			})
			c := p.connect(t)
			if tt.sent != "" {
				c.send(tt.sent)
			}
			if tt.reason == shedder.ReasonIdle && tt.sent != "" {
				c.receive()
			}
			require.Eventually(t, func() bool { return d.waits(tt.reason) }, time.Minute, time.Millisecond)
			d.sweep(tt.seconds)
			require.Empty(t, counted, "within the limit")
			d.sweep(2)
			require.Equal(t, tt.reason, <-counted)
			if tt.reason == shedder.ReasonBody {
				require.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
				require.Equal(t, http.StatusNoContent, c.receive().StatusCode, "the handler's answer")
			}
			c.requireClosed()
		})
	}
}

// waits reports whether the connection is in the phase of a limit.
func (d *Drainer) waits(r shedder.Reason) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		phase := c.snapshot().Phase
		return phase == map[shedder.Reason]shedder.Phase{shedder.ReasonHeadTime: shedder.Head, shedder.ReasonBody: shedder.Body}[r]
	}
	return false
}

// Time limits count only what the client takes: a request may run for as long as the node needs.
func TestRunningRequestsAreNotCut(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	d, p, counted := newGuarded(t, 1<<20, 10, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		close(started)
		<-end
		require.NoError(t, r.Context().Err())
		ok(w, r)
	})
	c := p.connect(t)
	c.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	<-started
	d.sweep(300)
	require.Empty(t, counted)
	close(end)
	require.Equal(t, http.StatusNoContent, c.receive().StatusCode)
}

func TestHeadCounter(t *testing.T) {
	cases := map[string]struct {
		text  string
		lines int
		rest  string
	}{
		"a head":              {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3, ""},
		"line feeds":          {"GET / HTTP/1.1\nHost: h\n\n", 3, ""},
		"a body behind it":    {"POST / HTTP/1.1\r\nHost: h\r\n\r\na\n\nb", 3, "a\n\nb"},
		"a head that stops":   {"GET / HTTP/1.1\r\nHo", 1, ""},
		"an empty line first": {"\r\nGET / HTTP/1.1\r\n\r\n", 3, ""},
	}
	for name, tt := range cases {
		for _, piece := range []int{1, 3, 1 << 10} {
			t.Run(name, func(t *testing.T) {
				h, lines, size, rest := headCounter{}, 0, 0, ""
				for text := tt.text; text != ""; {
					n := min(piece, len(text))
					s, l, r := h.count([]byte(text[:n]))
					size, lines, rest = size+s, lines+l, rest+string(r)
					text = text[n:]
				}
				require.Equal(t, tt.lines, lines)
				require.Equal(t, tt.rest, rest)
				require.Equal(t, len(tt.text)-len(tt.rest), size)
				require.Equal(t, size, h.size)
			})
		}
	}
}
