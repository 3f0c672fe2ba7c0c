package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an upstream, as in the site files.
const (
	heartbeatInterval = 870 * time.Millisecond
	heartbeatTimeout  = time.Second
	upstreamSlots     = 18
	upstreamQueue     = 72
	coldFactor        = 2
)

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // it never fails
	return hex.EncodeToString(b)
}

// arrival is a request that reached an upstream and was not answered with 421.
type arrival struct {
	id       string
	upstream string
	at       time.Time
	cold     bool
	unsafe   bool
	// completed is set when its whole answer was written.
	completed bool
}

// upstream is a stand-in for one start of an application upstream.
type upstream struct {
	id      string
	service string
	born    int64
	work    time.Duration
	node    *node
	rec     *record
	// crashOver is the number of requests in one second while cold above which it crashes; 0 is never.
	crashOver int

	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	queue    chan struct{}
	stop     context.CancelFunc
	stopped  context.Context

	mu        sync.Mutex
	coldUntil time.Time
	sequence  int
	silent    bool
	arrivals  []*arrival
	beatAcked chan struct{}
	// keys is nil unless the service is divided by key.
	keys *holdings
}

// life says how an upstream starts.
type life struct {
	id        string // empty draws a new one
	listens   string // address, if a link stands before it
	firstBeat time.Duration
	checker   *fenceChecker
}

// startUpstream starts an upstream beside a node. It sends heartbeats until it is ended.
func startUpstream(n *node, service string, work time.Duration, rec *record) (*upstream, error) {
	return startLife(n, service, work, rec, life{listens: n.appAddress})
}

// startLife starts an upstream in the way of a life.
func startLife(n *node, service string, work time.Duration, rec *record, how life) (*upstream, error) {
	l, err := net.Listen("tcp", how.listens)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: "i-" + randomHex(5), service: service, born: time.Now().UnixMilli(), work: work, node: n, rec: rec, listener: l,
		slots: make(chan struct{}, upstreamSlots), queue: make(chan struct{}, upstreamSlots+upstreamQueue), beatAcked: make(chan struct{}, 1),
	}
	if how.id != "" {
		u.id = how.id
	}
	if how.checker != nil {
		u.keys = &holdings{life: lifeName(u.id, u.born), checker: how.checker, rec: rec}
	}
	u.stopped, u.stop = context.WithCancel(context.Background())
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	go func() {
		time.Sleep(how.firstBeat)
		u.beat()
	}()
	rec.add("upstream %s of %s starts beside %s", u.id, service, n.id)
	return u, nil
}

// end ends the upstream at once, with the requests that run.
func (u *upstream) end(cause string) {
	running := len(u.slots)
	u.stop()
	_ = u.server.Close()
	u.rec.add("upstream %s ends (%s) while %d requests run", u.id, cause, running)
}

// becomeCold makes the upstream cold for a time.
func (u *upstream) becomeCold(d time.Duration) {
	u.mu.Lock()
	u.coldUntil = time.Now().Add(d)
	u.mu.Unlock()
	u.rec.add("upstream %s is cold for %v", u.id, d)
}

func (u *upstream) coldLeft() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, time.Until(u.coldUntil))
}

// setSilent makes the upstream send no more heartbeats.
func (u *upstream) setSilent() {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
}

// beat sends a heartbeat at each interval.
func (u *upstream) beat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if !silent {
			if u.sendBeat(u.heartbeat()) == http.StatusOK {
				select {
				case u.beatAcked <- struct{}{}:
				default:
				}
			}
		}
		select {
		case <-u.stopped.Done():
			return
		case <-tick.C:
		}
	}
}

// heartbeat returns the next heartbeat.
func (u *upstream) heartbeat() []byte {
	left := u.coldLeft()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	b, err := json.Marshal(map[string]any{
		"service": u.service, "address": u.node.appAddress, "zone": u.node.zone, "version": "v1", "slots": upstreamSlots, "state": "ready",
		"warmupLeft": fmt.Sprintf("%dms", left.Milliseconds()), "sequence": u.sequence, "born": u.born,
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return b
}

// sendBeat sends a heartbeat to the node beside the upstream and returns the status, or 0.
func (u *upstream) sendBeat(body []byte) int { return u.tell(http.MethodPut, body) }

// leave sends the notice that the upstream leaves and returns the status, or 0.
func (u *upstream) leave() int { return u.tell(http.MethodDelete, nil) }

func (u *upstream) tell(method string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.node.control+"/papayapass/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		u.rec.add("upstream %s: %s to %s: no answer (%s)", u.id, method, u.node.id, body)
		return 0
	}
	_ = resp.Body.Close() // the body does not matter
	u.rec.add("upstream %s: %s to %s: %d (%s)", u.id, method, u.node.id, resp.StatusCode, body)
	return resp.StatusCode
}

// ServeHTTP serves a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Papayapass-Server-Load", fmt.Sprintf("%d,%d,%d,100", len(u.slots), max(0, len(u.queue)-len(u.slots)), upstreamSlots))
	if r.URL.Path == "/health" {
		h.Set("X-Papayapass-Instance-Id", u.id)
		h.Set("X-Papayapass-Warmup-Ms", strconv.FormatInt(u.coldLeft().Milliseconds(), 10))
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Papayapass-Attempt-Id")
	h.Set("X-Papayapass-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Papayapass-Expected-Instance"); want != "" && want != u.id {
		h.Set("X-Papayapass-Instance-Id", u.id)
		h.Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/papayapass/") && u.keys != nil {
		u.keys.serve(w, r.URL.Path, body)
		return
	}
	if key, err := strconv.Atoi(r.Header.Get("X-Papayapass-Shard-Key")); u.keys != nil && (err != nil || !u.keys.has(key)) {
		h.Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := u.arrive(id, r.Method == http.MethodPost)
	if id == "" {
		h.Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(30 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("X-Papayapass-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		h.Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		h.Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.rec.add("upstream %s runs %s %s %s", u.id, id, r.Method, r.URL.Path)
	h.Set("X-Papayapass-Response-Signature", randomHex(8))
	work := u.work
	if a.cold {
		work *= coldFactor
	}
	select {
	case <-time.After(work):
	case <-u.stopped.Done():
		panic(http.ErrAbortHandler) // it has ended: no answer
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusOK)
	fmt.Fprintf(w, "%s %d bytes at %s", id, len(body), u.id)
	u.mu.Lock()
	a.completed = u.stopped.Err() == nil
	u.mu.Unlock()
}

// arrive records the arrival of a request. A cold upstream that gets far too many crashes.
func (u *upstream) arrive(id string, unsafe bool) *arrival {
	u.mu.Lock()
	now := time.Now()
	a := &arrival{id: id, upstream: u.id, at: now, cold: now.Before(u.coldUntil), unsafe: unsafe}
	u.arrivals = append(u.arrivals, a)
	recent := 0
	for i := len(u.arrivals) - 1; i >= 0 && u.arrivals[i].cold && now.Sub(u.arrivals[i].at) <= time.Second; i-- {
		recent++
	}
	crash := u.crashOver > 0 && recent > u.crashOver && u.stopped.Err() == nil
	u.mu.Unlock()
	u.rec.addAt(now, "request %s reaches upstream %s%s", id, u.id, map[bool]string{true: ", which is cold"}[a.cold])
	if crash {
		u.end(fmt.Sprintf("crash: %d requests in one second while cold", recent))
	}
	return a
}

// list returns the arrivals so far.
func (u *upstream) list() []*arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*arrival(nil), u.arrivals...)
}
