package configurer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const goodFile = `[node]
id = "permits-1"
zone = "calamba"

[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
status = "127.0.0.1:7003"

[platform]
address = "127.0.0.1:7000"
`

func write(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLoad(t *testing.T) {
	s, err := Load(write(t, goodFile+"\n[cell]\nseeds = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"), []string{"stop.timeout=3s"})
	require.NoError(t, err)
	require.Equal(t, "permits-1", s.Text(NodeID))
	require.Equal(t, 3*time.Second, s.Duration(StopTimeout))
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, s.List(CellSeeds))
	require.Len(t, s.Networks(AnnounceFrom), 2)
}

func TestSourcePrecedence(t *testing.T) {
	t.Setenv("PAPAYAPASS_NODE_ZONE", "malolos")
	t.Setenv("PAPAYAPASS_LIMITS_QUEUE_TIME", "50ms")
	s, err := Load(write(t, goodFile), []string{"limits.queueTime=70ms"})
	require.NoError(t, err)
	require.Equal(t, "malolos", s.Text(NodeZone), "environment overrides file")
	require.Equal(t, 70*time.Millisecond, s.Duration(LimitQueueTime), "flag overrides environment")
}

func TestProblems(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"unknown key":    {text: goodFile + "\n[stop]\ntimeOut = \"3s\"\n", want: ":14: stop.timeOut: there is no such setting"},
		"bad address":    {text: goodFile + "\n[cell]\nseeds = [\"nowhere\"]\n", want: ":14: cell.seeds: want an IP address and a port"},
		"bad duration":   {text: goodFile + "\n[stop]\ntimeout = \"soon\"\n", want: `:14: stop.timeout: want a duration from 0s to 10m0s, such as 500ms, not "soon"`},
		"missing zone":   {text: "[node]\nid = \"a\"\n", want: "node.zone: is missing"},
		"broken syntax":  {text: goodFile + "\n[stop\n", want: "syntax"},
		"empty zone":     {text: "[node]\nzone = \"\"\n", want: ":2: node.zone: want a name"},
		"number too low": {text: goodFile + "\n[limits]\nbodyBytes = 0\n", want: ":14: limits.bodyBytes: want a whole number"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Load(write(t, tt.text), nil)
			require.ErrorContains(t, err, tt.want)
		})
	}
}
