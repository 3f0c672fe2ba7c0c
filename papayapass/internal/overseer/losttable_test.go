package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// runLostTables restores the store from copies of the time before the first table while keys move,
// and restarts the coordinator and other nodes meanwhile.
func (w *world) runLostTables() {
	w.hasHotKeys, w.losesTables = true, true
	for range 200 {
		w.step()
	}
	for range 5 {
		w.outageUntil = w.now + time.Duration(200+w.r.IntN(3000))*time.Millisecond
		w.restoreAt = w.outageUntil
		for range 2 + w.r.IntN(100) {
			w.step()
		}
		share := w.r.IntN(4)
		for _, m := range w.members {
			if (m.overseer != nil && w.r.IntN(3) > 0) || w.r.IntN(4) < share {
				m.pausedUntil = w.now + time.Duration(w.r.IntN(800))*time.Millisecond
				w.restart(m)
			}
		}
		if w.r.IntN(2) == 0 {
			w.injectFault()
		}
		for range 100 + w.r.IntN(400) {
			w.step()
		}
	}
	w.hasHotKeys = false
	for range 2000 { // 40 s: longer than all leases without a majority
		w.step()
	}
	w.servedKeys, w.checkedKeys = 0, 0
	w.step()
}

// The store comes back from a copy without any table while nodes restart. A new process created a
// first table and divided the keys anew, beside those who held them (incident 0023).
func TestLostTableKeepsOneOwner(t *testing.T) {
	const seeds = 24
	for _, method := range methods {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", method, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 7000+seed, 3+int(seed%5), method)
				w.runLostTables()
				require.Empty(t, w.violation)
				require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
			})
		}
	}
}

// All processes are killed, and the store has no table. Backend servers hold keys as long as the
// leases of the former processes allowed.
func TestBlankTableServesNoKeysBeforeAllLeasesHaveEnded(t *testing.T) {
	w := newWorld(t, 1, 5, descriptor.GrantByCall)
	for range 300 {
		w.step()
	}
	w.losesTables = true
	w.restore()
	for _, m := range w.members {
		w.restart(m)
	}
	lost := w.now
	for w.table == nil || w.table.Founding != "" {
		w.step()
		require.Empty(t, w.violation)
		require.Less(t, w.now-lost, 2*overseer.AuthorityDuration)
		if w.table != nil && w.table.HidesHolders() {
			require.Empty(t, w.table.Divisions)
		}
	}
	require.Greater(t, w.now-lost, overseer.AuthorityDuration)
	require.Len(t, w.table.Members, len(w.members), "they joined meanwhile")
}

// A table is never superseded by one that knows no owners, whatever its epoch is.
func TestBlankTableSupersedesNoOther(t *testing.T) {
	blank := overseer.FirstTable(partitioner.Member{ID: "node-1"}, 1, 3, 0, false)
	known := leaseTestTable()
	require.Greater(t, blank.Epoch, known.Epoch)
	require.False(t, blank.Newer(known))
	require.True(t, known.Newer(blank))
	blank.Founding = ""
	require.True(t, blank.Newer(known), "once all leases have ended")
	require.False(t, known.Newer(blank))
	require.Equal(t, partitioner.FoundedFirst, overseer.FirstTable(partitioner.Member{ID: "node-1"}, 1, 1, 0, true).Founding)
}

// All machines start for the first time beside a store that has eras, 8 s before requests come. The
// blank table must not start anew with the role's move to the largest machine.
func TestKeysAreHeldSoonAfterAFirstStart(t *testing.T) {
	for _, method := range methods {
		t.Run(string(method), func(t *testing.T) {
			w := newWorld(t, 5, 8, method)
			w.era = 3 // the model's first era divides keys at once
			for _, m := range w.members {
				m.self.Cores = 0.16
			}
			w.members[5].self.Cores = 0.8
			run := func(d time.Duration, check bool) {
				for end := w.now + d; w.now < end; {
					w.servedKeys, w.checkedKeys = 0, 0
					w.step()
					if check {
						require.Equal(t, w.checkedKeys, w.servedKeys, "at %s", w.now)
					}
				}
				require.Empty(t, w.violation)
			}
			run(3500*time.Millisecond, false)
			require.True(t, w.table.IsBlank())
			epoch := w.table.Epoch
			run(1500*time.Millisecond, false)
			run(4*time.Second, true)
			require.Equal(t, partitioner.NodeID("node-5"), w.table.Coordinator)
			require.Equal(t, epoch+1, w.table.Epoch, "it moves once")
		})
	}
}

// The former coordinator restarts beside an empty store and creates a blank table. The others go on
// sending it heartbeats, and counted its replies as contact, so that nobody replaced the table.
func TestBlankTableIsReplacedWhileOthersReachItsCoordinator(t *testing.T) {
	w := newWorld(t, 2, 6, descriptor.GrantByCall)
	for range 300 {
		w.step()
	}
	w.losesTables = true
	w.restore()
	for _, m := range w.members {
		if m.overseer != nil {
			w.restart(m)
			w.findCoordinator(m, false)
			require.True(t, m.table.IsBlank())
			break
		}
	}
	for range 400 { // 8 s: silence of the coordinator, then a lease of the unheard member
		w.step()
	}
	require.Empty(t, w.violation)
	require.Empty(t, w.table.Founding)
	w.servedKeys, w.checkedKeys = 0, 0
	w.step()
	require.Equal(t, w.checkedKeys, w.servedKeys)
}
