package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/timer"
)

// Headers between nodes.
const (
	// HeaderHop carries what the next node must know of a call.
	HeaderHop = "Papayapass-Hop"
	// headerOutcome carries outcome, reason, retry time and whether it was offered.
	headerOutcome = "Papayapass-Outcome"
)

const (
	// peerConnect bounds connecting to a peer: a few round trips between zones.
	peerConnect = 300 * time.Millisecond
	// peerIdle is how long a connection to a peer is kept.
	peerIdle = 20 * time.Second
	// peerPause is how long a peer that did not take a connection is not tried.
	peerPause = 250 * time.Millisecond
	// maxBody is the largest body of an answer.
	maxBody = 64 << 20
)

// hop is what a node tells the next one of a call.
type hop struct {
	ID         string `json:"i"`
	Route      string `json:"r"`
	Service    string `json:"s"`
	Divided    bool   `json:"d,omitempty"`
	Key        uint16 `json:"k,omitempty"`
	Idempotent bool   `json:"t,omitempty"`
	Priority   int    `json:"p,omitempty"`
	Objective  int64  `json:"o,omitempty"`
	Caller     string `json:"c"`
	Left       int64  `json:"l"` // milliseconds until the deadline
	Impatient  bool   `json:"n,omitempty"`
}

// Peer reaches the backend server beside another node.
type Peer struct {
	clock     timer.Clock
	exchanger *exchanger.Exchanger

	mu       sync.Mutex
	pausedTo timer.Instant
	inFlight int
}

// NewPeer returns a peer at an IP address and port.
func NewPeer(address string, clock timer.Clock) *Peer {
	return &Peer{clock: clock, exchanger: exchanger.NewExchanger(address, peerConnect, peerIdle, maxBody, nil)}
}

// Close ends the kept connections.
func (p *Peer) Close() { p.exchanger.Close() }

// InFlight returns the calls on their way to the peer.
func (p *Peer) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Reachable says whether the peer has not just failed to take a connection.
func (p *Peer) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedTo <= p.clock.Now()
}

func (p *Peer) count(n int) {
	p.mu.Lock()
	p.inFlight += n
	p.mu.Unlock()
}

// Serve sends a call to the peer.
func (p *Peer) Serve(ctx context.Context, c *Call) Result {
	if !p.Reachable() {
		return Result{Outcome: NotRun, Reason: ReasonUnreachable}
	}
	p.count(1)
	defer p.count(-1)
	h := c.Header.Clone()
	info, err := json.Marshal(hop{
		ID: c.ID, Route: c.Route, Service: c.Service, Divided: c.Divided, Key: c.Key, Idempotent: c.Idempotent,
		Priority: c.Priority, Objective: c.Objective.Milliseconds(), Caller: c.Caller,
		Left: c.Deadline.Sub(p.clock.Now()).Milliseconds(), Impatient: c.Impatient,
	})
	if err != nil {
		return Result{Outcome: NotRun, Reason: ReasonBroken}
	}
	h.Set(HeaderHop, string(info))
	answer, err := p.exchanger.Do(ctx, exchanger.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, FreshWithin: peerIdle,
	})
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		p.mu.Lock()
		p.pausedTo = p.clock.Now().Add(peerPause)
		p.mu.Unlock()
		return Result{Outcome: NotRun, Reason: ReasonUnreachable}
	case err != nil:
		return Result{Outcome: Unknown, Reason: ReasonBroken, Offered: true}
	default:
		return decodeResult(answer)
	}
}

func decodeResult(answer *exchanger.Answer) Result {
	parts := strings.Split(answer.Header.Get(headerOutcome), ";")
	if len(parts) != 4 {
		return Result{Outcome: Unknown, Reason: ReasonBroken, Offered: true}
	}
	retry, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		retry = 0 // a peer of another version; the time is only advice
	}
	r := Result{Reason: Reason(parts[1]), Retry: time.Duration(retry) * time.Millisecond, Offered: parts[3] == "1"}
	switch parts[0] {
	case Answered.String():
		answer.Header.Del(headerOutcome)
		r.Outcome, r.Answer = Answered, answer
	case NotRun.String():
		r.Outcome = NotRun
	default:
		r.Outcome = Unknown
	}
	return r
}

// PeerHandler serves the calls of other nodes at the backend server beside this one.
type PeerHandler struct {
	server Server
	clock  timer.Clock
}

// NewPeerHandler returns a handler of peers' calls.
func NewPeerHandler(s Server, clock timer.Clock) *PeerHandler {
	return &PeerHandler{server: s, clock: clock}
}

// ServeHTTP serves one call of another node.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var info hop
	if err := json.Unmarshal([]byte(r.Header.Get(HeaderHop)), &info); err != nil {
		http.Error(w, "no hop", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the peer broke off, and nothing was run
	}
	r.Header.Del(HeaderHop)
	c := &Call{
		ID: info.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Route: info.Route, Service: info.Service, Divided: info.Divided, Key: info.Key, Idempotent: info.Idempotent,
		Priority: info.Priority, Objective: time.Duration(info.Objective) * time.Millisecond, Caller: info.Caller,
		Deadline: p.clock.Now().Add(time.Duration(info.Left) * time.Millisecond), Impatient: info.Impatient,
	}
	res := p.server.Serve(r.Context(), c)
	offered := "0"
	if res.Offered {
		offered = "1"
	}
	h := w.Header()
	h[headerOutcome] = []string{strings.Join([]string{
		res.Outcome.String(), string(res.Reason), strconv.FormatInt(res.Retry.Milliseconds(), 10), offered,
	}, ";")}
	if res.Outcome != Answered {
		h["Date"] = nil
		w.WriteHeader(http.StatusOK)
		return
	}
	writeAnswer(w, res.Answer)
}

// writeAnswer writes a whole answer with its length.
func writeAnswer(w http.ResponseWriter, a *exchanger.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if len(a.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the customer may have gone
}

// hopByHop are the headers that concern one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// forwarded returns the headers of a request that go on to the backend server.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHop {
		out.Del(name)
	}
	out.Del(HeaderHop)
	return out
}
