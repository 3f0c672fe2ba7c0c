//go:build mutation

package overseer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/mutator"
)

// TestQuotaMutationsAreDetected injects faults of the ownership of quota shards.
func TestQuotaMutationsAreDetected(t *testing.T) {
	faults := map[string]struct {
		fault  mutator.Fault
		detect func(*quotaLog) string
	}{
		"reassign the shard of a silent owner": {mutator.ReassignShardOfSilentOwner, func(q *quotaLog) string { return q.twoOwners }},
		"start with full buckets":              {mutator.StartWithFullBuckets, func(q *quotaLog) string { return q.excess }},
	}
	for name, tt := range faults {
		t.Run(name, func(t *testing.T) {
			s := quotaSchedules["faults"]
			for seed := s.firstSeed; seed < s.firstSeed+maxMutationSeeds; seed++ {
				mutator.Activate(tt.fault)
				found := tt.detect(runQuotaSchedule(t, seed, s.run))
				mutator.Activate(mutator.None)
				if found != "" {
					t.Logf("detected by seed %d: %s", seed, found)
					q := runQuotaSchedule(t, seed, s.run)
					require.Empty(t, q.twoOwners+q.excess, "without the fault")
					return
				}
			}
			require.Fail(t, "no schedule detected the injected fault")
		})
	}
}
