package overseer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// runOverwrites makes the stored table unusable again and again while keys move, with other
// faults beside if withFaults is set.
func (w *world) runOverwrites(withFaults bool) {
	w.hasHotKeys = true
	for range 200 {
		w.step()
	}
	for range 8 {
		w.t.Logf("table overwritten at %s, epoch %d, version %d", w.now, w.table.Epoch, w.table.Version)
		w.isOverwritten = true
		w.revision++
		if withFaults {
			w.injectFault()
		}
		for range 50 + w.r.IntN(300) {
			w.step()
		}
	}
	w.hasHotKeys = false
	for range 1600 { // 32 s: longer than all leases without a majority
		w.step()
	}
	w.servedKeys, w.checkedKeys = 0, 0
	w.step()
}

// Another writer overwrites the stored table while keys move and nodes fail (incident 0017).
// No key may have two owners, and all keys are served again.
func TestOverwrittenTableKeepsOneOwner(t *testing.T) {
	const seeds = 24
	for _, method := range methods {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", method, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 2000+seed, 6, method)
				w.runOverwrites(seed%2 == 1)
				require.Empty(t, w.violation)
				require.False(t, w.isOverwritten)
				require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
			})
		}
	}
}
