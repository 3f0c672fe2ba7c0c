package fingerprinter

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	request := func() Request {
		return Request{Caller: "permits", Method: "POST", Host: "h", URI: "/a/b?c=d", Key: 7, Body: []byte("body")}
	}
	require.Equal(t, Sum(request()), Sum(request()))
	cases := map[string]func(*Request){
		"caller":                  func(r *Request) { r.Caller = "records" },
		"method":                  func(r *Request) { r.Method = "PUT" },
		"host":                    func(r *Request) { r.Host = "i" },
		"path":                    func(r *Request) { r.URI = "/a/c?c=d" },
		"query":                   func(r *Request) { r.URI = "/a/b?c=e" },
		"key":                     func(r *Request) { r.Key = 8 },
		"body":                    func(r *Request) { r.Body = []byte("bodx") },
		"no body":                 func(r *Request) { r.Body = nil },
		"other bounds of fields":  func(r *Request) { r.Host, r.URI = "h/", "a/b?c=d" },
		"body as part of the URI": func(r *Request) { r.URI, r.Body = "/a/b?c=dbody", nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := request()
			change(&r)
			require.NotEqual(t, Sum(request()), Sum(r))
		})
	}
}

// Nodes of different versions must agree on the fingerprint of a request.
func TestFingerprintIsStable(t *testing.T) {
	r := Request{Caller: "permits", Method: "GET", Host: "h", URI: "/a", Key: 7}
	require.Equal(t, "50df928f057fbcee", Sum(r).String())
}

func TestFingerprintAllocatesNothing(t *testing.T) {
	r := Request{Caller: "permits", Method: "POST", Host: "h", URI: "/a", Key: 7, Body: bytes.Repeat([]byte("x"), 1<<20)}
	require.Zero(t, testing.AllocsPerRun(10, func() { Sum(r) }))
}
