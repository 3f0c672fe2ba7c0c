package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// newSource returns a stream of a head and size bytes, which ends with an error, or stays open without one.
func newSource(size int, err error) *Stream {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, strings.Repeat("x", size)) // the reader may be gone
		if err != nil {
			_ = w.CloseWithError(err)
		}
	}()
	return NewStream([]byte("head"), r, -1, func() { _ = r.CloseWithError(io.ErrClosedPipe) }, func() {})
}

func doStream(address string, s *Stream) (*Exchanger, *Response, error) {
	e := newTestExchanger(address)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	resp, err := e.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, ID: "1", Stream: s})
	return e, resp, err
}

// A backend server may respond before it has read the body. It must not take the next request for the rest.
func TestResponseBeforeTheEndOfTheBodyEndsTheConnection(t *testing.T) {
	address, _ := serve(t, func(int, string) string { return okResponse("1", "ok") })
	s := newSource(1<<20, nil) // never ends
	e, resp, err := doStream(address, s)
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Body))
	require.Empty(t, e.idle)
	_, err = s.rest.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe, "the body is not read any more")
}

func TestWholeBodyKeepsTheConnection(t *testing.T) {
	l := listenWhole(t)
	s := newSource(1<<20, io.EOF)
	e, resp, err := doStream(l.addr, s)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Equal(t, 4+1<<20, <-l.bodies)
	require.True(t, s.Consumed())
	require.Nil(t, s.head, "it cannot be sent again")
	require.False(t, s.Interrupted())
	require.Len(t, e.idle, 1)
}

// A part of a body must not look whole.
func TestCutBodyIsNotWhole(t *testing.T) {
	l := listenWhole(t)
	cut := errors.New("cut")
	s := newSource(1<<20, cut)
	_, _, err := doStream(l.addr, s)
	require.True(t, errors.Is(err, ErrBodyCut))
	require.False(t, errors.Is(err, ErrDisconnected))
	require.Equal(t, -1, <-l.bodies)
}

// wholeListener answers a request once its body is whole, and tells the length, or -1 if it was cut.
type wholeListener struct {
	addr   string
	bodies chan int
}

func listenWhole(t *testing.T) wholeListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bodies := make(chan int, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			n = -1
		}
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		bodies <- int(n)
	})}
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return wholeListener{l.Addr().String(), bodies}
}
