package exchanger

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Connections to one node must not keep those to others from being opened.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	respond := func(_ int, id string) string { return okResponse(id, "ok") }
	first, _ := serve(t, respond)
	second, _ := serve(t, respond)
	release := make(chan struct{})
	slow, _ := serve(t, func(_ int, id string) string {
		<-release
		return okResponse(id, "ok")
	})
	l := NewConnectionLimit(1)
	a, b, c := newTestExchanger(first), newTestExchanger(second), newTestExchanger(slow)
	for _, e := range []*Exchanger{a, b, c} {
		e.Limit(l)
	}
	for _, e := range []*Exchanger{a, b} {
		_, err := do(e, "1")
		require.NoError(t, err)
		require.Equal(t, int64(1), l.Open())
	}
	require.Empty(t, a.idle)
	done := make(chan error)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, ID: "1"})
		done <- err
	}()
	require.Eventually(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.idle) == 0 }, time.Minute, time.Millisecond)
	_, err := do(a, "2")
	require.True(t, errors.Is(err, ErrNoConnections))
	require.True(t, errors.Is(err, ErrNotSent))
	close(release)
	require.NoError(t, <-done)
	c.idle[0].expires = time.Now()
	l.CloseExpired()
	require.Zero(t, l.Open())
}
