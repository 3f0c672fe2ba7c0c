package main

import (
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

const (
	keyCount  = 1 << 16
	heartbeat = 870 * time.Millisecond
	// retryBeat is the time until a heartbeat that nobody took is sent again.
	retryBeat = 100 * time.Millisecond
	// drainTimeout is the bound of the site file.
	drainTimeout = 2 * time.Second
)

// upstream is a stand-in for the application upstream of one machine. It can end and start
// again at its address; each start is a life.
type upstream struct {
	name, service, address string
	control                string // of the node on its machine
	work                   time.Duration
	rec                    *recorder

	mu    sync.Mutex
	life  *life
	lives int
	// holdBeats, if set, returns how long a heartbeat is held up on its way.
	holdBeats func(l *life, sequence int) time.Duration
}

// life is one start of an upstream.
type life struct {
	up       *upstream
	id       string
	born     int64
	listener net.Listener
	server   *http.Server
	ended    chan struct{}
	hurry    chan struct{} // wakes the sender of heartbeats

	mu      sync.Mutex
	dead    bool
	acked   int           // heartbeats acknowledged
	grants  int           // grants taken
	hold    time.Duration // of the last grant
	leaving bool
	abrupt  bool      // leaves without reporting draining
	leftAt  time.Time // when its leaving was acknowledged
	lateAt  []time.Time
	late    []string // requests that reached it later than drainTimeout after that
	until   [keyCount]time.Time
	fence   [keyCount]uint64 // of the hold
	seen    [keyCount]uint64 // the highest
	running map[int]int      // requests at work by key
}

type keyCall struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	Handover string `json:"handover"`
}

func newUpstream(name, service, ip string, rec *recorder) *upstream {
	return &upstream{name: name, service: service, address: net.JoinHostPort(ip, freePort(ip)), work: 20 * time.Millisecond, rec: rec}
}

// start starts a life; its first heartbeat leaves after a delay.
func (u *upstream) start(id string, firstBeat time.Duration) *life {
	l, err := net.Listen("tcp", u.address)
	must(err)
	u.mu.Lock()
	u.lives++
	life := &life{up: u, id: id, born: time.Now().UnixMilli(), listener: l, ended: make(chan struct{}), hurry: make(chan struct{}, 1), running: make(map[int]int)}
	u.life = life
	u.mu.Unlock()
	life.server = &http.Server{Handler: life}
	u.rec.addLife(life)
	u.rec.printf("upstream %s starts as %s, born %d", u.name, id, life.born)
	go func() { _ = life.server.Serve(l) }()
	go life.beat(firstBeat)
	return life
}

// crash ends the present life: all its connections break, and it knows nothing more.
func (u *upstream) crash() {
	u.mu.Lock()
	l := u.life
	u.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	close(l.ended)
	_ = l.server.Close()
	u.rec.printf("upstream %s (%s) crashes", u.name, l.id)
}

// drain reports the planned shutdown, goes on for drainTimeout and a little longer after the
// acknowledgement, says good-bye and exits.
func (l *life) drain(longer time.Duration) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.hurry <- struct{}{}
	for {
		l.mu.Lock()
		at := l.leftAt
		l.mu.Unlock()
		if !at.IsZero() {
			time.Sleep(time.Until(at.Add(drainTimeout + longer)))
			break
		}
		time.Sleep(time.Millisecond)
	}
	req, err := http.NewRequest(http.MethodDelete, "http://"+l.up.control+"/papayapass/instances/"+l.id, nil)
	must(err)
	if resp, err := (&http.Client{Timeout: time.Second}).Do(req); err == nil {
		_ = resp.Body.Close()
	}
	l.up.rec.printf("%s has left and exits", l.id)
	l.up.crash()
}

// leave says good-bye without having reported draining, goes on as long as after a drain,
// and exits.
func (l *life) leave(longer time.Duration) {
	l.mu.Lock()
	l.abrupt = true
	l.mu.Unlock()
	for {
		req, err := http.NewRequest(http.MethodDelete, "http://"+l.up.control+"/papayapass/instances/"+l.id, nil)
		must(err)
		if resp, err := (&http.Client{Timeout: time.Second}).Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				break
			}
		}
		time.Sleep(retryBeat)
	}
	l.mu.Lock()
	l.leftAt = time.Now()
	l.mu.Unlock()
	l.up.rec.printf("leaving of %s is acknowledged", l.id)
	time.Sleep(drainTimeout + longer)
	l.up.rec.printf("%s exits", l.id)
	l.up.crash()
}

func (l *life) beat(first time.Duration) {
	client := &http.Client{Timeout: time.Second}
	wait := first
	for sequence := 1; ; sequence++ {
		select {
		case <-l.ended:
			return
		case <-time.After(wait):
		case <-l.hurry:
		}
		wait = heartbeat
		l.mu.Lock()
		if l.abrupt && !l.leftAt.IsZero() {
			l.mu.Unlock()
			return
		}
		state := "ready"
		if l.leaving {
			state = "draining"
		}
		l.mu.Unlock()
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"v1","slots":18,"state":%q,"warmupLeft":"0ms","sequence":%d,"born":%d}`,
			l.up.service, l.up.address, state, sequence, l.born)
		l.up.mu.Lock()
		hold := l.up.holdBeats
		l.up.mu.Unlock()
		if hold != nil {
			if d := hold(l, sequence); d > 0 {
				time.AfterFunc(d, func() { l.send(client, sequence, body, state) })
				continue
			}
		}
		if !l.send(client, sequence, body, state) {
			wait = retryBeat
		}
	}
}

// send sends one heartbeat and reports whether a node took it.
func (l *life) send(client *http.Client, sequence int, body, state string) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+l.up.control+"/papayapass/instances/"+l.id, strings.NewReader(body))
	must(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false // the node is down
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		l.up.rec.printf("heartbeat %d of %s is answered %d", sequence, l.id, resp.StatusCode)
		return true
	}
	l.mu.Lock()
	l.acked++
	n := l.acked
	isLeaving := state == "draining" && l.leftAt.IsZero()
	if isLeaving {
		l.leftAt = time.Now()
	}
	l.mu.Unlock()
	if isLeaving {
		l.up.rec.printf("draining of %s is acknowledged", l.id)
	}
	if n == 1 {
		l.up.rec.printf("first heartbeat of %s is acknowledged", l.id)
	}
	return true
}

func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/papayapass/grant":
		l.grant(w, r)
	case "/papayapass/release":
		l.release(w, r)
	case "/health":
		w.Header().Set("X-Papayapass-Instance-Id", l.id)
		w.Header().Set("X-Papayapass-Server-Load", "0,0,18,100")
	default:
		l.run(w, r)
	}
}

func (l *life) grant(w http.ResponseWriter, r *http.Request) {
	var c keyCall
	arrived := time.Now()
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(c.HoldTime)
	if err != nil || hold > 10*time.Second {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := c.From; k <= c.Target; k++ {
		if l.seen[k] > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	l.grants++
	l.hold = hold
	isNew := false
	for k := c.From; k <= c.Target; k++ {
		if l.fence[k] != c.Fence || l.until[k].Before(arrived) {
			isNew = true
		}
		l.seen[k], l.fence[k], l.until[k] = c.Fence, c.Fence, arrived.Add(hold)
	}
	if isNew {
		l.up.rec.took(l, c.From, c.Target, c.Fence)
		l.up.rec.printf("%s is granted %d to %d, fence %d, for %s", l.id, c.From, c.Target, c.Fence, c.HoldTime)
	}
}

func (l *life) release(w http.ResponseWriter, r *http.Request) {
	var c keyCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	for k := c.From; k <= c.Target; k++ {
		l.until[k] = time.Time{}
		l.seen[k] = max(l.seen[k], c.Fence)
	}
	for l.busy(c.From, c.Target) {
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
		l.mu.Lock()
	}
	l.mu.Unlock()
	l.up.rec.printf("%s releases %d to %d, fence %d", l.id, c.From, c.Target, c.Fence)
	w.Header().Set("X-Papayapass-Handover", "5c0e7a21d94b36f8")
}

func (l *life) busy(from, target int) bool {
	for k, n := range l.running {
		if n > 0 && from <= k && k <= target {
			return true
		}
	}
	return false
}

// holds reports whether this life is up and holds a key, and with which fence.
func (l *life) holds(key int, now time.Time) (uint64, bool) {
	return l.fence[key], !l.dead && l.until[key].After(now)
}

func (l *life) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Papayapass-Attempt-Id")
	w.Header().Set("X-Papayapass-Attempt-Id", id)
	w.Header().Set("X-Papayapass-Server-Load", "1,0,18,100")
	refuse := func(status int) {
		w.Header().Set("X-Papayapass-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("X-Papayapass-Expected-Instance"); want != "" && want != l.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	key := -1
	if l.up.service == "permits" {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Papayapass-Shard-Key")); err != nil || key < 0 || key >= keyCount {
			refuse(http.StatusBadRequest)
			return
		}
	}
	_, _ = io.Copy(io.Discard, r.Body)
	l.mu.Lock()
	if key >= 0 {
		if _, ok := l.holds(key, time.Now()); !ok {
			l.mu.Unlock()
			refuse(http.StatusMisdirectedRequest)
			return
		}
	}
	l.running[key]++
	if d := time.Since(l.leftAt); !l.leftAt.IsZero() && d > drainTimeout {
		l.late, l.lateAt = append(l.late, id), append(l.lateAt, time.Now())
		l.up.rec.printf("DRAIN     %s reaches %s %s after its draining was acknowledged", id, l.id, d.Round(time.Millisecond))
	}
	l.mu.Unlock()
	l.up.rec.ran(l, id, r.Method, r.URL.RequestURI(), key, r.Header.Get("X-Papayapass-Caller-Service"))
	select {
	case <-time.After(l.up.work):
	case <-l.ended:
	}
	l.mu.Lock()
	l.running[key]--
	dead := l.dead
	l.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler) // its connections are closed without an answer
	}
	w.Header().Set("X-Papayapass-Response-Signature", "s."+id)
	_, _ = io.WriteString(w, id)
}
