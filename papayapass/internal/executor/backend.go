// Package executor runs requests on the local backend server.
package executor

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/papayapass/internal/limiter"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/announcer"
)

// Limits of responses and connections. controlConnections are reserved for
// cancel calls.
const (
	maxResponseBytes   = 4 << 20
	idleTimeout        = 30 * time.Second
	cancelTimeout      = 200 * time.Millisecond
	controlConnections = 2
)

// backend holds the HTTP clients and the limiter of one start of the local
// backend server.
type backend struct {
	announcement announcer.Announcement
	client       *fasthttp.HostClient
	control      *fasthttp.HostClient
	limiter      *limiter.Limiter
}

func newBackend(a announcer.Announcement, l *limiter.Limiter) *backend {
	return &backend{
		announcement: a,
		limiter:      l,
		client:       newClient(a.Address, max(1, a.Connections-controlConnections)),
		control:      newClient(a.Address, controlConnections),
	}
}

// newClient returns a client that sends each request once. By default, the
// library resends PUT and GET when a connection ends without a response.
func newClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dial,
		MaxConns:                      connections,
		MaxIdleConnDuration:           idleTimeout,
		MaxResponseBodySize:           maxResponseBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
	}
}

func neverRetry(_ *fasthttp.Request, _ int, _ error) (bool, bool) { return false, false }

// callParams are the values sent to the backend server with a call.
type callParams struct {
	callID  string
	slice   uint64
	token   uint64
	timeout time.Duration
}

// call runs a request and returns the answer and the result for the limiter.
func (b *backend) call(req *wirepb.Request, params callParams) (*wirepb.Answer, limiter.Result) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	b.fillRequest(out, req, params)
	if err := b.client.DoTimeout(out, in, params.timeout); err != nil {
		return b.errorAnswer(req, err)
	}
	if call := in.Header.Peek(announcer.HeaderCall); len(call) > 0 && string(call) != params.callID {
		// The connection is one response behind.
		b.client.CloseIdleConnections()
		return unknown(req, wirepb.Reason_REASON_LOST_CONNECTION), limiter.ResultFailed
	}
	if reason := in.Header.Peek(announcer.HeaderNotRun); len(reason) > 0 {
		return rejectedAnswer(req, reason)
	}
	return &wirepb.Answer{
		Call:    req.GetCall(),
		Outcome: wirepb.Outcome_OUTCOME_ANSWERED,
		Status:  uint32(in.StatusCode()),
		Headers: responseHeaders(&in.Header),
		Body:    bytes.Clone(in.Body()),
	}, limiter.ResultOK
}

func (b *backend) fillRequest(out *fasthttp.Request, req *wirepb.Request, params callParams) {
	out.Header.SetMethodBytes(req.GetMethod())
	out.SetRequestURIBytes(req.GetUri())
	out.UseHostHeader = true
	for _, h := range req.GetHeaders() {
		out.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	if len(out.Header.Host()) == 0 {
		out.Header.SetHost(b.announcement.Address)
	}
	out.Header.Set(announcer.HeaderCall, params.callID)
	out.Header.Set(announcer.HeaderDeadline, strconv.FormatInt(max(1, params.timeout.Milliseconds()), 10))
	if req.GetKeyed() {
		out.Header.Set(announcer.HeaderToken, strconv.FormatUint(params.token, 10))
		out.Header.Set(announcer.HeaderSlice, strconv.FormatUint(params.slice, 16))
	}
	if req.GetTraceParent() != "" {
		out.Header.Set("Traceparent", req.GetTraceParent())
	}
	out.SetBodyRaw(req.GetBody())
}

// errorAnswer returns the outcome of a call without a complete response.
func (b *backend) errorAnswer(req *wirepb.Request, err error) (*wirepb.Answer, limiter.Result) {
	switch {
	case errors.Is(err, errDial), errors.Is(err, errStale), errors.Is(err, fasthttp.ErrDialTimeout):
		return notRun(req, wirepb.Reason_REASON_NO_SERVER), limiter.ResultFailed
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return notRun(req, wirepb.Reason_REASON_OVERLOADED), limiter.ResultIgnored
	case errors.Is(err, fasthttp.ErrTimeout):
		return unknown(req, wirepb.Reason_REASON_DEADLINE), limiter.ResultIgnored
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return unknown(req, wirepb.Reason_REASON_TOO_LARGE), limiter.ResultIgnored
	default:
		return unknown(req, wirepb.Reason_REASON_LOST_CONNECTION), limiter.ResultFailed
	}
}

// rejectedAnswer returns the outcome of a call that the backend server
// rejected.
func rejectedAnswer(req *wirepb.Request, reason []byte) (*wirepb.Answer, limiter.Result) {
	switch string(reason) {
	case announcer.NotRunFenced:
		return notRun(req, wirepb.Reason_REASON_NOT_OWNER), limiter.ResultIgnored
	case announcer.NotRunDraining:
		return notRun(req, wirepb.Reason_REASON_DRAINING), limiter.ResultIgnored
	default:
		return notRun(req, wirepb.Reason_REASON_OVERLOADED), limiter.ResultShed
	}
}

// cancel notifies the backend server that no caller waits for a call any more.
func (b *backend) cancel(callID string) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.SetRequestURI("http://" + b.announcement.Address + announcer.CancelPath + callID)
	out.Header.SetMethod(fasthttp.MethodPost)
	_ = b.control.DoTimeout(out, in, cancelTimeout) // the deadline ends the call as well
}

func notRun(req *wirepb.Request, reason wirepb.Reason) *wirepb.Answer {
	return &wirepb.Answer{Call: req.GetCall(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}

func unknown(req *wirepb.Request, reason wirepb.Reason) *wirepb.Answer {
	return &wirepb.Answer{Call: req.GetCall(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
