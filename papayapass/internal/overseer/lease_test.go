package overseer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const leaseTestStart = timer.Instant(time.Hour)

// leaseTestTable returns a table of two members in which node-2 owns all keys.
func leaseTestTable() *partitioner.Table {
	t := &partitioner.Table{Epoch: 2, Version: 1, Coordinator: "node-1", LastToken: 1}
	for _, id := range []partitioner.NodeID{"node-1", "node-2"} {
		t.SetMember(partitioner.Member{ID: id, Server: partitioner.Server{ID: string(id) + "-s", Service: service, Slots: 10, Divided: true}})
	}
	t.Divisions = []partitioner.Division{{Service: service, Ranges: []partitioner.Range{
		{Last: partitioner.LastKey, Owner: "node-2", Server: "node-2-s", Token: 1},
	}}}
	return t
}

// freesKeysUnderEarlierLease starts a term in which node-2, which has a lease of the term
// before, gets none with its only heartbeat, since a table in doubt takes its keys. It reports
// whether its keys are freed after a delay.
func freesKeysUnderEarlierLease(delay time.Duration) bool {
	t := leaseTestTable()
	o := overseer.NewOverseer("node-1", t, time.Second, leaseTestStart, leaseTestStart)
	taken := t.Clone()
	taken.Divisions[0].Ranges[0].Owner = "node-1"
	o.WriteStarted(taken)
	m, _ := t.Member("node-2")
	if r := o.HandleHeartbeat(overseer.Heartbeat{Member: m, Incarnation: 7, Epoch: t.Epoch, Version: t.Version}, leaseTestStart); r.Lease != 0 {
		panic("a node whose keys a table in doubt takes got a lease")
	}
	o.WriteFailed(taken)
	next := o.Plan(leaseTestStart.Add(delay))
	return next != nil && len(next.Owned("node-2")) == 0
}

// A node has a lease of the former term and gets none in the next one before it falls silent.
// Its keys stay its own until the former lease has ended (incident 0010).
func TestLeaseOfAnEarlierTermCounts(t *testing.T) {
	require.False(t, freesKeysUnderEarlierLease(time.Second))
	require.False(t, freesKeysUnderEarlierLease(overseer.AuthorityDuration))
	require.True(t, freesKeysUnderEarlierLease(overseer.AuthorityDuration*103/100))
}

// ownLeaseNamed reports whether a table planned after a part of the term says that the
// coordinator's node has only the short lease of its own term.
func ownLeaseNamed(delay time.Duration) bool {
	t := leaseTestTable()
	o := overseer.NewOverseer("node-1", t, time.Second, leaseTestStart, leaseTestStart)
	now := leaseTestStart.Add(delay)
	for _, m := range t.Members {
		o.HandleHeartbeat(overseer.Heartbeat{Member: m, Incarnation: 7, Epoch: t.Epoch, Version: t.Version}, now)
	}
	o.WriteConfirmed(nil, now)
	next := o.Plan(now)
	return next != nil && next.HasOwnLease
}

// The coordinator's node may have a longer lease of the term before. Its successor must not
// count it as ended after the short one.
func TestShortLeaseIsNamedAfterTheLongOne(t *testing.T) {
	require.False(t, ownLeaseNamed(time.Second))
	require.False(t, ownLeaseNamed(overseer.AuthorityDuration))
	require.True(t, ownLeaseNamed(overseer.AuthorityDuration*103/100))
}

// A member joins the next term, restarts and follows the former coordinator again while the
// store is away. Without a majority in the new term, its keys stay its own until no coordinator
// of an earlier term can have authority (incident 0015).
func TestJoiningEndsNoLeaseOfAnEarlierTerm(t *testing.T) {
	table := leaseTestTable()
	for _, id := range []partitioner.NodeID{"node-3", "node-4", "node-5"} {
		table.SetMember(partitioner.Member{ID: id, Server: partitioner.Server{ID: string(id) + "-s", Service: service, Slots: 10, Divided: true}})
	}
	o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
	m, _ := table.Member("node-2")
	o.HandleHeartbeat(overseer.Heartbeat{Member: m, Incarnation: 7, Epoch: table.Epoch, Version: table.Version}, leaseTestStart)
	freed := func(delay time.Duration) bool {
		next := o.Plan(leaseTestStart.Add(delay))
		return next != nil && len(next.Owned("node-2")) == 0
	}
	require.False(t, freed(2*overseer.AuthorityDuration))
	require.False(t, freed(overseer.MaxStoreOutage))
	require.True(t, freed(overseer.MaxStoreOutage+overseer.AuthorityDuration*103/100))
}

// restartedServersTable returns leaseTestTable after a restart of node-2's backend server, whose
// new start owns the keys.
func restartedServersTable() (t *partitioner.Table, former, restarted partitioner.Member) {
	t = leaseTestTable()
	former, _ = t.Member("node-2")
	former.Server.StartedAtMillis = 1
	restarted = former
	restarted.Server.StartedAtMillis = 2
	t.SetMember(restarted)
	t.Divisions[0].Ranges[0].ServerStartedAtMillis = 2
	return t, former, restarted
}

// A heartbeat that waited at the coordinator for a change is handled once more after a newer one
// has named the next start of the backend server. The keys of that start must not count as lost.
func TestWaitingHeartbeatBringsNoFormerServerBack(t *testing.T) {
	table, former, restarted := restartedServersTable()
	o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
	waiting := overseer.Heartbeat{Member: former, Incarnation: 7, Epoch: table.Epoch, Version: table.Version}
	o.HandleHeartbeat(waiting, leaseTestStart)
	newer := waiting
	newer.Member = restarted
	o.HandleHeartbeat(newer, leaseTestStart.Add(10*time.Millisecond))
	o.HandleHeartbeat(waiting, leaseTestStart.Add(20*time.Millisecond))
	if next := o.Plan(leaseTestStart.Add(30 * time.Millisecond)); next != nil {
		require.Equal(t, table.Divisions, next.Divisions)
		m, _ := next.Member("node-2")
		require.Equal(t, restarted, m)
	}
}

// A node restarts and hears a heartbeat that the former start of its backend server had sent. The
// present start may hold keys, so they must not be given away at once.
func TestHeartbeatOfAFormerServerFreesNoKeys(t *testing.T) {
	table, former, _ := restartedServersTable()
	o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
	for _, m := range []partitioner.NodeID{"node-1", "node-2"} {
		member, _ := table.Member(m)
		if m == "node-2" {
			member = former
		}
		o.HandleHeartbeat(overseer.Heartbeat{Member: member, Incarnation: 8, Epoch: table.Epoch, Version: table.Version}, leaseTestStart)
	}
	if next := o.Plan(leaseTestStart.Add(30 * time.Millisecond)); next != nil {
		require.Len(t, next.Owned("node-2"), len(table.Owned("node-2")))
		require.Empty(t, next.Owned("node-1"))
	}
	later := leaseTestStart.Add(overseer.AuthorityDuration * 103 / 100)
	for _, m := range []partitioner.Member{{ID: "node-1"}, former} {
		o.HandleHeartbeat(overseer.Heartbeat{Member: m, Incarnation: 8, Epoch: table.Epoch, Version: table.Version}, later)
	}
	next := o.Plan(later)
	require.NotNil(t, next, "the start time of a server may also go back with its clock")
	m, _ := next.Member("node-2")
	require.Equal(t, former, m)
}

// A member that followed the next coordinator and released keys restarts without the store. It
// follows the former coordinator, in whose table it still owns them, and got a lease (incident
// 0022).
func TestRestartedMemberGetsNoLeaseBeforeTheNextWrite(t *testing.T) {
	const written = leaseTestStart + timer.Instant(10*time.Second)
	cases := map[string]struct {
		id           partitioner.NodeID
		uptime, sent time.Duration
		want         bool
	}{
		"runs since before the write":          {"node-2", 2 * time.Second, time.Second, true},
		"started after the write":              {"node-2", 500 * time.Millisecond, time.Second, false},
		"started before it by a fast clock":    {"node-2", 1010 * time.Millisecond, time.Second, false},
		"of an earlier version, heard first":   {"node-2", 0, time.Second, false},
		"the coordinator's own node":           {"node-1", 0, time.Second, true},
		"runs since before the write, silence": {"node-2", 20 * time.Second, 3 * time.Second, true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			table := leaseTestTable()
			o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
			o.WriteConfirmed(nil, written)
			m, _ := table.Member(tt.id)
			now := written.Add(tt.sent)
			beat := overseer.Heartbeat{Member: m, Incarnation: 8, Uptime: tt.uptime, Epoch: table.Epoch, Version: table.Version}
			require.Equal(t, tt.want, o.HandleHeartbeat(beat, now).Lease > 0)
			require.Equal(t, !tt.want, o.RenewalDue(now), "a write is due at once")
			require.False(t, o.RenewalDue(now.Add(overseer.AuthorityDuration)), "not while the store is down")
			o.WriteConfirmed(nil, now.Add(10*time.Millisecond))
			beat.Uptime += 20 * time.Millisecond
			require.Positive(t, o.HandleHeartbeat(beat, now.Add(20*time.Millisecond)).Lease)
			require.False(t, o.RenewalDue(now.Add(20*time.Millisecond)))
		})
	}
}

// restartsBesidePriorGrants lets the node of node-2's backend server restart together with it after a
// lease that began at leaseTestStart. It returns the coordinator and the heartbeat of the next process,
// which names the next start of the backend server.
func restartsBesidePriorGrants(t *testing.T, downtime time.Duration) (*overseer.Overseer, overseer.Heartbeat) {
	t.Helper()
	table := leaseTestTable()
	o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
	m, _ := table.Member("node-2")
	h := overseer.Heartbeat{Member: m, Incarnation: 7, Uptime: time.Hour, Epoch: table.Epoch, Version: table.Version}
	require.Positive(t, o.HandleHeartbeat(h, leaseTestStart).Lease)
	h.Incarnation, h.Uptime, h.Member.Server.StartedAtMillis = 8, 10*time.Millisecond, 2
	o.HandleHeartbeat(h, leaseTestStart.Add(downtime))
	return o, h
}

// The next start of a backend server held keys by grants for the one before. The process of its node
// that knew restarted, and the next one named the next start at once: the keys got a second owner
// (schedule 90038, incident 0024). Until the grants have ended, only the next start may get them.
func TestKeysOfAFormerStartStayBesideGrantsOfAFormerProcess(t *testing.T) {
	for name, downtime := range map[string]time.Duration{"back at once": 200 * time.Millisecond, "later": 2 * time.Second} {
		for state, isUp := range map[string]bool{"up": true, "leaving": false} {
			t.Run(name+", "+state, func(t *testing.T) {
				o, h := restartsBesidePriorGrants(t, downtime)
				h.Member.Server.Leaving = !isUp
				plan := func(after time.Duration) (partitioner.Range, []partitioner.FreedRange) {
					now := leaseTestStart.Add(after)
					h.Uptime = after - downtime
					o.HandleHeartbeat(h, now)
					next := o.Plan(now)
					require.NotNil(t, next)
					return next.Divisions[0].Ranges[0], o.Freed()
				}
				for _, after := range []time.Duration{downtime + 10*time.Millisecond, overseer.AuthorityDuration} {
					r, freed := plan(after)
					require.Equal(t, partitioner.NodeID("node-2"), r.Owner)
					if !isUp {
						require.Empty(t, freed)
						continue
					}
					require.Equal(t, int64(2), r.ServerStartedAtMillis)
					require.Greater(t, r.Token, uint64(1))
					require.Equal(t, partitioner.KeptByNextStart, freed[0].Cause)
				}
				_, freed := plan(overseer.AuthorityDuration * 103 / 100)
				require.Equal(t, partitioner.FreeServerRestart, freed[0].Cause, "in time to be served again within 4 s")
			})
		}
	}
}

// A process that is older than a lease has seen both starts of its backend server itself.
func TestKeysOfAFormerStartAreFreeAtOnceUnderTheSameProcess(t *testing.T) {
	table := leaseTestTable()
	o := overseer.NewOverseer("node-1", table, time.Second, leaseTestStart, leaseTestStart)
	m, _ := table.Member("node-2")
	h := overseer.Heartbeat{Member: m, Incarnation: 7, Uptime: time.Hour, Epoch: table.Epoch, Version: table.Version}
	o.HandleHeartbeat(h, leaseTestStart)
	h.Member.Server.StartedAtMillis = 2
	o.HandleHeartbeat(h, leaseTestStart.Add(10*time.Millisecond))
	require.NotNil(t, o.Plan(leaseTestStart.Add(20*time.Millisecond)))
	require.NotEmpty(t, o.Freed())
}
