//go:build mutation

package negotiator

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayapass.dev/papayapass/internal/mutator"
)

// maxMutationSchedules is the number of schedules in which an injected fault
// must be detected.
const maxMutationSchedules = 100

// TestMutationsAreCaught injects one fault into the protocol at a time and
// asserts that a schedule detects it.
func TestMutationsAreCaught(t *testing.T) {
	faults := map[string]mutator.Fault{
		"use a clock that stops while suspended":         mutator.SuspendedClock,
		"reassign slices before the lease ends":          mutator.ReassignBeforeLeaseEnd,
		"trust confirmations from before the lease ends": mutator.StaleConfirmation,
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
					t.Logf("detected by schedule %d: %s", seed, w.violation)
					return
				}
			}
			require.Fail(t, "no schedule detected the injected fault")
		})
	}
}

// TestMutationSkipTakeoverWaitIsCaught asserts that a successor that does not
// wait for older leases is detected.
func TestMutationSkipTakeoverWaitIsCaught(t *testing.T) {
	w := formCell(t, 7, 5)
	mutator.Activate(mutator.SkipTakeoverWait)
	defer mutator.Activate(mutator.None)
	runTakeoverDuringPartition(w)
	require.NotEmpty(t, w.violation)
}
