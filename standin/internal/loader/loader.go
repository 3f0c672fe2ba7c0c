package loader

import (
	"context"
	"hash/crc32"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/shared/announcer"
	"papayapass.dev/standin/internal/worker"
)

// Limits of a run.
const (
	maxInFlight    = 4000
	requestTimeout = 8 * time.Second
	connectTimeout = 500 * time.Millisecond
	maxConnections = 2000
)

// Settings configure a run.
type Settings struct {
	// Nodes lists the addresses at which nodes listen for callers.
	Nodes []string
	// Kinds lists the types of request, with their weights.
	Kinds []Kind
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Keys is the number of keys in each key group.
	Keys int
	// ShiftEvery is the interval at which other keys become hot; zero means never.
	ShiftEvery time.Duration
	// Seed seeds the sequence of requests.
	Seed uint64
	// Uniform makes all keys equally popular.
	Uniform bool
	// WatchKeys is the number of the most popular keys of each key group for which
	// the longest time between answered requests is measured.
	WatchKeys int
	// NoncePrefix is the prefix of nonces. It distinguishes runs.
	NoncePrefix string
}

// Loader sends the requests of a run.
type Loader struct {
	settings  Settings
	client    *fasthttp.Client
	nodeIndex atomic.Uint64
	report    *Report
	pending   sync.WaitGroup
	inFlight  atomic.Int64
}

// NewLoader returns a loader for one run.
func NewLoader(s Settings) *Loader {
	return &Loader{
		settings: s,
		report:   newReport(s.Kinds, s.WatchKeys),
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, connectTimeout) },
			DisablePathNormalizing:    true,
		},
	}
}

// Run sends requests at the configured rate, regardless of earlier responses (open
// loop), and returns their results.
func (l *Loader) Run(ctx context.Context) *Report {
	g := newGenerator(l.settings)
	started := time.Now()
	due := started
	shift := 0
	for ctx.Err() == nil && due.Sub(started) < l.settings.Duration {
		if l.settings.ShiftEvery > 0 {
			shift = int(due.Sub(started)/l.settings.ShiftEvery) * l.settings.Keys / 3 //nolint:mnd // a third of the ranks
		}
		req := g.next(shift)
		due = due.Add(time.Duration(req.arrivalGap / l.settings.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		l.startRequest(req, due)
	}
	l.pending.Wait()
	l.report.summarize()
	return l.report
}

func (l *Loader) startRequest(req request, due time.Time) {
	if l.inFlight.Load() >= maxInFlight {
		l.report.mu.Lock()
		l.report.Skipped++
		l.report.mu.Unlock()
		return
	}
	l.inFlight.Add(1)
	l.pending.Add(1)
	go func() {
		defer l.pending.Done()
		defer l.inFlight.Add(-1)
		res := l.send(req)
		res.latency = time.Since(due)
		l.report.record(res)
	}()
}

// send tries the nodes in turn until one accepts the connection. A node that
// refused the connection has not received the request, so the next one is safe.
func (l *Loader) send(req request) result {
	var res result
	for range l.settings.Nodes {
		node := l.settings.Nodes[l.nodeIndex.Add(1)%uint64(len(l.settings.Nodes))]
		var connected bool
		if res, connected = l.sendTo(node, req); connected {
			return res
		}
	}
	return res
}

// sendTo sends a request to a node. It returns false if no connection was made.
func (l *Loader) sendTo(node string, r request) (result, bool) {
	k := l.settings.Kinds[r.kind]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + node + k.prefix + r.key + k.suffix)
	req.Header.SetMethod(k.method)
	req.Header.Set(worker.HeaderNonce, r.nonce)
	req.Header.Set(worker.HeaderKey, r.key)
	req.Header.Set(announcer.HeaderAccount, "office-"+r.caller[:1])
	req.Header.Set(announcer.HeaderCaller, r.caller)
	if err := l.client.DoTimeout(req, resp, requestTimeout); err != nil {
		var op *net.OpError
		refused := errors.As(err, &op) && op.Op == "dial"
		return result{request: r, outcome: "failed", reason: "caller: " + err.Error()}, !refused
	}
	res := result{
		request: r,
		outcome: string(resp.Header.Peek(announcer.HeaderOutcome)),
		reason:  string(resp.Header.Peek(announcer.HeaderReason)),
	}
	if res.outcome == "answered" {
		res.wrong, res.short = checkResponse(r, resp)
	}
	return res, true
}

// checkResponse reports whether a response is for another request, and whether its
// body does not match its checksum.
func checkResponse(r request, resp *fasthttp.Response) (wrong, short bool) {
	body := string(resp.Body())
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(resp.Body())), 16)
	short = resp.StatusCode() == fasthttp.StatusOK && sum != string(resp.Header.Peek(worker.HeaderSum))
	wrong = !strings.HasPrefix(body, r.nonce+" "+r.key+" ")
	return wrong, short
}
