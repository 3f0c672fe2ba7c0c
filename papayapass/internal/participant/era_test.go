package participant

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// probeClient answers probes by address; nodes that are not listed do not answer.
type probeClient struct {
	Client

	replies map[string]overseer.ProbeReply
}

func (c probeClient) Probe(_ context.Context, address string, _ overseer.ProbeRequest) (overseer.ProbeReply, error) {
	if r, ok := c.replies[address]; ok {
		return r, nil
	}
	return overseer.ProbeReply{}, errors.New("no answer")
}

// testTable returns a table of three nodes, whose first keys have an owner.
func testTable(version uint64, owner partitioner.NodeID) *partitioner.Table {
	t := &partitioner.Table{Era: 1, Epoch: 4, Version: version, Coordinator: "node-2", LastToken: version}
	for _, id := range []partitioner.NodeID{"node-1", "node-2", "node-3"} {
		t.SetMember(partitioner.Member{ID: id, Address: string(id)})
	}
	t.Divisions = []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{{Last: partitioner.LastKey, Owner: owner, Token: version}}}}
	return t
}

func (s *fakeStore) setTable(t *testing.T, name string, table *partitioner.Table) {
	t.Helper()
	spec, err := json.Marshal(table)
	require.NoError(t, err)
	s.table = descriptor.Object{Name: name, Revision: s.revision, Spec: spec}
}

func (s *fakeStore) storedTable(t *testing.T) *partitioner.Table {
	t.Helper()
	var table partitioner.Table
	require.NoError(t, json.Unmarshal(s.table.Spec, &table))
	return &table
}

// Incident 0014: a node took the role with the table of a restored store, and keys had two
// owners.
func TestRoleIsNotTakenWithTheTableOfARestoredStore(t *testing.T) {
	cases := map[string]struct {
		replies map[string]overseer.ProbeReply
		owner   partitioner.NodeID
		unheard []partitioner.NodeID
	}{
		"another node knows a newer table": {
			map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true, Table: testTable(9, "node-3")}, "node-3": {Epoch: 4, HasLease: true}}, "node-3", nil,
		},
		"this node's table is the newest": {
			map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true}, "node-3": {Epoch: 4, HasLease: true}}, "node-2", nil,
		},
		"a node does not answer": {map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true}}, "node-2", []partitioner.NodeID{"node-3"}},
		"a node has restarted": {
			map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true}, "node-3": {}}, "node-2", []partitioner.NodeID{"node-3"},
		},
		"a node was cut off until its lease had ended": {
			map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true}, "node-3": {Epoch: 4}}, "node-2", []partitioner.NodeID{"node-3"},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 2}
			s.setTable(t, "main-1", testTable(3, "node-1"))
			p, _ := newTestParticipant(t, s)
			require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Lease: time.Second, Table: testTable(8, "node-2")}, p.timers.Now()))
			p.client = probeClient{replies: tt.replies}
			p.findCoordinator(context.Background(), true)
			require.True(t, p.Status().IsCoordinator)
			require.Equal(t, "main-2", s.table.Name)
			table := s.storedTable(t)
			require.Equal(t, tt.owner, table.Divisions[0].Ranges[0].Owner)
			require.Equal(t, tt.unheard, table.Unheard)
			require.Equal(t, uint64(2), table.Era)
			require.Greater(t, table.Epoch, uint64(1<<16), "above the epochs that may have been lost")
			require.Greater(t, table.LastToken, uint64(1<<20), "above the tokens that may have been lost")
		})
	}
}

// A node was cut off until its lease had ended, and its keys went to others. It must not hold
// them again by the table that it knows, which is the newest that answers.
func TestNodeWithoutALeaseDoesNotKeepItsKeys(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, era: 2}
	s.setTable(t, "main-1", testTable(3, "node-1"))
	p, clock := newTestParticipant(t, s)
	require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Lease: time.Second, Table: testTable(8, "node-1")}, clock.Now()))
	clock.Advance(2 * time.Second)
	p.client = probeClient{}
	p.findCoordinator(context.Background(), true)
	require.True(t, p.Status().IsCoordinator)
	require.Equal(t, []partitioner.NodeID{"node-1", "node-2", "node-3"}, s.storedTable(t).Unheard)
	require.False(t, p.HandleProbe(overseer.ProbeRequest{}).HasLease)
}

// The coordinator itself finds the restored table after its write was rejected.
func TestCoordinatorRecoversItsTableInARestoredStore(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, era: 1}
	p, _ := newTestParticipant(t, s)
	p.findCoordinator(context.Background(), false)
	require.True(t, p.Status().IsCoordinator)
	first := p.Status().Epoch
	older := s.storedTable(t)
	newer := p.overseer.Table().Clone()
	newer.Version += 7
	p.applyTable(newer)
	s.era = 2
	s.setTable(t, "main-1", older)
	p.handleWriteResult(context.Background(), nil, descriptor.StoreState{}, 0, descriptor.ErrConflict)
	require.True(t, p.Status().IsCoordinator)
	require.Equal(t, "main-2", s.table.Name)
	require.Greater(t, p.Status().Epoch, first)
}

// A restore may go back to before the first table.
func TestTableOutlivesAStoreThatIsRestoredEmpty(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, era: 2}
	p, _ := newTestParticipant(t, s)
	require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Table: testTable(8, "node-2")}, 0))
	p.client = probeClient{replies: map[string]overseer.ProbeReply{"node-2": {Epoch: 4}, "node-3": {Epoch: 4}}}
	p.findCoordinator(context.Background(), true)
	require.Equal(t, partitioner.NodeID("node-2"), s.storedTable(t).Divisions[0].Ranges[0].Owner)
}

// A member that could not be asked may hold keys by a table that was lost: it gets no lease,
// and no keys are assigned, until its leases have ended. Then its keys get new tokens.
func TestKeysOfUnheardMembersWaitForTheirLeases(t *testing.T) {
	table := testTable(8, "node-3")
	table.Coordinator, table.Unheard = "node-1", []partitioner.NodeID{"node-3"}
	now := timer.Instant(time.Hour)
	o := overseer.NewOverseer("node-1", table, time.Second, now, now)
	beat := func(id partitioner.NodeID) overseer.HeartbeatReply {
		m, _ := table.Member(id)
		m.Server = partitioner.Server{ID: "s-" + string(id), Service: "permits", Slots: 4, Divided: true}
		return o.HandleHeartbeat(overseer.Heartbeat{Member: m, Uptime: time.Minute, Epoch: 4, Version: 8}, now)
	}
	for range 35 {
		require.Positive(t, beat("node-2").Lease)
		require.Zero(t, beat("node-3").Lease)
		require.Nil(t, o.Plan(now))
		now = now.Add(100 * time.Millisecond)
		o.WriteConfirmed(nil, now)
	}
	now = now.Add(500 * time.Millisecond)
	o.WriteConfirmed(nil, now)
	beat("node-1")
	beat("node-2")
	beat("node-3")
	next := o.Plan(now)
	require.NotNil(t, next)
	require.Empty(t, next.Unheard)
	for _, r := range next.Divisions[0].Ranges {
		require.Greater(t, r.Token, uint64(8))
	}
}

// A restored store gives revisions out again: a new configuration may have the revision of
// the one that a node read last.
func TestConfigurationWithARepeatedRevisionIsApplied(t *testing.T) {
	s := &fakeStore{version: 7, revision: 10, era: 1}
	p, _ := newTestParticipant(t, s)
	p.readStore(context.Background())
	require.Equal(t, uint64(7), p.Configuration().Version)
	s.version, s.era = 6, 2
	p.readStore(context.Background())
	require.Equal(t, uint64(7), p.Configuration().Version, "an older version from the copy")
	s.version = 8
	p.readStore(context.Background())
	require.Equal(t, uint64(7), p.Configuration().Version, "the same object was read before")
	s.revision = 11
	p.readStore(context.Background())
	require.Equal(t, uint64(8), p.Configuration().Version)
	s.version, s.era = 9, 3
	p.readStore(context.Background())
	require.Equal(t, uint64(9), p.Configuration().Version, "revision 11 of another era")
}

// The revisions of a restored store are lower than those seen before. A zone that the copy
// does not have is out until operators have had the time to take it out again.
func TestZonesOfARestoredStoreAreApplied(t *testing.T) {
	s := &fakeStore{version: 1, revision: 30, zones: []string{"zone-1"}, era: 1}
	p, clock := newTestParticipant(t, s)
	p.readStore(context.Background())
	require.True(t, p.ZoneOut(false))
	s.era, s.revision, s.zones = 2, 12, []string{"zone-2"}
	p.readStore(context.Background())
	require.True(t, p.ZoneOut(false), "the copy is older than the order")
	require.True(t, (*p.zonesOut.Load())["zone-2"], "an order in the new era is in force at once")
	clock.Advance(restoreSettleTime + time.Millisecond)
	p.readStore(context.Background())
	require.False(t, p.ZoneOut(false))

	other, otherClock := newTestParticipant(t, &fakeStore{})
	reply := func(era, revision uint64, zones ...string) {
		r := overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, Table: &partitioner.Table{Epoch: 1}, ZonesOut: zones, ZonesEra: era, ZonesRevision: revision}
		require.NoError(t, other.applyReply(r, 0))
	}
	reply(1, 30, "zone-1")
	reply(2, 12)
	require.True(t, other.ZoneOut(false))
	reply(1, 31)
	require.True(t, other.ZoneOut(false), "a list of an earlier era")
	otherClock.Advance(restoreSettleTime + time.Millisecond)
	reply(2, 12)
	require.False(t, other.ZoneOut(false))
}

// While a node asks the members, another one creates the table of the era, or of a later one.
func TestRecoveryEndsIfAnotherNodeWasFirst(t *testing.T) {
	for name, era := range map[string]uint64{"the same era": 2, "a later era": 3} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 2}
			s.setTable(t, "main-1", testTable(3, "node-1"))
			p, _ := newTestParticipant(t, s)
			require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Table: testTable(8, "node-2")}, 0))
			created := testTable(1, "node-2")
			created.Era, created.Epoch = era, 200000
			p.client = probeClient{replies: map[string]overseer.ProbeReply{"node-2": {Epoch: 200000, Table: created}}}
			p.findCoordinator(context.Background(), true)
			require.Equal(t, "main-1", s.table.Name, "nothing is written")
			require.False(t, p.Status().IsCoordinator)
			require.Equal(t, uint64(200000), p.Status().Epoch)
		})
	}
}

// A new process found no table in a restored store and created one whose keys it divided at once,
// while others held them by the lost one (incident 0023).
func TestTableOfANewProcessInARestoredStoreIsBlank(t *testing.T) {
	for name, tt := range map[string]struct {
		era  uint64
		want partitioner.Founding
	}{
		"first era":          {1, partitioner.FoundedBlank},
		"after a restore":    {2, partitioner.FoundedBlank},
		"later era":          {3, partitioner.FoundedBlank},
		"store without eras": {0, partitioner.FoundedFirst},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: tt.era}
			p, _ := newTestParticipant(t, s)
			p.findCoordinator(context.Background(), false)
			require.True(t, p.Status().IsCoordinator)
			require.Equal(t, tt.want, s.storedTable(t).Founding)
		})
	}
}

// A node that knows the lost table takes the role with it in place of a blank one, in the same era
// of the store and in a later one.
func TestBlankTableIsReplacedByOneThatKnowsOwners(t *testing.T) {
	for name, era := range map[string]uint64{"in the same era": 3, "in a later era": 4} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 3}
			blank := overseer.FirstTable(partitioner.Member{ID: "node-3", Address: "127.0.0.1:3"}, 5, 3, 0, false)
			s.setTable(t, "main-3", blank)
			s.era = era
			p, _ := newTestParticipant(t, s)
			known := testTable(8, "node-2")
			known.Era = 1
			require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Lease: time.Second, Table: known}, p.timers.Now()))
			p.client = probeClient{replies: map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true}, "node-3": {Epoch: blank.Epoch, Table: blank}}}
			p.findCoordinator(context.Background(), false)
			require.True(t, p.Status().IsCoordinator)
			table := s.storedTable(t)
			require.Equal(t, partitioner.NodeID("node-2"), table.Divisions[0].Ranges[0].Owner)
			require.Equal(t, []partitioner.NodeID{"node-3"}, table.Unheard, "its former process may hold keys")
			require.Equal(t, era, table.Era)
			require.Greater(t, table.Epoch, blank.Epoch)
			require.GreaterOrEqual(t, table.LastToken, blank.LastToken)
			require.Less(t, table.LastToken, (era+1)<<20, "the next era begins above it")
			require.Empty(t, table.Founding)
		})
	}
}
