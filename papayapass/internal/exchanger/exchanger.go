// Package exchanger sends HTTP/1.1 requests over kept connections of which each
// carries one request at a time, and takes only the answer that belongs to the
// request. The parsing is the standard library's.
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Errors of an exchange. After ErrNotSent the request has certainly not reached the
// server; after any other it may have run.
var (
	ErrNotSent      = errors.New("request was not sent")
	ErrOtherRequest = errors.New("answer belongs to another request")
	ErrMalformed    = errors.New("answer is not whole")
)

const (
	bufferBytes = 4 << 10
	// foreignAnswers is how many answers of earlier requests are skipped.
	foreignAnswers = 3
	// silentAfter ends connections whose peer acknowledges nothing.
	silentAfter = 1500 * time.Millisecond
	// keepAlive is the time between probes of idle connections.
	keepAlive = 1 * time.Second
)

// Request is one request with its whole body.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest idle time of a kept connection that may carry the
	// request; a connection that its server forgot resets what is sent on it.
	MaxIdle time.Duration
}

// Response is one answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchanger holds the kept connections to one address.
type Exchanger struct {
	address string
	dialer  net.Dialer
	maxIdle time.Duration
	maxBody int64
	// belongs says whether an answer belongs to a request; nil takes all.
	belongs func(answer, request http.Header) bool

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	idleAt  time.Time
	expires time.Time
}

// NewExchanger returns an exchanger without connections.
func NewExchanger(address string, connect, maxIdle time.Duration, maxBody int64, belongs func(answer, request http.Header) bool) *Exchanger {
	return &Exchanger{address: address, dialer: NewDialer(connect), maxIdle: maxIdle, maxBody: maxBody, belongs: belongs}
}

// NewDialer returns a dialer whose connections end when the peer goes silent.
func NewDialer(connect time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         controlSocket,
	}
}

// Close ends all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	list := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // nothing is due on an idle connection
	}
}

// Do sends a request and returns its answer. The end of ctx breaks the exchange off.
func (e *Exchanger) Do(ctx context.Context, req Request) (*Response, error) {
	c, err := e.connection(ctx, req.MaxIdle)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, keep, err := e.exchange(c, req)
	if !stop() || err != nil || !keep {
		_ = c.Close() // the exchange is over, whatever closing says
		return answer, err
	}
	e.park(c)
	return answer, nil
}

func (e *Exchanger) connection(ctx context.Context, fresh time.Duration) (*conn, error) {
	now := time.Now()
	for {
		e.mu.Lock()
		if len(e.idle) == 0 {
			e.mu.Unlock()
			break
		}
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		e.mu.Unlock()
		if now.Before(c.expires) && now.Sub(c.idleAt) <= fresh && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := e.dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

func (e *Exchanger) park(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.idleAt = time.Now()
	if c.expires.IsZero() || c.expires.After(c.idleAt.Add(e.maxIdle)) {
		c.expires = c.idleAt.Add(e.maxIdle)
	}
	e.idle = append(e.idle, c)
}

func (e *Exchanger) exchange(c *conn, req Request) (*Response, bool, error) {
	if err := write(c, req); err != nil {
		return nil, false, errors.Wrap(err, "send")
	}
	for range foreignAnswers {
		answer, keep, err := e.read(c, req.Method)
		if err != nil {
			return nil, false, err
		}
		if e.belongs == nil || e.belongs(answer.Header, req.Header) {
			return answer, keep, nil
		}
		if !keep && c.r.Buffered() == 0 {
			return nil, false, errors.Wrap(ErrOtherRequest, "the connection ends after it")
		}
	}
	return nil, false, ErrOtherRequest
}

func write(c *conn, req Request) error {
	w := bufio.NewWriterSize(c, bufferBytes)
	_, _ = w.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	if err := req.Header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)
	return w.Flush() // reports the errors of all writes before it
}

// read reads one answer. The second result says whether the connection may carry
// another request.
func (e *Exchanger) read(c *conn, method string) (*Response, bool, error) {
	var resp *http.Response
	for {
		var err error
		if resp, err = http.ReadResponse(c.r, &http.Request{Method: method}); err != nil {
			return nil, false, errors.Mark(errors.Wrap(err, "read the answer"), ErrMalformed)
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, e.maxBody+1))
	_ = resp.Body.Close() // read to its end, or given up
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read the answer's body"), ErrMalformed)
	}
	if int64(len(body)) > e.maxBody {
		return nil, false, errors.Wrap(ErrMalformed, "the answer is too large")
	}
	if c.expires, err = expiry(resp.Header); err != nil {
		resp.Close = true
	}
	keep := !resp.Close && c.r.Buffered() == 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
}

// expiry returns when the server will have closed an idle connection, less a fifth.
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

// quiet says whether an idle connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
