package auditor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func run(server, nonce string, token uint64, at int64, idempotent bool) Execution {
	return Execution{Server: server, Nonce: nonce, Key: "k", Token: token, StartNanos: at, Idempotent: idempotent, Keyed: true}
}

// TestAuditFinds gives the audit journals that break each promise: a check that
// finds nothing proves nothing.
func TestAuditFinds(t *testing.T) {
	tests := map[string]struct {
		executions []Execution
		notRun     []string
		want       Findings
	}{
		"nothing":                        {executions: []Execution{run("a", "1", 1, 1, false), run("b", "2", 2, 2, false)}},
		"work that ran twice":            {executions: []Execution{run("a", "1", 1, 1, false), run("a", "1", 1, 2, false)}, want: Findings{RanTwice: 1}},
		"idempotent work may run again":  {executions: []Execution{run("a", "1", 1, 1, true), run("a", "1", 1, 2, true)}, want: Findings{RerunShare: 0.5}},
		"a token that went back":         {executions: []Execution{run("b", "2", 2, 1, true), run("a", "1", 1, 2, true)}, want: Findings{TwoOwners: 1}},
		"one token at two servers":       {executions: []Execution{run("a", "1", 1, 1, true), run("b", "2", 1, 2, true)}, want: Findings{TwoOwners: 1}},
		"a false word of not having run": {executions: []Execution{run("a", "1", 1, 1, true)}, notRun: []string{"1", "2"}, want: Findings{FalseNotRun: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := Audit(tt.executions, tt.notRun)
			require.Equal(t, tt.want.RanTwice, got.RanTwice)
			require.Equal(t, tt.want.TwoOwners, got.TwoOwners)
			require.Equal(t, tt.want.FalseNotRun, got.FalseNotRun)
			require.InDelta(t, tt.want.RerunShare, got.RerunShare, 0.001)
			require.Equal(t, tt.want.RanTwice+tt.want.TwoOwners+tt.want.FalseNotRun == 0, got.Clean())
		})
	}
}

// TestImbalanceCountsIdleServers has a server that lost all its work: it still
// belongs to the mean.
func TestImbalanceCountsIdleServers(t *testing.T) {
	executions := []Execution{run("a", "1", 1, 1, true), run("b", "2", 2, 2, true), run("b", "3", 2, 3, true), run("b", "4", 2, 4, true)}
	require.InDelta(t, 2.0, Audit(executions, nil).Imbalance, 0.001)
}
