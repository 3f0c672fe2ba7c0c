//go:build mutation

package holder

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/mutator"
)

// TestMutationsAreCaught injects one fault at a time and asserts that a check
// detects it.
func TestMutationsAreCaught(t *testing.T) {
	tests := map[string]struct {
		fault mutator.Fault
		check func() error
	}{
		"count the lease from the reply":       {fault: mutator.LeaseFromReply, check: checkLeaseStart},
		"accept an equal epoch":                {fault: mutator.AcceptEqualEpoch, check: checkOneCandidate},
		"let a restarted node confirm at once": {fault: mutator.SkipQuietPeriod, check: checkQuietPeriod},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			mutator.Activate(tt.fault)
			defer mutator.Activate(mutator.None)
			require.Error(t, tt.check())
		})
	}
}
