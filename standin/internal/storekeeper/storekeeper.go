package storekeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/shared/storer"
)

// Paths for the control of the stand-in.
const (
	FaultsPath = "/v1/faults"
	CountsPath = "/v1/counts"
)

// Rate limits of the platform. Watches count as reads.
const (
	maxWritesPerSecond = 400
	maxReadsPerSecond  = 2000
)

// object is a value with its version and the previous value.
type object struct {
	version  uint64
	value    []byte
	previous []byte
	changed  chan struct{}
}

// Storekeeper stores objects in memory and serves them over HTTP.
type Storekeeper struct {
	server  *fasthttp.Server
	mu      sync.Mutex
	objects map[string]*object
	faults  Faults
	counts  Counts
	writes  rateLimit
	reads   rateLimit
}

// rateLimit limits the calls in each second of wall-clock time.
type rateLimit struct {
	second int64
	calls  int
	limit  int
}

func (r *rateLimit) allow(now time.Time) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.calls = second, 0
	}
	r.calls++
	return r.calls <= r.limit
}

// NewStorekeeper returns a platform without objects.
func NewStorekeeper() *Storekeeper {
	s := &Storekeeper{
		objects: make(map[string]*object),
		writes:  rateLimit{limit: maxWritesPerSecond},
		reads:   rateLimit{limit: maxReadsPerSecond},
	}
	s.server = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: storer.MaxObjectBytes}
	return s
}

// Serve handles requests from the listener until Stop is called.
func (s *Storekeeper) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// Stop shuts the server down gracefully.
func (s *Storekeeper) Stop(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

// SetFaults replaces the injected faults.
func (s *Storekeeper) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Storekeeper) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == FaultsPath:
		s.handleFaults(ctx)
	case path == CountsPath:
		s.handleCounts(ctx)
	case strings.HasPrefix(path, storer.ObjectsPath):
		s.handleObject(ctx, strings.TrimPrefix(path, storer.ObjectsPath))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Storekeeper) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Storekeeper) handleCounts(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	body, err := json.Marshal(counts)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (s *Storekeeper) handleObject(ctx *fasthttp.RequestCtx, name string) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.delay())
	if ctx.IsPut() {
		s.put(ctx, name, f)
		return
	}
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(storer.ParamAfter)), 10, 64)
	if err != nil {
		s.get(ctx, name, f)
		return
	}
	wait, err := strconv.Atoi(string(ctx.QueryArgs().Peek(storer.ParamWait)))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.watch(ctx, name, after, time.Duration(wait)*time.Millisecond, f)
}

// errRateLimit is returned when the rate limit of the current second is exceeded.
var errRateLimit = errors.New("rate limit exceeded")

func (s *Storekeeper) put(ctx *fasthttp.RequestCtx, name string, f Faults) {
	ifVersion, err := strconv.ParseUint(string(ctx.Request.Header.Peek(storer.HeaderIfVersion)), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	version, err := s.replace(name, ifVersion, ctx.PostBody())
	switch {
	case errors.Is(err, errRateLimit):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case f.LoseAnswers:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
	default:
		setVersion(ctx, version)
	}
}

func (s *Storekeeper) replace(name string, ifVersion uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if !s.writes.allow(time.Now()) {
		s.counts.Refused++
		return 0, errRateLimit
	}
	o, ok := s.objects[name]
	if !ok {
		o = &object{changed: make(chan struct{})}
	}
	if o.version != ifVersion {
		return 0, storer.ErrConflict
	}
	s.objects[name] = o
	o.previous = o.value
	o.value = bytes.Clone(value)
	o.version++
	close(o.changed)
	o.changed = make(chan struct{})
	return o.version, nil
}

func (s *Storekeeper) get(ctx *fasthttp.RequestCtx, name string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	if !s.reads.allow(time.Now()) {
		s.counts.Refused++
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	o, ok := s.objects[name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if f.StaleReads && o.previous != nil {
		setVersion(ctx, o.version-1)
		ctx.SetBody(o.previous)
		return
	}
	setVersion(ctx, o.version)
	ctx.SetBody(o.value)
}

func (s *Storekeeper) watch(ctx *fasthttp.RequestCtx, name string, after uint64, wait time.Duration, f Faults) {
	if f.SilentWatches {
		time.Sleep(time.Minute)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	s.counts.Watches++
	allowed := s.reads.allow(time.Now())
	s.mu.Unlock()
	if !allowed {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	for {
		value, version, changed := s.lookUp(name)
		if version > after {
			setVersion(ctx, version)
			ctx.SetBody(value)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}

// lookUp returns an object and a channel that is closed at its next change. The
// channel is nil if the object does not exist; a watch then ends without a value
// when its wait is over.
func (s *Storekeeper) lookUp(name string) ([]byte, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return nil, 0, nil
	}
	return o.value, o.version, o.changed
}

func setVersion(ctx *fasthttp.RequestCtx, version uint64) {
	ctx.Response.Header.Set(storer.HeaderVersion, strconv.FormatUint(version, 10))
}
