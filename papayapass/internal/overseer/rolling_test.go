package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runRollingRestarts restarts the nodes one after the other while keys move and grants or
// heartbeats are lost or late. Each node is away for a moment.
func (w *world) runRollingRestarts() {
	w.hasHotKeys = true
	for range 200 {
		w.step()
	}
	w.alwaysLoses = true
	for range 3 {
		for _, m := range w.members {
			m.pausedUntil = w.now + time.Duration(w.r.IntN(1000))*time.Millisecond
			w.restart(m)
			for range 5 + w.r.IntN(60) {
				w.step()
			}
		}
	}
	w.alwaysLoses, w.hasHotKeys = false, false
	for range 800 { // 16 s: longer than the longest delay of a grant
		w.step()
	}
	w.servedKeys, w.checkedKeys = 0, 0
	w.step()
}

// A restarted node released keys whose grants its former process had left unanswered, and a
// late grant brought them back beside their next owner (incident 0015).
func TestLateGrantsOfFormerProcessKeepOneOwner(t *testing.T) {
	const seeds = 24
	for _, method := range methods {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", method, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 2000+seed, 5, method)
				w.runRollingRestarts()
				require.Empty(t, w.violation)
				require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
			})
		}
	}
}
