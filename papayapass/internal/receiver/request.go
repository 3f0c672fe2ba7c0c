// Package receiver takes the requests of callers over HTTP and gives each its
// answer, or says what became of it.
package receiver

import "github.com/valyala/fasthttp"

// requestView shows a request to the rules.
type requestView struct {
	ctx *fasthttp.RequestCtx
}

// Method returns the HTTP method.
func (v requestView) Method() []byte { return v.ctx.Method() }

// Path returns the path of the URI, decoded.
func (v requestView) Path() []byte { return v.ctx.Path() }

// Host returns the host.
func (v requestView) Host() []byte { return v.ctx.Host() }

// Header returns a header, or nothing.
func (v requestView) Header(name string) []byte { return v.ctx.Request.Header.Peek(name) }

// Query returns a query parameter, or nothing.
func (v requestView) Query(name string) []byte { return v.ctx.QueryArgs().Peek(name) }
