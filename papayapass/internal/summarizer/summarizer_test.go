package summarizer

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

type fakeCounter int

func (c *fakeCounter) ObserveRequest(string, string, string, int, time.Duration) { *c++ }

func TestSummaries(t *testing.T) {
	zerolog.DurationFieldUnit = time.Millisecond
	var log bytes.Buffer
	var next fakeCounter
	s := NewSummarizer(&next, zerolog.New(&log))
	s.ObserveRequest("status", "answered", "", 200, 100*time.Millisecond)
	s.ObserveRequest("status", "answered", "", 200, 300*time.Millisecond)
	s.ObserveRequest("status", "not-run", "full", 503, 20*time.Millisecond)
	s.ObserveRequest("renew", "answered", "", 200, time.Second)
	s.Log()
	var lines []map[string]any
	for _, text := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		var line map[string]any
		require.NoError(t, json.Unmarshal(text, &line))
		lines = append(lines, line)
	}
	require.Len(t, lines, 2, "one line per route, whatever the number of requests")
	require.Equal(t, "renew", lines[0]["route"])
	require.Equal(t, map[string]any{
		"level": "info", "message": "requests", "route": "status", "requests": 3.0,
		"outcomes": map[string]any{"answered": 2.0, "not-run": 1.0}, "mean": 140.0, "longest": 300.0,
	}, lines[1])
	require.Equal(t, 4, int(next))
	log.Reset()
	s.Log()
	require.Empty(t, log.String(), "each request must be counted in one summary only")
}
