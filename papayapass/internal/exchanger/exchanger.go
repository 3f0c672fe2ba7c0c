// Package exchanger sends HTTP/1.1 requests over persistent connections, one request at a
// time on each, and accepts only the response that matches the request. The standard
// library parses the responses.
package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"papayapass.dev/papayapass/internal/budgeter"
)

// Errors of an exchange. After ErrNotSent the request has certainly not reached the
// server; after any other error it may have run.
var (
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that nothing listens at the address.
	ErrRefused = errors.New("connection refused")
	// ErrUnguarded means that the guard of the request did not allow it.
	ErrUnguarded    = errors.New("request not allowed any more")
	ErrOtherRequest = errors.New("response belongs to another request")
	ErrMalformed    = errors.New("malformed or incomplete response")
	ErrHeadTooLarge = errors.New("response head too large")
	// ErrDisconnected means that the server closed the connection during the exchange.
	ErrDisconnected = errors.New("server closed the connection")
	// ErrBodyCut means that the body of the request ended early, or could not be read.
	ErrBodyCut = errors.New("body of the request was cut")
)

const (
	bufferBytes = 4 << 10
	// maxResponsesRead limits the responses read for a request; those to earlier requests
	// are skipped.
	maxResponsesRead = 3
	// maxHeadBytes is the largest head of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// maxInterim limits the interim (1xx) responses before a response.
	maxInterim = 8
	// maxIDs is the number of ids that a connection carries before it is closed; it bounds
	// the memory for them.
	maxIDs = 100
	// maxRepeats is the number of idle connections that have all carried the same id.
	maxRepeats = 8
	// maxFraming is how much more than its body a chunked body may take on the wire, as a
	// multiple of the largest body.
	maxFraming = 2
	// unackedTimeout is the time after which a connection with unacknowledged data is
	// closed.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between probes of an idle connection.
	keepAliveInterval = 1 * time.Second
)

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// Request is a request with its whole body.
type Request struct {
	// ID is the id that the response names; no connection carries an id twice.
	ID string
	// OwnConnection sends the request over a new connection that carries no other. Without
	// an id, only the first response on a connection is certainly the request's.
	OwnConnection bool

	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Tail follows Body, and Stream, if any, follows both while it arrives.
	Tail   []byte
	Stream *Stream
	// MaxIdle is the longest idle time of a connection that may carry the request. A
	// server that has already dropped the connection resets it when data arrives.
	MaxIdle time.Duration
	// Matches reports whether a response may be one to the request, besides what the
	// exchanger checks; nil accepts all.
	Matches func(*Response) bool
	// Guard is asked once the connection is open; the request is not sent if it returns false.
	// Nil allows it.
	Guard func() bool
	// Memory takes the memory of the response's body; nil leaves it to the largest body.
	Memory *budgeter.Lease
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Skipped is the number of responses to other requests that arrived before this one.
	Skipped int
	// Followed is set if more data arrived together with the response.
	Followed bool
}

// Exchanger holds the persistent connections to one address.
type Exchanger struct {
	address string
	dialer  net.Dialer
	maxIdle time.Duration
	maxBody int64
	// matches reports whether a response matches a request; nil accepts all.
	matches func(response, request http.Header) bool
	limit   *ConnectionLimit // nil without one

	mu   sync.Mutex
	idle []*conn
}

// NewExchanger returns an exchanger without connections.
func NewExchanger(address string, connectTimeout, maxIdle time.Duration, maxBody int64, matches func(response, request http.Header) bool) *Exchanger {
	dialer := NewDialer(connectTimeout)
	dialer.Control = setSocketOptions
	return &Exchanger{address: address, dialer: dialer, maxIdle: maxIdle, maxBody: maxBody, matches: matches}
}

// NewDialer returns a dialer whose connections are closed if the peer stops acknowledging.
func NewDialer(connectTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         setUserTimeout,
	}
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	list := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // no data is pending on an idle connection
	}
}

// closeOldest closes the connection that has been idle for longest, and reports whether there was one.
func (e *Exchanger) closeOldest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) == 0 {
		return false
	}
	_ = e.idle[0].Close() // no data is pending on an idle connection
	e.idle = slices.Delete(e.idle, 0, 1)
	return true
}

// closeExpired closes the connections that no request would use any more.
func (e *Exchanger) closeExpired() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		isExpired := !now.Before(c.expires)
		if isExpired {
			_ = c.Close() // no data is pending on an idle connection
		}
		return isExpired
	})
}

// Do sends a request and returns its response. The exchange is aborted when ctx is done.
func (e *Exchanger) Do(ctx context.Context, req Request) (*Response, error) {
	c, err := e.connection(ctx, req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if req.Guard != nil && (!req.Guard() || ctx.Err() != nil) {
		_ = c.Close() // nothing was sent
		return nil, errors.Mark(ErrUnguarded, ErrNotSent)
	}
	if req.ID != "" {
		c.ids = append(c.ids, req.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, keep, err := e.roundTrip(c, req)
	if err != nil && req.Stream != nil && req.Stream.Err() != nil {
		err = errors.Mark(errors.CombineErrors(req.Stream.Err(), err), ErrBodyCut)
	} else if err != nil && (c.disconnected || errors.IsAny(err, unix.ECONNRESET, unix.EPIPE)) {
		err = errors.Mark(err, ErrDisconnected)
	}
	if !stop() || err != nil || !keep || !mayFollow(req, response) || len(c.ids) >= maxIDs {
		_ = c.Close() // the exchange has ended, the error does not matter
		return response, err
	}
	e.putIdle(c)
	return response, nil
}

// Connect opens a connection and keeps it for a later request.
func (e *Exchanger) Connect(ctx context.Context) error {
	c, err := e.dial(ctx)
	if err != nil {
		return err
	}
	e.putIdle(c)
	return nil
}

func (e *Exchanger) dial(ctx context.Context) (*conn, error) {
	if err := e.limit.take(); err != nil {
		return nil, err
	}
	raw, err := e.dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		e.limit.give()
		if errors.Is(err, unix.ECONNREFUSED) {
			err = errors.Mark(err, ErrRefused)
		}
		return nil, errors.Wrap(err, "connect")
	}
	c := newConn(raw)
	c.limit = e.limit
	return c, nil
}

// mayFollow reports whether the connection of an exchange may carry another one. Where no id
// tells responses apart, only a success may come before the next one.
func mayFollow(req Request, response *Response) bool {
	return !req.OwnConnection && (req.ID != "" || response.Status == http.StatusOK)
}

func (e *Exchanger) connection(ctx context.Context, req Request) (*conn, error) {
	now := time.Now()
	for !req.OwnConnection {
		c := e.takeIdle(req.ID)
		if c == nil {
			break
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= req.MaxIdle && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return e.dial(ctx)
}

// takeIdle removes and returns the idle connection that was used last, of those that have
// not carried the id; nil if there is none. If many have carried it, it closes the oldest one: otherwise
// requests that repeat an id would add connections without end.
func (e *Exchanger) takeIdle(id string) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range slices.Backward(e.idle) {
		if !slices.Contains(c.ids, id) {
			e.idle = slices.Delete(e.idle, i, i+1)
			return c
		}
	}
	if len(e.idle) >= maxRepeats {
		_ = e.idle[0].Close() // no data is pending on an idle connection
		e.idle = slices.Delete(e.idle, 0, 1)
	}
	return nil
}

func (e *Exchanger) putIdle(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.idleSince = time.Now()
	if c.expires.IsZero() || c.expires.After(c.idleSince.Add(e.maxIdle)) {
		c.expires = c.idleSince.Add(e.maxIdle)
	}
	e.idle = append(e.idle, c)
}

func (e *Exchanger) roundTrip(c *conn, req Request) (*Response, bool, error) {
	if req.Stream != nil {
		return e.streamTrip(c, req)
	}
	if err := writeRequest(c, req); err != nil {
		return nil, false, errors.Wrap(err, "send")
	}
	return e.receive(c, req)
}

// mayHaveBody reports whether requests of a method are framed although they have no body.
func mayHaveBody(method string) bool { return method != http.MethodGet && method != http.MethodHead }

// receive reads responses until one matches the request.
func (e *Exchanger) receive(c *conn, req Request) (*Response, bool, error) {
	for skipped := range maxResponsesRead {
		response, keep, err := e.readResponse(c, req)
		if err != nil {
			return nil, false, err
		}
		if e.matchesRequest(response, req) {
			response.Skipped = skipped
			return response, keep, nil
		}
		if !keep && c.r.Buffered() == 0 {
			return nil, false, errors.Wrap(ErrOtherRequest, "the connection closes after this response")
		}
	}
	return nil, false, ErrOtherRequest
}

func (e *Exchanger) matchesRequest(r *Response, req Request) bool {
	return (e.matches == nil || e.matches(r.Header, req.Header)) && (req.Matches == nil || req.Matches(r))
}

func writeRequest(c *conn, req Request) error {
	w := bufio.NewWriterSize(c, bufferBytes)
	_, _ = w.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	switch length := len(req.Body) + len(req.Tail); {
	case req.Stream != nil:
		_, _ = w.WriteString(req.Stream.frame(length))
	case length > 0 || mayHaveBody(req.Method):
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if err := req.Header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	if req.Stream != nil {
		if err := req.Stream.writeTo(w, req.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	_, _ = w.Write(req.Body)
	_, _ = w.Write(req.Tail)
	return w.Flush() // reports the errors of all earlier writes
}

// readResponse reads one response. The second result reports whether the connection can be
// reused.
func (e *Exchanger) readResponse(c *conn, req Request) (*Response, bool, error) {
	resp, err := readHead(c, req.Method)
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read the response"), ErrMalformed)
	}
	if isFramingLost(resp) {
		return nil, false, errors.Wrap(ErrMalformed, "no length on a connection that is kept")
	}
	c.unread = maxFraming*e.maxBody + maxHeadBytes
	body, err := req.Memory.ReadAll(resp.Body, e.maxBody, resp.ContentLength)
	_ = resp.Body.Close() // read to its end or abandoned
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read the response body"), ErrMalformed)
	}
	if c.expires, err = expiry(resp.Header); err != nil {
		resp.Close = true
	}
	followed := c.r.Buffered() > 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Followed: followed}, !resp.Close && !followed, nil
}

// readHead reads the head of a response after the interim ones.
func readHead(c *conn, method string) (*http.Response, error) {
	c.unread = maxHeadBytes
	for range maxInterim {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if containsStatusLine(resp) {
			return nil, errors.Newf("part of another response before %q", resp.Status)
		}
		if !IsStatus(resp.StatusCode) {
			return nil, errors.Newf("status %03d", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("response switches protocols")
		}
	}
	return nil, errors.Newf("more than %d interim responses", maxInterim)
}

// IsStatus reports whether a number is a status of HTTP. An answer with another one is malformed.
func IsStatus(n int) bool { return n >= 100 && n <= 599 }

// isFramingLost reports whether a head leaves the end of its body to the end of a connection
// that it keeps. The line with the length is missing, and the body may be too. The library
// has removed Connection if it holds "close".
func isFramingLost(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return false
	}
	options := strings.ToLower(strings.Join(resp.Header.Values("Connection"), ","))
	return resp.Header.Get("Keep-Alive") != "" || strings.Contains(options, "keep-alive")
}

// containsStatusLine reports whether a head contains a second status line. The server began
// another response, abandoned it and did not close the connection; status and headers may
// be from either response.
func containsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// expiry returns the time at which the server closes an idle connection, less a fifth of
// its time-out; zero if the server gives none.
func expiry(h http.Header) (time.Time, error) {
	const field = "timeout="
	v := h.Get("Keep-Alive")
	if len(v) <= len(field) || v[:len(field)] != field {
		return time.Time{}, nil
	}
	end := len(field)
	for end < len(v) && v[end] >= '0' && v[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(v[len(field):end])
	if err != nil {
		return time.Time{}, err
	}
	return time.Now().Add(time.Duration(n) * time.Second * 4 / 5), nil
}
