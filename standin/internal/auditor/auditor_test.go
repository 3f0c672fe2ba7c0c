package auditor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func execution(server, nonce string, token uint64, at int64, idempotent bool) Execution {
	return Execution{Server: server, Nonce: nonce, Key: "k", Token: token, StartNanos: at, Idempotent: idempotent, Keyed: true}
}

// TestAuditFinds audits journals that violate each invariant. It guards against a
// check that accepts every journal.
func TestAuditFinds(t *testing.T) {
	tests := map[string]struct {
		executions []Execution
		notRun     []string
		want       Findings
	}{
		"no violation":                          {executions: []Execution{execution("a", "1", 1, 1, false), execution("b", "2", 2, 2, false)}},
		"request that ran twice":                {executions: []Execution{execution("a", "1", 1, 1, false), execution("a", "1", 1, 2, false)}, want: Findings{RanTwice: 1}},
		"idempotent request may run again":      {executions: []Execution{execution("a", "1", 1, 1, true), execution("a", "1", 1, 2, true)}, want: Findings{RerunShare: 0.5}},
		"token that decreased":                  {executions: []Execution{execution("b", "2", 2, 1, true), execution("a", "1", 1, 2, true)}, want: Findings{TwoOwners: 1}},
		"one token at two servers":              {executions: []Execution{execution("a", "1", 1, 1, true), execution("b", "2", 1, 2, true)}, want: Findings{TwoOwners: 1}},
		"not-run outcome of a request that ran": {executions: []Execution{execution("a", "1", 1, 1, true)}, notRun: []string{"1", "2"}, want: Findings{FalseNotRun: 1}},
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

// TestImbalanceCountsIdleServers checks that a server with executions only in the
// first half still counts in the mean.
func TestImbalanceCountsIdleServers(t *testing.T) {
	executions := []Execution{execution("a", "1", 1, 1, true), execution("b", "2", 2, 2, true), execution("b", "3", 2, 3, true), execution("b", "4", 2, 4, true)}
	require.InDelta(t, 2.0, Audit(executions, nil).Imbalance, 0.001)
}
