package worker

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/shared/announcer"
	"papayapass.dev/standin/internal/auditor"
)

// Paths and headers that only the stand-ins use.
const (
	ControlPath = "/standin/control"
	ReportPath  = "/standin/report"
	// HeaderNonce carries the unique id of a request; the response body repeats it.
	HeaderNonce = "Standin-Nonce"
	// HeaderKey carries the key of a request; the response body repeats it.
	HeaderKey = "Standin-Key"
	// HeaderSum carries the CRC-32 checksum of the response body, in hexadecimal.
	HeaderSum = "Standin-Sum"
)

const (
	connectDelay         = time.Millisecond
	announceInterval     = 250 * time.Millisecond
	announceTimeout      = 200 * time.Millisecond
	maxServiceTimeFactor = 3.0
	bodyBytes            = 512
)

// Worker is a backend server.
type Worker struct {
	settings Settings
	server   *fasthttp.Server
	limiter  *concurrencyLimiter
	journal  *os.File
	instance uint64
	started  time.Time
	mu       sync.Mutex
	random   *rand.Rand
	control  Control
	tokens   map[string]uint64
	counts   map[string]int
	cancels  sync.Map
	draining atomic.Bool
}

// NewWorker returns a backend server and opens its journal.
func NewWorker(s Settings) (*Worker, error) {
	journal, err := openJournal(s.Journal)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		settings: s, limiter: newConcurrencyLimiter(s.Slots, s.Cold), journal: journal,
		instance: uint64(time.Now().UnixNano()), started: time.Now(),
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		tokens: make(map[string]uint64), counts: make(map[string]int),
	}
	w.server = &fasthttp.Server{Handler: w.handle, Concurrency: s.Connections}
	return w, nil
}

// openJournal opens the file for executions; an empty name means no journal.
func openJournal(name string) (*os.File, error) {
	if name == "" {
		return nil, nil //nolint:nilnil // no journal is a regular setting
	}
	journal, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return journal, errors.Wrap(err, "open journal")
}

// Run serves requests and announces the server to its node until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.settings.ListenAddress)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- w.server.Serve(slowListener{Listener: listener}) }()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	w.announce()
	for {
		select {
		case err := <-failed:
			return err
		case <-tick.C:
			w.announce()
		case <-ctx.Done():
			return w.stop()
		}
	}
}

// stopTimeout bounds the wait for running requests during a stop.
const stopTimeout = 5 * time.Second

func (w *Worker) stop() error {
	w.draining.Store(true)
	w.announce()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return w.server.ShutdownWithContext(ctx)
}

// slowListener delays the first read of each connection, as the cost of connecting.
type slowListener struct {
	net.Listener
}

// Accept returns the next connection, with a delayed first read.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn}, nil
}

type slowConn struct {
	net.Conn
	hasRead bool
}

// Read reads from the connection; the first call takes connectDelay longer.
func (c *slowConn) Read(p []byte) (int, error) {
	if !c.hasRead {
		c.hasRead = true
		time.Sleep(connectDelay)
	}
	return c.Conn.Read(p)
}

func (w *Worker) announce() {
	w.mu.Lock()
	control := w.control
	w.mu.Unlock()
	if control.Silent {
		return
	}
	a := announcer.Announcement{
		Pool: w.settings.Pool, Address: w.settings.ListenAddress, Zone: w.settings.Zone,
		Slots: w.settings.Slots, Connections: w.settings.Connections,
		Divided: w.settings.Divided, ChecksTokens: w.settings.ChecksTokens,
		Cold: w.settings.Cold, Draining: control.Drain || w.draining.Load(), Instance: w.instance,
	}
	body, err := a.Encode()
	if err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.settings.NodeAddress + announcer.AnnouncePath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	_ = fasthttp.DoTimeout(req, resp, announceTimeout) // announcements repeat at each interval
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == ControlPath:
		w.handleControl(ctx)
	case path == ReportPath:
		body, _ := json.Marshal(w.limiter.report())
		ctx.SetBody(body)
	case strings.HasPrefix(path, announcer.CancelPath):
		if cancel, ok := w.cancels.Load(strings.TrimPrefix(path, announcer.CancelPath)); ok {
			cancel.(context.CancelFunc)()
		}
	default:
		w.serve(ctx)
	}
}

func (w *Worker) handleControl(ctx *fasthttp.RequestCtx) {
	var c Control
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if c.RestartWarmUp {
		w.limiter.restartWarmUp()
	}
	w.mu.Lock()
	w.control = c
	w.mu.Unlock()
}

func (w *Worker) serve(ctx *fasthttp.RequestCtx) {
	if call := ctx.Request.Header.Peek(announcer.HeaderCall); len(call) > 0 {
		ctx.Response.Header.SetBytesV(announcer.HeaderCall, call)
	}
	switch w.limiter.admit() {
	case shed:
		w.reject(ctx, announcer.NotRunShed)
		return
	case collapsed:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
		return
	case admitted:
	}
	defer w.limiter.release()
	if w.fenced(ctx) {
		w.reject(ctx, announcer.NotRunFenced)
		return
	}
	w.runRequest(ctx)
}

func (w *Worker) reject(ctx *fasthttp.RequestCtx, reason string) {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(announcer.HeaderNotRun, reason)
}

// fenced reports whether a request carries a fencing token older than one seen for
// its key.
func (w *Worker) fenced(ctx *fasthttp.RequestCtx) bool {
	if !w.settings.ChecksTokens || !w.settings.Divided {
		return false
	}
	token := fencingToken(ctx)
	key := string(ctx.Request.Header.Peek(HeaderKey))
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.tokens[key] {
		return true
	}
	w.tokens[key] = token
	return false
}

func fencingToken(ctx *fasthttp.RequestCtx) uint64 {
	token, err := strconv.ParseUint(string(ctx.Request.Header.Peek(announcer.HeaderToken)), 10, 64)
	if err != nil {
		return 0
	}
	return token
}

func (w *Worker) runRequest(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(HeaderKey))
	nonce := string(ctx.Request.Header.Peek(HeaderNonce))
	call := string(ctx.Request.Header.Peek(announcer.HeaderCall))
	w.writeJournal(auditor.Execution{
		Server: w.settings.Name, Call: call, Nonce: nonce, Key: key,
		Slice: string(ctx.Request.Header.Peek(announcer.HeaderSlice)), Token: fencingToken(ctx),
		Idempotent: ctx.IsGet(), Keyed: w.settings.Divided, StartNanos: time.Now().UnixNano(),
	})
	duration, count := w.drawDuration(key)
	w.simulateWork(call, duration)
	body := nonce + " " + key + " " + w.settings.Name + " " + strconv.Itoa(count) + "\n"
	body += strings.Repeat(".", max(0, bodyBytes-len(body)))
	ctx.Response.Header.Set(HeaderSum, strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16))
	ctx.SetBodyString(body)
}

// simulateWork waits for the duration or until the call is cancelled.
func (w *Worker) simulateWork(call string, duration time.Duration) {
	if duration == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	w.cancels.Store(call, cancel)
	defer w.cancels.Delete(call)
	<-ctx.Done()
}

// drawDuration returns a random duration for a request and the number of requests
// of its key so far.
func (w *Worker) drawDuration(key string) (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[key]++
	factor := min(maxServiceTimeFactor, w.random.ExpFloat64()/2+0.5) //nolint:mnd // mean one
	if w.control.Slowdown > 0 {
		factor *= w.control.Slowdown
	}
	return time.Duration(factor * float64(w.settings.ServiceTime)), w.counts[key]
}

func (w *Worker) writeJournal(e auditor.Execution) {
	if w.journal == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.journal.Write(append(line, '\n')) // a lost line shows only in the audit's count of executions
}
