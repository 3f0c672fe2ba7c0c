// Package receiver accepts callers' requests over HTTP and sends each its
// response, or the outcome and reason if there is none.
package receiver

import "github.com/valyala/fasthttp"

// requestView adapts an HTTP request to matcher.Request.
type requestView struct {
	ctx *fasthttp.RequestCtx
}

// Method returns the HTTP method.
func (v requestView) Method() []byte { return v.ctx.Method() }

// Path returns the decoded path of the URI.
func (v requestView) Path() []byte { return v.ctx.Path() }

// Host returns the host.
func (v requestView) Host() []byte { return v.ctx.Host() }

// Header returns the value of a header, or nil.
func (v requestView) Header(name string) []byte { return v.ctx.Request.Header.Peek(name) }

// Query returns the value of a query parameter, or nil.
func (v requestView) Query(name string) []byte { return v.ctx.QueryArgs().Peek(name) }
