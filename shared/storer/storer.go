// Package storer reads, writes and watches objects of the platform's object
// API, as docs/PLATFORM.md describes it.
package storer

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Headers and parameters of the object API.
const (
	// ObjectsPath is the path that object names follow.
	ObjectsPath = "/v1/objects/"
	// HeaderVersion carries the version of an object in responses.
	HeaderVersion = "Object-Version"
	// HeaderIfVersion carries the version that a write replaces; zero creates the object.
	HeaderIfVersion = "If-Object-Version"
	// ParamAfter is the version above which a watch returns.
	ParamAfter = "after"
	// ParamWait is the maximum duration of a watch, in milliseconds.
	ParamWait = "waitMillis"
	// MaxObjectBytes is the maximum size of a value.
	MaxObjectBytes = 1 << 20
)

const (
	maxConnections           = 16
	maxIdleDuration          = 10 * time.Second
	watchResponseMargin      = time.Second
	maxResponseOverheadBytes = 4096
)

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ErrConflict means that the object's version is not the one to replace.
var ErrConflict = errors.New("object has another version")

// ErrUnchanged means that a watch ended without a newer version.
var ErrUnchanged = errors.New("object unchanged")

// ErrTooLarge means that a value exceeds MaxObjectBytes.
var ErrTooLarge = errors.New("object too large")

// ErrUnavailable means that the platform did not send a valid response. A write
// that returns it is in doubt.
var ErrUnavailable = errors.New("platform unavailable")

// Object is a value and its version.
type Object struct {
	version uint64
	value   []byte
}

// NewObject returns an object with a version and a value.
func NewObject(version uint64, value []byte) Object {
	return Object{version: version, value: value}
}

// Version returns the version, which increases with each write.
func (o Object) Version() uint64 { return o.version }

// Value returns the value.
func (o Object) Value() []byte { return o.value }

// Client is an HTTP client of the platform's object API.
type Client struct {
	base   string
	client *fasthttp.Client
}

// NewClient returns a client of the platform at an IP address and port.
func NewClient(address string) *Client {
	return &Client{
		base: "http://" + address + ObjectsPath,
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxConnections,
			MaxIdleConnDuration:       maxIdleDuration,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			MaxResponseBodySize:       MaxObjectBytes + maxResponseOverheadBytes,
		},
	}
}

func neverRetry(_ *fasthttp.Request, _ int, _ error) (bool, bool) {
	return false, false
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	return c.read(ctx, c.base+name, 0)
}

// Watch waits up to wait until the version of an object exceeds after, and returns
// ErrUnchanged if it doesn't.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Object, error) {
	uri := c.base + name + "?" + ParamAfter + "=" + strconv.FormatUint(after, 10) +
		"&" + ParamWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.read(ctx, uri, wait+watchResponseMargin)
}

// Put replaces version ifVersion of an object, or creates it when that is
// zero, and returns the new version. After ErrUnavailable the write is in doubt:
// read the object back.
func (c *Client) Put(ctx context.Context, name string, ifVersion uint64, value []byte) (uint64, error) {
	if len(value) > MaxObjectBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s has %d bytes", name, len(value))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + name)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.Header.Set(HeaderIfVersion, strconv.FormatUint(ifVersion, 10))
	req.SetBody(value)
	if err := c.do(ctx, req, resp, 0); err != nil {
		return 0, err
	}
	return versionOf(resp)
}

func (c *Client) read(ctx context.Context, uri string, timeout time.Duration) (Object, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	if err := c.do(ctx, req, resp, timeout); err != nil {
		return Object{}, err
	}
	version, err := versionOf(resp)
	if err != nil {
		return Object{}, err
	}
	return Object{version: version, value: bytes.Clone(resp.Body())}, nil
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if timeout > 0 {
		req.SetTimeout(timeout)
	}
	deadline, ok := ctx.Deadline()
	var err error
	if ok {
		err = c.client.DoDeadline(req, resp, deadline)
	} else {
		err = c.client.Do(req, resp)
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "call the platform"), ErrUnavailable)
	}
	return statusError(resp.StatusCode())
}

func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusNotModified:
		return ErrUnchanged
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Wrapf(ErrUnavailable, "the platform responded with status %d", status)
	}
}

func versionOf(resp *fasthttp.Response) (uint64, error) {
	version, err := strconv.ParseUint(string(resp.Header.Peek(HeaderVersion)), 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, "the platform's response has no version")
	}
	return version, nil
}
