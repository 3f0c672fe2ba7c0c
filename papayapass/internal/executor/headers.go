package executor

import (
	"strings"

	"github.com/valyala/fasthttp"

	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/announcer"
)

// isHopByHopHeader reports whether a header concerns only one connection.
// Content-Length is included because the HTTP library sets it for each message, and the
// id of a call because it is the node's own.
func isHopByHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", strings.ToLower(announcer.HeaderCall):
		return true
	default:
		return false
	}
}

// RequestHeaders returns the headers of a caller's request that are passed on.
// They refer to the request's memory.
func RequestHeaders(h *fasthttp.RequestHeader) []*wirepb.Header {
	out := make([]*wirepb.Header, 0, h.Len())
	for name, value := range h.All() {
		if !isHopByHopHeader(string(name)) {
			out = append(out, &wirepb.Header{Name: name, Value: value})
		}
	}
	return out
}

// responseHeaders returns copies of the headers of a response that are passed
// on.
func responseHeaders(h *fasthttp.ResponseHeader) []*wirepb.Header {
	out := make([]*wirepb.Header, 0, h.Len())
	for name, value := range h.All() {
		if !isHopByHopHeader(string(name)) {
			out = append(out, &wirepb.Header{Name: append([]byte(nil), name...), Value: append([]byte(nil), value...)})
		}
	}
	return out
}
