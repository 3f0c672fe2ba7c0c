package pipeliner

import (
	"bytes"
	"strings"
)

// maxHeadBytes is the largest head that is looked at. Behind a larger one, no request starts early.
const maxHeadBytes = 16 << 10

// framing says what a head means for the bytes that follow it.
type framing int

const (
	// incomplete means that the head has not ended yet.
	incomplete framing = iota
	// bodiless means that the next request follows the head.
	bodiless
	// opaque means that it cannot be told with certainty where the next request begins: the
	// request has a body, may end its connection, or is not written in the usual way.
	opaque
)

var (
	headEnd    = []byte("\r\n\r\n")
	lineEnd    = []byte("\r\n")
	hostHeader = []byte("host")
	protocol   = []byte(" HTTP/1.1")
	// framedMethods are the methods of requests that the server passes to its handler as they are.
	framedMethods = [][]byte{[]byte("GET "), []byte("HEAD "), []byte("DELETE ")}
	// unframedHeaders are headers behind which the next request does not follow at once, or never.
	unframedHeaders = [][]byte{
		[]byte("content-length"), []byte("transfer-encoding"), []byte("connection"), []byte("expect"), []byte("upgrade"),
	}
)

// frame returns the length of the head at the start of data, and its framing. The length is
// that of all data unless the head is bodiless.
func frame(data []byte) (int, framing) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		if len(data) > maxHeadBytes {
			return len(data), opaque
		}
		return len(data), incomplete
	}
	n := end + len(headEnd)
	if n > maxHeadBytes || !isBodiless(data[:end]) {
		return len(data), opaque
	}
	return n, bodiless
}

// isBodiless reports whether a head without its end is that of a plain request without a body,
// which the server is certain to accept.
func isBodiless(head []byte) bool {
	line, fields, _ := bytes.Cut(head, lineEnd)
	if !bytes.HasSuffix(line, protocol) || !hasAnyPrefix(line, framedMethods) || !isPrintable(line) {
		return false
	}
	hosts := 0
	for len(fields) > 0 {
		line, fields, _ = bytes.Cut(fields, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isPrintable(line) || !isName(name) || hasAnyFold(name, unframedHeaders) {
			return false
		}
		if bytes.EqualFold(name, hostHeader) {
			if hosts++; !isHost(bytes.TrimSpace(value)) {
				return false
			}
		}
	}
	return hosts == 1
}

// isPrintable reports whether a line has printable ASCII characters only, so no line ending that
// servers may read in different ways.
func isPrintable(line []byte) bool {
	for _, b := range line {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

func isName(name []byte) bool { return len(name) > 0 && consistsOf(name, "-_") }

func isHost(host []byte) bool { return len(host) > 0 && consistsOf(host, ".-_:[]") }

// consistsOf reports whether text has only letters, digits and the given characters.
func consistsOf(text []byte, others string) bool {
	for _, b := range text {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && (b < '0' || b > '9') && strings.IndexByte(others, b) < 0 {
			return false
		}
	}
	return true
}

func hasAnyFold(name []byte, list [][]byte) bool {
	for _, other := range list {
		if bytes.EqualFold(name, other) {
			return true
		}
	}
	return false
}

func hasAnyPrefix(b []byte, prefixes [][]byte) bool {
	for _, p := range prefixes {
		if bytes.HasPrefix(b, p) {
			return true
		}
	}
	return false
}
