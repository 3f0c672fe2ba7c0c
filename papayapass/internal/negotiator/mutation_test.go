//go:build mutation

package negotiator

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayapass.dev/papayapass/internal/mutator"
)

// maxMutationSchedules bounds the schedules that a planted fault may survive.
const maxMutationSchedules = 100

// TestMutationsAreCaught plants faults into the protocol one at a time, and
// asserts that the check of the schedules notices each.
func TestMutationsAreCaught(t *testing.T) {
	faults := map[string]mutator.Fault{
		"use a clock that sleeps":                  mutator.SuspendedClock,
		"give slices away before the lease's end":  mutator.ReassignBeforeLeaseEnd,
		"trust confirmations from before the loss": mutator.StaleConfirmation,
	}
	generator := rapid.Custom(drawSchedule)
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			mutator.Activate(f)
			defer mutator.Activate(mutator.None)
			for seed := range maxMutationSchedules {
				s := generator.Example(seed)
				w := newWorld(s.seed, s.nodes)
				runSchedule(w, s.faults)
				if w.violation != "" {
					t.Logf("caught by schedule %d: %s", seed, w.violation)
					return
				}
			}
			require.Fail(t, "no schedule caught the planted fault")
		})
	}
}

// TestMutationSkipTakeoverWaitIsCaught asserts that a successor that does not
// wait is noticed.
func TestMutationSkipTakeoverWaitIsCaught(t *testing.T) {
	w := formCell(t, 7, 5)
	mutator.Activate(mutator.SkipTakeoverWait)
	defer mutator.Activate(mutator.None)
	runTakeoverWhileCutOff(w)
	require.NotEmpty(t, w.violation)
}
