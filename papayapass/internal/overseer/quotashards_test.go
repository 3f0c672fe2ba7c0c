package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const quotaWindow = 5 * time.Second

// testCustomer has a rate and burst that its buckets hold as whole credits.
var testCustomer = descriptor.Customer{Name: "customer", Rate: 60, Burst: 30}

func newTestAccountant(id partitioner.NodeID, now timer.Instant) *accountant.Accountant {
	a := accountant.NewAccountant(id)
	a.SetLimits(&descriptor.Configuration{Customers: []descriptor.Customer{testCustomer}}, accountant.Bounds{}, now)
	return a
}

// quotaLog has the credits granted in each step of the last window, by group.
type quotaLog struct {
	granted [partitioner.QuotaGroups][]int
	// twoOwners describes the first time when two nodes could answer charges of a shard, and excess the
	// first window in which a group granted more than its share.
	twoOwners, excess string
	// answered counts the steps in which all groups had an accountant, steps all of them.
	answered, steps int
}

// chargeAll takes all credits that any node grants, also one that is paused.
func (w *world) chargeAll() {
	q, answering := w.quotas, 0
	for group := range partitioner.QuotaGroups {
		owners, granted := 0, 0
		for _, m := range w.members {
			now := w.clock(m)
			a := m.accountant.Charge(accountant.Charge{Customer: testCustomer.Name, Group: group, Count: 100}, m.granter.LeaseLeft(now), now)
			if a.Outcome == accountant.NotOwner {
				continue
			}
			owners++
			granted += a.Count
		}
		if owners > 1 && q.twoOwners == "" {
			q.twoOwners = fmt.Sprintf("%d owners of the shard of group %d at %s", owners, group, w.now)
		}
		answering += min(owners, 1)
		log := append(q.granted[group], granted)
		log = log[max(0, len(log)-int(quotaWindow/worldStep)):]
		q.granted[group] = log
		sum := 0
		for _, n := range log {
			sum += n
		}
		// The clocks of the nodes run up to 0.9 % fast.
		share := (testCustomer.Rate*quotaWindow.Seconds()*1.01 + testCustomer.Burst) / partitioner.QuotaGroups
		if float64(sum) > share+1 && q.excess == "" {
			q.excess = fmt.Sprintf("group %d granted %d credits in the window up to %s, its share is %.1f", group, sum, w.now, share)
		}
	}
	q.steps++
	if answering == partitioner.QuotaGroups {
		q.answered++
	}
}

func runQuotaSchedule(t *testing.T, seed uint64, run func(*world)) *quotaLog {
	t.Helper()
	w := newWorld(t, seed, 3+int(seed%5), descriptor.GrantByCall)
	w.quotas = &quotaLog{}
	run(w)
	require.Empty(t, w.violation, "the rules of keys hold as without quotas")
	require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
	return w.quotas
}

// quotaSchedules are the schedules that include the loss of owners, of the coordinator between a plan
// and its record, restarts, partitions, and restores of the store.
var quotaSchedules = map[string]struct {
	firstSeed uint64
	run       func(*world)
}{
	"faults":           {300, func(w *world) { w.runFaults() }},
	"restores":         {1300, func(w *world) { w.runRestores(true) }},
	"rolling restarts": {2300, func(w *world) { w.runRollingRestarts() }},
}

// At no step of a random schedule may two nodes answer charges of a shard, nor all nodes together grant
// more than the share of a group in any window.
func TestNoQuotaShardHasTwoOwners(t *testing.T) {
	const seeds = 10
	for name, s := range quotaSchedules {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, s.firstSeed+seed), func(t *testing.T) {
				t.Parallel()
				q := runQuotaSchedule(t, s.firstSeed+seed, s.run)
				require.Empty(t, q.twoOwners)
				require.Empty(t, q.excess)
				require.Greater(t, q.answered, q.steps/4, "shards have owners most of the time")
			})
		}
	}
}
