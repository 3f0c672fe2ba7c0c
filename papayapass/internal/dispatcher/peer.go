package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// Paths of calls from other nodes. The bodies of those to StreamPath are passed on while they arrive.
const (
	CallPath   = "/call"
	StreamPath = "/call/stream"
)

const (
	// peerConnectTimeout limits connecting to a peer: a few round trips between zones.
	peerConnectTimeout = 300 * time.Millisecond
	// peerMaxIdle is the longest time that an idle connection to a peer is kept.
	peerMaxIdle = 20 * time.Second
	// peerBackoff is how long a peer is not tried after a failed connect.
	peerBackoff = 250 * time.Millisecond
	// maxBodyBytes is the largest body of a response.
	maxBodyBytes = 64 << 20
	// headerFieldBytes is the memory of a header field of a call, with the copies that are made of it.
	headerFieldBytes = 256
)

// callHead is the head of a call between nodes; the request's body follows it.
type callHead struct {
	ID               string      `json:"id"`
	Method           string      `json:"method"`
	URI              string      `json:"uri"`
	Host             string      `json:"host"`
	Header           http.Header `json:"header"`
	Route            string      `json:"route"`
	Service          string      `json:"service"`
	Divided          bool        `json:"divided,omitempty"`
	Key              uint16      `json:"key,omitempty"`
	Idempotent       bool        `json:"idempotent,omitempty"`
	Priority         int         `json:"priority,omitempty"`
	CustomerPriority int         `json:"customerPriority,omitempty"`
	Customer         string      `json:"customer,omitempty"`
	Version          uint64      `json:"version,omitempty"` // of the configuration that names the customer
	Objective        int64       `json:"objectiveMillis,omitempty"`
	Caller           string      `json:"caller"`
	Left             int64       `json:"leftMillis"` // until the deadline
	NoQueue          bool        `json:"impatient,omitempty"`
	Trace            string      `json:"trace,omitempty"`
	Notice           *Notice     `json:"notice,omitempty"`
	IsSuspect        bool        `json:"suspect,omitempty"`
	WantsLoad        bool        `json:"load,omitempty"`
}

// resultHead is the head of the result of a call; the response's body follows it.
type resultHead struct {
	Outcome      string      `json:"outcome"`
	Reason       Reason      `json:"reason,omitempty"`
	Retry        int64       `json:"retryMillis,omitempty"`
	Sent         bool        `json:"offered,omitempty"`
	Disconnected bool        `json:"disconnected,omitempty"`
	ServerEnded  bool        `json:"serverEnded,omitempty"`
	Status       int         `json:"status,omitempty"`
	Header       http.Header `json:"header,omitempty"`
	Notice       *Notice     `json:"notice,omitempty"`
	Load         *Load       `json:"load,omitempty"`
}

// Peer serves calls at the backend server of another node.
type Peer struct {
	clock     timer.Clock
	enveloper *enveloper.Enveloper
	exchanger *exchanger.Exchanger
	host      string

	mu           sync.Mutex
	backoffUntil timer.Instant
	inFlight     int
	// notice is what the backend server of the peer last said about itself.
	notice Notice
	// wantsLoad makes calls ask for the load; load is the last one received.
	wantsLoad bool
	load      PeerLoad
}

// PeerLoad is the load of the backend server of a peer, as a result carried it.
type PeerLoad struct {
	Load

	// ReceivedAt is zero if no result has carried a load.
	ReceivedAt timer.Instant
	// InFlight is the number of calls of this node that were then in flight to the peer.
	InFlight int
}

// NewPeer returns a peer at an IP address and port.
func NewPeer(address string, clock timer.Clock, e *enveloper.Enveloper) *Peer {
	return newPeer(address, clock, e, peerConnectTimeout)
}

func newPeer(address string, clock timer.Clock, e *enveloper.Enveloper, connectTimeout time.Duration) *Peer {
	return &Peer{
		clock: clock, enveloper: e, host: address,
		exchanger: exchanger.NewExchanger(address, connectTimeout, peerMaxIdle, maxBodyBytes, nil),
	}
}

// Limit makes a limit hold for the connections to the peer; it must be called before the first call.
func (p *Peer) Limit(l *exchanger.ConnectionLimit) *Peer {
	p.exchanger.Limit(l)
	return p
}

// Close closes the idle connections.
func (p *Peer) Close() { p.exchanger.Close() }

// InFlight returns the number of calls in flight to the peer.
func (p *Peer) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Reachable reports whether no connect to the peer has failed recently.
func (p *Peer) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoffUntil <= p.clock.Now()
}

// FollowLoad makes calls ask for the load of the backend server, and returns the last one.
func (p *Peer) FollowLoad() PeerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantsLoad = true
	return p.load
}

// asksForLoad reports whether a call asks for the load. Owners of keys need not tell theirs.
func (p *Peer) asksForLoad(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wantsLoad && !c.Divided
}

// keepLoad keeps the load of a result. Its call still counts as in flight.
func (p *Peer) keepLoad(l *Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = PeerLoad{Load: *l, ReceivedAt: p.clock.Now(), InFlight: p.inFlight - 1}
}

func (p *Peer) addInFlight(n int) {
	p.mu.Lock()
	p.inFlight += n
	p.mu.Unlock()
}

// Serve sends a call to the peer.
func (p *Peer) Serve(ctx context.Context, c *Call) Result {
	if !p.Reachable() {
		return Result{Outcome: NotRun, Reason: ReasonUnreachable}
	}
	p.addInFlight(1)
	defer p.addInFlight(-1)
	head, err := p.enveloper.PackHead(callHead{
		ID: c.ID, Method: c.Method, URI: c.URI, Host: c.Host, Header: c.Header, Route: c.Route, Service: c.Service,
		Divided: c.Divided, Key: c.Key, Idempotent: c.Idempotent, Priority: c.Priority, CustomerPriority: c.CustomerPriority, Customer: c.Customer, Version: c.ConfigurationVersion,
		Objective: c.Objective.Milliseconds(), Caller: c.Caller,
		Left: c.Deadline.Sub(p.clock.Now()).Milliseconds(), NoQueue: c.NoQueue, Trace: c.Trace, Notice: p.knownNotice(),
		IsSuspect: c.IsSuspect, WantsLoad: p.asksForLoad(c),
	})
	if err != nil {
		return Result{Outcome: NotRun, Reason: ReasonBroken}
	}
	path := CallPath
	if c.Stream != nil {
		path = StreamPath
	}
	response, err := p.exchanger.Do(ctx, exchanger.Request{
		Method: http.MethodPost, URI: path, Host: p.host, Header: http.Header{}, Body: head, Tail: c.Body, Stream: c.Stream,
		MaxIdle: peerMaxIdle, Memory: c.Memory,
	})
	switch {
	case errors.Is(err, exchanger.ErrNoConnections):
		return Result{Outcome: NotRun, Reason: ReasonConnections}
	case errors.Is(err, exchanger.ErrNotSent):
		p.mu.Lock()
		p.backoffUntil = p.clock.Now().Add(peerBackoff)
		p.mu.Unlock()
		return Result{Outcome: NotRun, Reason: ReasonUnreachable}
	case err != nil || response.Status != http.StatusOK:
		return Result{Outcome: Unknown, Reason: ReasonBroken, Sent: true}
	default:
		return p.decode(response)
	}
}

// knownNotice returns the peer's notice, or nil if there is nothing to tell.
func (p *Peer) knownNotice() *Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice.orNil()
}

// orNil returns the notice, or nil if the backend server said nothing.
func (n Notice) orNil() *Notice {
	if n.ServerNotice == (descriptor.ServerNotice{}) {
		return nil
	}
	return &n
}

// keepNotice keeps the notice of a result; a result that the backend server had no part in
// may carry none. Results overtake each other, so that only another server, or another start
// of it, replaces one that leaves.
func (p *Peer) keepNotice(n *Notice, sent bool) Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.notice
	switch {
	case n != nil:
		p.notice = *n
		if left.Server == n.Server && left.StartedAtMillis == n.StartedAtMillis {
			p.notice.Leaving = n.Leaving || left.Leaving
		}
	case sent:
		p.notice = Notice{}
		if left.Leaving {
			p.notice.Server, p.notice.StartedAtMillis, p.notice.Leaving = left.Server, left.StartedAtMillis, true
		}
	}
	return p.notice
}

func (p *Peer) decode(response *exchanger.Response) Result {
	var head resultHead
	body, err := p.enveloper.Open(response.Body, &head)
	if err != nil {
		return Result{Outcome: Unknown, Reason: ReasonBroken, Sent: true}
	}
	r := Result{Reason: head.Reason, Retry: time.Duration(head.Retry) * time.Millisecond, Sent: head.Sent, Disconnected: head.Disconnected, ServerEnded: head.ServerEnded}
	r.Notice = p.keepNotice(head.Notice, head.Sent)
	p.keepLoad(head.Load)
	switch head.Outcome {
	case Answered.String():
		r.Outcome, r.Response = Answered, &exchanger.Response{Status: head.Status, Header: head.Header, Body: body}
	case NotRun.String():
		r.Outcome = NotRun
	default:
		r.Outcome = Unknown
	}
	return r
}

// PeerHandler serves other nodes' calls at the local backend server.
type PeerHandler struct {
	server    Server
	clock     timer.Clock
	enveloper *enveloper.Enveloper
	memory    *budgeter.Budget
	tracer    *tracer.Tracer
}

// NewPeerHandler returns a handler of peers' calls.
func NewPeerHandler(s Server, clock timer.Clock, e *enveloper.Enveloper, memory *budgeter.Budget, t *tracer.Tracer) *PeerHandler {
	return &PeerHandler{server: s, clock: clock, enveloper: e, memory: memory, tracer: t}
}

// ServeHTTP serves one call of another node.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	memory := p.memory.Lease()
	defer memory.Close()
	envelope, err := memory.ReadAll(r.Body, maxBodyBytes, r.ContentLength)
	if errors.Is(err, budgeter.ErrExhausted) {
		p.reply(w, resultHead{Outcome: NotRun.String(), Reason: ReasonFull}, nil)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var head callHead
	body, err := p.enveloper.Open(envelope, &head)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.serve(w, r, &head, body, nil, memory)
}

// ServeStream serves one call of another node whose body is passed on while it arrives.
func (p *PeerHandler) ServeStream(w http.ResponseWriter, r *http.Request) {
	memory := p.memory.Lease()
	defer memory.Close()
	w.Header().Set("Connection", "close") // the rest of the body may never be read
	var head callHead
	length, err := p.readHead(r.Body, &head, memory)
	switch {
	case errors.Is(err, budgeter.ErrExhausted):
		p.reply(w, resultHead{Outcome: NotRun.String(), Reason: ReasonFull}, nil)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.ContentLength >= 0 {
		length = r.ContentLength - length
	} else {
		length = -1
	}
	p.serve(w, r, &head, nil, exchanger.NewStream(nil, r.Body, length, interrupter(w), func() {}), memory)
	limitRest(w)
}

// readHead reads the head of an envelope and returns its length.
func (p *PeerHandler) readHead(r io.Reader, head *callHead, memory *budgeter.Lease) (int64, error) {
	envelope := make([]byte, enveloper.PrefixBytes)
	if _, err := io.ReadFull(r, envelope); err != nil {
		return 0, err
	}
	n, err := enveloper.HeadLength(envelope)
	if err != nil {
		return 0, err
	}
	rest, err := memory.ReadAll(io.LimitReader(r, n-enveloper.PrefixBytes), n, n-enveloper.PrefixBytes)
	if err != nil {
		return 0, err
	}
	_, err = p.enveloper.Open(append(envelope, rest...), head)
	return n, err
}

// serve serves a call at the local backend server.
func (p *PeerHandler) serve(w http.ResponseWriter, r *http.Request, head *callHead, body []byte, stream *exchanger.Stream, memory *budgeter.Lease) {
	if err := errors.CombineErrors(memory.Take(int64(headerFieldBytes*len(head.Header))), takeUnsent(memory, body)); err != nil {
		p.reply(w, resultHead{Outcome: NotRun.String(), Reason: ReasonFull}, nil)
		return
	}
	ctx, span, trace := p.tracer.Start(r.Context(), "serve for a node", head.Trace, trace.SpanKindServer)
	defer span.End()
	c := &Call{
		ID: head.ID, Method: head.Method, URI: head.URI, Host: head.Host, Header: head.Header, Body: body, Stream: stream,
		Route: head.Route, Service: head.Service, Divided: head.Divided, Key: head.Key, Idempotent: head.Idempotent,
		Priority: head.Priority, CustomerPriority: head.CustomerPriority, Customer: head.Customer, ConfigurationVersion: head.Version, Objective: time.Duration(head.Objective) * time.Millisecond, Caller: head.Caller,
		Deadline: p.clock.Now().Add(time.Duration(head.Left) * time.Millisecond), NoQueue: head.NoQueue,
		Trace: trace, Memory: memory, IsSuspect: head.IsSuspect, WantsLoad: head.WantsLoad,
	}
	if head.Notice != nil {
		c.Notice = *head.Notice
	}
	res := p.server.Serve(ctx, c)
	result := resultHead{
		Outcome: res.Outcome.String(), Reason: res.Reason, Retry: res.Retry.Milliseconds(), Sent: res.Sent,
		Disconnected: res.Disconnected, ServerEnded: res.ServerEnded, Notice: res.Notice.orNil(), Load: res.Load,
	}
	body = nil
	if res.Outcome == Answered {
		result.Status, result.Header, body = res.Response.Status, endToEnd(res.Response.Header), res.Response.Body
	}
	p.reply(w, result, body)
}

// reply responds with the result of a call and the response's body.
func (p *PeerHandler) reply(w http.ResponseWriter, result resultHead, body []byte) {
	packed, err := p.enveloper.PackHead(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	WriteEnvelope(w, packed, body)
}

// WriteEnvelope responds to a peer with an envelope and with as few headers as possible.
func WriteEnvelope(w http.ResponseWriter, packed, body []byte) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", strconv.Itoa(len(packed)+len(body)))
	_, _ = w.Write(packed) // the peer may have disconnected
	_, _ = w.Write(body)
}

// writeResponse writes a whole response with its length.
func writeResponse(w http.ResponseWriter, r *exchanger.Response) {
	h := w.Header()
	for name, values := range endToEnd(r.Header) {
		h[name] = values
	}
	if _, ok := r.Header["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := r.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if len(r.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // the customer may have disconnected
}

// hopByHop lists the headers that concern a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// endToEnd returns the headers except those that concern a single connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHop {
		out.Del(name)
	}
	return out
}
