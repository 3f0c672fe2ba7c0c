//go:build mutation

package overseer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/shared/descriptor"
)

// maxMutationSeeds is the number of schedules in which an injected fault must be detected.
const maxMutationSeeds = 16

// TestMutationsAreDetected injects one fault of the ownership protocol at a time and
// asserts that a random schedule detects it. firstSeed skips schedules that are known not
// to. The faults of single heartbeats are in package granter.
func TestMutationsAreDetected(t *testing.T) {
	faults := map[string]struct {
		fault     mutator.Fault
		method    descriptor.GrantMethod
		firstSeed uint64
		// restores is set for faults that schedules with restores of the store detect.
		restores bool
	}{
		"forget a lease of an earlier term":      {mutator.ForgetEarlierLease, descriptor.GrantByCall, 84, false},
		"count a short lease at once":            {mutator.ShortLeaseAtOnce, descriptor.GrantByCall, 96, false},
		"forget what an earlier process granted": {mutator.ForgetPriorGrants, descriptor.GrantByHeartbeat, 8, false},
		"release keys that a heartbeat lists":    {mutator.HoldIgnoresListing, descriptor.GrantByHeartbeat, 0, false},
		"recover the restored table":             {mutator.RecoverStoredTable, descriptor.GrantByCall, 1000, true},
		"forget members that were not heard":     {mutator.ForgetUnheard, descriptor.GrantByCall, 1220, true},
	}
	for name, tt := range faults {
		t.Run(name, func(t *testing.T) {
			mutator.Activate(tt.fault)
			defer mutator.Activate(mutator.None)
			for seed := tt.firstSeed; seed < tt.firstSeed+maxMutationSeeds; seed++ {
				var w *world
				if tt.restores {
					w = newWorld(t, seed, 6, tt.method)
					w.runRestores(true)
				} else {
					w = newWorld(t, seed, 3+int(seed%5), tt.method)
					w.hasHotKeys = true
					w.runFaults()
				}
				if w.violation != "" {
					t.Logf("detected by seed %d: %s", seed, w.violation)
					return
				}
			}
			require.Fail(t, "no schedule detected the injected fault")
		})
	}
}
