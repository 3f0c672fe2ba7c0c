package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

const testSettings = `
[node]
id = "node-1"
zone = "zone-1"
address = "127.0.0.1"
service = "permits"
server = "127.0.0.1:1"
[listen]
customers = "127.0.0.1:0"
ready = "127.0.0.1:0"
heartbeats = "127.0.0.1:0"
peers = 7660
metrics = 7661
[store]
address = "127.0.0.1:1"
[bounds]
heartbeat = "1s"
grace = "6s"
zoneOut = "5s"
holdMax = "10s"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 58
later = "a field of a later version"
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestSettings(t *testing.T) {
	s, err := ReadSettings(writeSettings(t, testSettings))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7660", s.peersAddress())
	require.Equal(t, participant.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58, ZoneOutTimeout: 5 * time.Second, ApplyTimeout: 2 * time.Second, HeartbeatInterval: time.Second}, s.bounds())
	require.Equal(t, descriptor.GrantByCall, s.Node.Grants)
	require.Equal(t, int64(51<<20), s.bodyMemory()>>20<<20, "a fifth of 256 MB")
	sized, err := ReadSettings(writeSettings(t, strings.Replace(testSettings, "[listen]", "grants = \"heartbeat\"\nmemoryMB = 184\ncores = \"0.16\"\n[listen]", 1)))
	require.NoError(t, err)
	require.Equal(t, descriptor.GrantByHeartbeat, sized.Node.Grants)
	require.Equal(t, int64(36<<20), sized.bodyMemory()>>20<<20)
	require.InDelta(t, 0.16, float64(sized.Node.Cores), 1e-9)
	broken := map[string][2]string{
		"unknown way of granting": {"[listen]", "grants = \"mail\"\n[listen]"},
		"no memory":               {"[listen]", "memoryMB = 0\n[listen]"},
		"cores not a number":      {"[listen]", "cores = \"many\"\n[listen]"},
		"negative cores":          {"[listen]", "cores = \"-1\"\n[listen]"},
		"no id":                   {`id = "node-1"`, `id = ""`},
		"no port":                 {"127.0.0.1:1\"\n[listen]", "127.0.0.1\"\n[listen]"},
		"no time unit":            {`grace = "6s"`, `grace = "6"`},
		"no peers' port":          {"peers = 7660", "peers = 0"},
		"not a number":            {"retrySlack = 58", `retrySlack = "many"`},
		"negative window":         {`retryWindow = "10s"`, `retryWindow = "-1s"`},
	}
	for name, change := range broken {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(testSettings, change[0], change[1], 1)
			require.NotEqual(t, testSettings, text)
			_, err := ReadSettings(writeSettings(t, text))
			require.Error(t, err)
		})
	}
}

// A settings file need not set all bounds: the node must start with the defaults.
func TestMissingBoundsHaveDefaults(t *testing.T) {
	text, _, _ := strings.Cut(testSettings, "[bounds]")
	s, err := ReadSettings(writeSettings(t, text))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, s.bounds().ApplyTimeout)
	require.Zero(t, s.bounds().RetryRatio, "the default must allow no retries")
}

// unavailableStore is a store that cannot be reached.
type unavailableStore struct{ participant.Store }

func testAdapter() Adapter {
	return Adapter{
		Store:         func(string, http.RoundTripper) participant.Store { return unavailableStore{} },
		StoreLayout:   participant.StoreLayout{Decode: func([]byte) (*descriptor.Configuration, error) { return nil, nil }},
		SampleHeaders: "{}",
	}
}

// SIGHUP ended the node (LOST in two configuration storms found by a search for faults). It
// must only reload the settings.
func TestHangupReloadsSettings(t *testing.T) {
	path := writeSettings(t, testSettings)
	s, err := ReadSettings(path)
	require.NoError(t, err)
	var log bytes.Buffer
	hangUps := make(chan os.Signal, 1)
	r := newReloader(path, s, newNode(s, testAdapter(), &tracer.Tracer{}, zerolog.New(&log)), hangUps)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(testSettings, "retrySlack = 58", "retrySlack = 60", 1)), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.run(ctx) }()
	hangUps <- syscall.SIGHUP
	hangUps <- syscall.SIGHUP // the first has been received
	hangUps <- syscall.SIGHUP // the second has been received, so the reload of the first is done
	cancel()
	require.NoError(t, <-done)
	require.Equal(t, 60.0, r.current.Bounds.RetrySlack)
	require.Contains(t, log.String(), "settings changed")

	require.NoError(t, os.WriteFile(path, []byte("not toml"), 0o600))
	r.reload()
	require.Equal(t, 60.0, r.current.Bounds.RetrySlack, "an unreadable file must change nothing")
}

// Incident 0017: heartbeats that no backend server can have sent were accepted. One with an
// enormous number of slots ended each node that coordinated.
func TestOddHeartbeatsChangeNothing(t *testing.T) {
	s, err := ReadSettings(writeSettings(t, testSettings))
	require.NoError(t, err)
	var log bytes.Buffer
	adapter := fakeAdapter(&memoryStore{})
	adapter.SampleHeaders = "{}"
	n := newNode(s, adapter, &tracer.Tracer{}, zerolog.New(&log))
	send := func(method, id string, h descriptor.Heartbeat) int {
		body, err := json.Marshal(h)
		require.NoError(t, err)
		w := httptest.NewRecorder()
		n.heartbeat(w, httptest.NewRequest(method, "/heartbeats/"+id, bytes.NewReader(body)))
		return w.Code
	}
	valid := descriptor.Heartbeat{ID: "i-1", Service: s.Node.Service, Address: s.Node.Server, Slots: 12, Sequence: 1, StartedAtMillis: 1792686224813}
	require.Equal(t, http.StatusOK, send(http.MethodPut, "i-1", valid))
	require.Equal(t, "i-1", n.forwarder.Server().ID)
	for name, tt := range map[string]struct {
		change func(*descriptor.Heartbeat)
		status int
	}{
		"slots that overflow": {func(h *descriptor.Heartbeat) { h.Slots = 1 << 62 }, http.StatusBadRequest},
		"start at the top":    {func(h *descriptor.Heartbeat) { h.StartedAtMillis = 1<<63 - 1 }, http.StatusBadRequest},
		"port out of range":   {func(h *descriptor.Heartbeat) { h.Address = "127.0.0.1:99999999" }, http.StatusConflict},
		"large fields": {func(h *descriptor.Heartbeat) {
			h.Service, h.Address = strings.Repeat("s", 30<<10), strings.Repeat("a", 30<<10)
		}, http.StatusConflict},
		"too large": {func(h *descriptor.Heartbeat) { h.Zone = strings.Repeat("z", 1<<20) }, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			log.Reset()
			odd := valid
			odd.ID, odd.Sequence = "i-2", 2
			tt.change(&odd)
			require.Equal(t, tt.status, send(http.MethodPut, "i-2", odd))
			require.Contains(t, log.String(), `"server":"i-2"`)
			require.Contains(t, log.String(), "heartbeat rejected")
			require.Less(t, log.Len(), 2048)
			require.Equal(t, "i-1", n.forwarder.Server().ID)
			require.Equal(t, 12, n.forwarder.Server().Slots)
		})
	}
	require.Equal(t, http.StatusBadRequest, send(http.MethodDelete, "", valid))
	require.Equal(t, http.StatusOK, send(http.MethodDelete, "i-3", valid))
	require.True(t, n.forwarder.Server().Up())
}
