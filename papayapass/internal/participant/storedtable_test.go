package participant

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// oddSpecs returns specs that another writer left and that hold no usable table.
func oddSpecs(t *testing.T) map[string][]byte {
	t.Helper()
	specs := map[string][]byte{
		"none": nil, "null": []byte("null"), "empty": []byte("{}"), "list": []byte("[]"), "text": []byte(`"table"`),
		"deeply nested":    []byte(`{"members":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}"),
		"epoch too large":  []byte(`{"epoch":1e400}`),
		"version negative": []byte(`{"epoch":1,"version":-1}`),
		"not JSON":         []byte("\x00\xff"),
	}
	for name, change := range map[string]func(*partitioner.Table){
		"epoch at the top":     func(t *partitioner.Table) { t.Epoch = math.MaxUint64 },
		"version at the top":   func(t *partitioner.Table) { t.Version = math.MaxUint64 },
		"token at the top":     func(t *partitioner.Table) { t.LastToken = math.MaxUint64 },
		"token above the last": func(t *partitioner.Table) { t.Divisions[0].Ranges[0].Token = math.MaxUint64 },
		"later era":            func(t *partitioner.Table) { t.Era = math.MaxUint64 },
		"unknown coordinator":  func(t *partitioner.Table) { t.Coordinator = "node-7" },
		"no members":           func(t *partitioner.Table) { t.Members = nil },
		"members out of order": func(t *partitioner.Table) { t.Members[0], t.Members[1] = t.Members[1], t.Members[0] },
		"member twice":         func(t *partitioner.Table) { t.Members[1] = t.Members[0] },
		"slots that overflow":  func(t *partitioner.Table) { t.Members[0].Server.Slots = 1 << 62 },
		"no ranges":            func(t *partitioner.Table) { t.Divisions[0].Ranges = nil },
		"keys left out":        func(t *partitioner.Table) { t.Divisions[0].Ranges[0].Last = 99 },
		"overlapping ranges": func(t *partitioner.Table) {
			t.Divisions[0].Ranges = append(t.Divisions[0].Ranges, t.Divisions[0].Ranges[0])
		},
		"range upside down":     func(t *partitioner.Table) { t.Divisions[0].Ranges[0] = partitioner.Range{First: 9, Last: 1} },
		"service divided twice": func(t *partitioner.Table) { t.Divisions = append(t.Divisions, t.Divisions[0]) },
	} {
		table := testTable(8, "node-1")
		table.Epoch = 7
		change(table)
		spec, err := json.Marshal(table)
		require.NoError(t, err)
		specs[name] = spec
	}
	return specs
}

// Incident 0017: an object of another writer beside the table kept all nodes from reading it,
// or was taken for the table.
func TestOddObjectBesideTheTableIsIgnored(t *testing.T) {
	long := strings.Repeat("o", 1<<20)
	s := &fakeStore{version: 1, revision: 10, era: 1, rejected: []error{descriptor.ErrMalformed}}
	s.setTable(t, "main-1", testTable(8, "node-1"))
	foreign := testTable(9, "node-3")
	foreign.Epoch = 99
	usable, err := json.Marshal(foreign)
	require.NoError(t, err)
	for _, name := range []string{"odd", "", "main-", "main-01", "main-x", "main-99999999999999999999", "Main", "main-2", long} {
		s.others = append(s.others, descriptor.Object{Name: name, Revision: 11, Spec: usable})
	}
	for _, spec := range oddSpecs(t) {
		s.others = append(s.others, descriptor.Object{Name: "main", Revision: 11, Spec: spec})
	}
	p, _ := newTestParticipant(t, s)
	var log bytes.Buffer
	p.logger = zerolog.New(&log)
	stored, err := p.readTable(context.Background())
	require.NoError(t, err)
	require.Equal(t, "main-1", stored.name)
	require.Equal(t, uint64(4), stored.table.Epoch)
	require.False(t, stored.mustRecover())
	_, err = p.readTable(context.Background())
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(log.String(), "objects in the store rejected"), "logged once")
	require.Less(t, log.Len(), 8192)
}

// The object of the table was overwritten by another writer. A node that knows the table takes
// the role with the newest one that any member knows.
func TestUnusableTableIsRecoveredFromTheMembers(t *testing.T) {
	for name, spec := range oddSpecs(t) {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 1}
			s.table = descriptor.Object{Name: "main-1", Revision: 10, Spec: spec}
			if spec == nil {
				s.table.Spec = []byte{}
			}
			p, _ := newTestParticipant(t, s)
			require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 4, Lease: time.Second, Table: testTable(8, "node-2")}, p.timers.Now()))
			p.client = probeClient{replies: map[string]overseer.ProbeReply{"node-2": {Epoch: 4, HasLease: true, Table: testTable(9, "node-3")}}}
			p.findCoordinator(context.Background(), true)
			require.True(t, p.Status().IsCoordinator)
			table := s.storedTable(t)
			require.Equal(t, "main-1", s.table.Name)
			require.Equal(t, partitioner.NodeID("node-3"), table.Divisions[0].Ranges[0].Owner)
			require.Equal(t, []partitioner.NodeID{"node-3"}, table.Unheard)
			require.Greater(t, table.Epoch, uint64(11<<16), "above the epochs of all revisions")
			require.GreaterOrEqual(t, table.LastToken, uint64(11<<20), "above the tokens of all revisions")
		})
	}
}

// Another writer overwrote or removed the table's object of a coordinator, whose next write
// meets another revision.
func TestCoordinatorRecoversItsOverwrittenTable(t *testing.T) {
	for name, o := range map[string]descriptor.Object{"overwritten": {Name: "main-1", Revision: 30, Spec: []byte("{}")}, "removed": {}} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 1}
			p, _ := newTestParticipant(t, s)
			p.findCoordinator(context.Background(), false)
			first := p.Status().Epoch
			s.table = o
			p.handleWriteResult(context.Background(), nil, descriptor.StoreState{}, 0, descriptor.ErrConflict)
			require.True(t, p.Status().IsCoordinator)
			require.Equal(t, "main-1", s.table.Name)
			require.Greater(t, p.Status().Epoch, first+1<<16)
			require.Equal(t, p.Status().Epoch, s.storedTable(t).Epoch)
		})
	}
}

// A node that knows no table must not replace an unusable one while others, which it cannot
// know, may still hold keys by it.
func TestUnusableTableIsReplacedOnceAllLeasesHaveEnded(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, era: 1}
	s.table = descriptor.Object{Name: "main-1", Revision: 10, Spec: []byte("{}")}
	p, clock := newTestParticipant(t, s)
	p.findCoordinator(context.Background(), false)
	clock.Advance(overseer.MaxStoreOutage + overseer.AuthorityDuration)
	p.findCoordinator(context.Background(), false)
	require.False(t, p.Status().IsCoordinator)
	require.Equal(t, uint64(10), s.table.Revision)
	clock.Advance(longestLease)
	p.findCoordinator(context.Background(), false)
	require.True(t, p.Status().IsCoordinator)
	require.Greater(t, p.Status().Epoch, uint64(10<<16), "above the epochs of all revisions")
	require.Equal(t, p.Status().Epoch, s.storedTable(t).Epoch)
}

// A node that knows no table reaches the store long after its start, just after another writer has
// overwritten the table. It divided keys at once beside those who held them by the lost one.
func TestTableInPlaceOfAnUnusableOneIsBlank(t *testing.T) {
	for _, era := range []uint64{0, 1, 2} {
		t.Run(tableName(era), func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: era}
			s.table = descriptor.Object{Name: tableName(era), Revision: 10, Spec: []byte("{}")}
			p, clock := newTestParticipant(t, s)
			clock.Advance(longestLease + time.Second)
			p.findCoordinator(context.Background(), false)
			require.True(t, p.Status().IsCoordinator)
			require.Equal(t, partitioner.FoundedBlank, s.storedTable(t).Founding)
		})
	}
}

func TestNamesOfTables(t *testing.T) {
	for _, era := range []uint64{0, 1, 17, math.MaxUint64} {
		got, ok := eraOfTable(tableName(era))
		require.True(t, ok)
		require.Equal(t, era, got)
	}
	for _, name := range []string{"", "main-", "main-0", "main-01", "main-+1", "main-18446744073709551616", "mains", "other"} {
		_, ok := eraOfTable(name)
		require.False(t, ok, name)
	}
}

// A stored table names an address that cannot be one. Calls go to the other members.
func TestMemberWithAnImpossibleAddressIsUnreachable(t *testing.T) {
	for name, address := range map[string]string{"port out of range": "127.0.0.1:99999999", "no port": "127.0.0.1", "empty": "", "open bracket": "[::1:80"} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{version: 1, revision: 10, era: 1}
			table := &partitioner.Table{Era: 1, Epoch: 4, Version: 1, Coordinator: "node-2"}
			for id, at := range map[partitioner.NodeID]string{"node-2": address, "node-3": "127.0.0.1:3"} {
				table.SetMember(partitioner.Member{ID: id, Address: at, Zone: "zone-1", Server: partitioner.Server{ID: "s-" + string(id), Service: "records", Slots: 4}})
			}
			s.setTable(t, "main-1", table)
			p, clock := newTestParticipant(t, s)
			p.newPeer = func(address string) *dispatcher.Peer {
				return dispatcher.NewPeer(address, clock, enveloper.NewEnveloper(""))
			}
			stored, err := p.readTable(context.Background())
			require.NoError(t, err)
			p.applyTable(stored.table)
			call := &dispatcher.Call{Service: "records", Objective: time.Second, Deadline: clock.Now().Add(time.Second)}
			require.Equal(t, dispatcher.NotRun, p.peer(address).Serve(context.Background(), call).Outcome)
			for range 20 {
				_, id, _ := p.Choose(call, nil)
				require.Equal(t, partitioner.NodeID("node-3"), id)
			}
		})
	}
}
