package participant

import (
	"bytes"
	"cmp"
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/forwarder"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// fakeStore holds one object of each kind.
type fakeStore struct {
	Store

	version  uint64
	zones    []string
	revision uint64
	era      uint64
	err      error
	// getErr is the error of reads of single objects, and rejected of the lists.
	getErr   error
	rejected []error
	table    descriptor.Object
	// others are objects that other writers left beside the table.
	others []descriptor.Object
	// delay runs during each call that reads or creates the table.
	delay func()
}

func (s *fakeStore) Get(context.Context, string, string) (descriptor.Object, error) {
	if err := cmp.Or(s.err, s.getErr); err != nil {
		return descriptor.Object{}, err
	}
	return descriptor.Object{Revision: s.revision, Era: s.era, Spec: []byte(strconv.FormatUint(s.version, 10))}, nil
}

func (s *fakeStore) List(_ context.Context, kind string) (descriptor.Listing, error) {
	var out []descriptor.Object
	if kind == tableKind {
		if s.delay != nil {
			s.delay()
		}
		if s.table.Spec != nil {
			out = append(out, s.table)
		}
		out = append(out, s.others...)
		return descriptor.Listing{Objects: out, Rejected: s.rejected, State: descriptor.StoreState{Era: s.era, Revision: s.revision}}, s.err
	}
	for _, z := range s.zones {
		out = append(out, descriptor.Object{Name: z})
	}
	return descriptor.Listing{Objects: out, Rejected: s.rejected, State: descriptor.StoreState{Era: s.era, Revision: s.revision}}, s.err
}

func (s *fakeStore) Create(_ context.Context, _ string, o descriptor.Object) (descriptor.StoreState, error) {
	if s.delay != nil {
		s.delay()
	}
	if s.table.Spec != nil && s.table.Name == o.Name {
		return descriptor.StoreState{}, descriptor.ErrConflict
	}
	return s.write(o)
}

func (s *fakeStore) Replace(_ context.Context, _ string, o descriptor.Object) (descriptor.StoreState, error) {
	if s.table.Name != o.Name || s.table.Revision != o.Revision {
		return descriptor.StoreState{}, descriptor.ErrConflict
	}
	return s.write(o)
}

func (s *fakeStore) write(o descriptor.Object) (descriptor.StoreState, error) {
	s.revision++
	o.Revision = s.revision
	s.table = o
	return descriptor.StoreState{Era: s.era, Revision: s.revision}, s.err
}

func decodeVersion(spec []byte) (*descriptor.Configuration, error) {
	v, err := strconv.ParseUint(string(spec), 10, 64)
	return &descriptor.Configuration{Version: v, Source: spec}, err
}

// mustReadStore reports whether a node reads the store itself.
func (p *Participant) mustReadStore() bool { return p.nextReadIn() <= 0 }

func newTestParticipant(t *testing.T, s *fakeStore) (*Participant, *timer.ManualClock) {
	t.Helper()
	clock := &timer.ManualClock{}
	clock.Advance(time.Hour)
	timers := timer.NewService(clock)
	g := granter.NewGranter("node-1", 10*time.Second, clock.Now())
	self := partitioner.Member{ID: "node-1", Address: "127.0.0.1:1", Zone: "zone-1"}
	newPeer := func(address string) *dispatcher.Peer { return dispatcher.NewPeer(address, clock, nil) }
	p := NewParticipant(self, 1, s, StoreLayout{Decode: decodeVersion}, Bounds{RetryWindow: time.Second, ZoneOutTimeout: 5 * time.Second, ApplyTimeout: 2 * time.Second}, timers, g, newPeer, zerolog.Nop())
	p.Attach(forwarder.NewForwarder("127.0.0.1:2", "permits", time.Second, nil, clock, g, p, &tracer.Tracer{}, zerolog.Nop()), nil)
	return p, clock
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := &fakeStore{version: 7, revision: 10}
	p, _ := newTestParticipant(t, s)
	p.readStore(context.Background())
	require.Equal(t, uint64(7), p.Configuration().Version)
	s.version, s.revision = 6, 11
	p.readStore(context.Background())
	require.Equal(t, uint64(7), p.Configuration().Version)
	require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, Table: &partitioner.Table{Epoch: 1}, Configuration: []byte("9")}, 0))
	require.Equal(t, uint64(9), p.Configuration().Version, "a configuration from the coordinator is applied too")
	require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, Configuration: []byte("8")}, 0))
	require.Equal(t, uint64(9), p.Configuration().Version)
	require.NoError(t, p.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, Configuration: []byte("broken")}, 0))
	require.Equal(t, uint64(9), p.Configuration().Version)
}

func TestStoreRevisionOrdersZones(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, zones: []string{"zone-1"}}
	p, clock := newTestParticipant(t, s)
	p.readStore(context.Background())
	require.True(t, p.ZoneOut(false))
	require.True(t, p.ZoneOut(true), "it is unknown since when the zone is out")
	s.zones, s.revision = nil, 12
	p.readStore(context.Background())
	require.False(t, p.ZoneOut(false))
	p.setZones([]string{"zone-1"}, descriptor.StoreState{Revision: 11})
	require.False(t, p.ZoneOut(false), "an older list is ignored")
	p.setZones([]string{"zone-1"}, descriptor.StoreState{Revision: 13})
	require.True(t, p.ZoneOut(false), "shared pools stop at once")
	require.False(t, p.ZoneOut(true), "keys have time to move")
	clock.Advance(2600 * time.Millisecond)
	require.True(t, p.ZoneOut(true))
}

// Incident 0017: another writer left an odd object among the zones out of service, and no
// zone was followed any more.
func TestZonesAreFollowedBesideAnOddObject(t *testing.T) {
	long := strings.Repeat("z", 1<<20)
	s := &fakeStore{version: 1, revision: 10, zones: []string{"zone-1", "", "zone\n2", long}, rejected: []error{errors.New(long)}}
	p, _ := newTestParticipant(t, s)
	var log bytes.Buffer
	p.logger = zerolog.New(&log)
	for range 3 {
		p.readStore(context.Background())
	}
	require.True(t, p.ZoneOut(false))
	require.Equal(t, 1, len(*p.zonesOut.Load()), "odd names are not zones")
	require.Positive(t, p.desired.readAt)
	require.Equal(t, 1, strings.Count(log.String(), "objects in the store rejected"), "logged once")
	require.Less(t, log.Len(), 8192)
	s.zones, s.revision = []string{long}, 11
	p.readStore(context.Background())
	require.False(t, p.ZoneOut(false))
}

// Incident 0017: a configuration object that could not be decoded kept the zones from being
// read.
func TestZonesAreFollowedBesideAnOddConfiguration(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10}
	p, _ := newTestParticipant(t, s)
	p.readStore(context.Background())
	s.getErr, s.zones, s.revision = descriptor.ErrMalformed, []string{"zone-1"}, 11
	p.readStore(context.Background())
	require.True(t, p.ZoneOut(false))
	require.Equal(t, uint64(1), p.Configuration().Version)
	s.getErr, s.version = nil, 2
	p.readStore(context.Background())
	require.Equal(t, uint64(2), p.Configuration().Version)
}

// The store rejects the coordinator (CONFIG in a search for faults): its reading is no
// longer fresh after the failed read, and the other nodes read the store themselves.
func TestNodesReadStoreWhenCoordinatorCannot(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10}
	p, clock := newTestParticipant(t, s)
	require.False(t, p.mustReadStore(), "the coordinator may send its reading")
	clock.Advance(firstReadDelay)
	require.True(t, p.mustReadStore(), "no coordinator has sent a reply yet")
	p.findCoordinator(context.Background(), false) // creates the table and becomes the coordinator
	p.readStore(context.Background())
	var r overseer.HeartbeatReply
	p.fillReply(&r, overseer.Heartbeat{})
	require.True(t, r.StoreFresh)
	require.Equal(t, []byte("1"), r.Configuration)
	changed := p.changed
	s.err = errors.New("store unavailable")
	p.readStore(context.Background())
	select {
	case <-changed:
	default:
		require.Fail(t, "waiting replies must be released")
	}
	r = overseer.HeartbeatReply{}
	p.fillReply(&r, overseer.Heartbeat{ConfigurationVersion: 1})
	require.False(t, r.StoreFresh)
	require.Empty(t, r.Configuration)

	other, otherClock := newTestParticipant(t, &fakeStore{})
	require.NoError(t, other.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, Table: &partitioner.Table{Epoch: 1}, StoreFresh: true}, 0))
	require.False(t, other.mustReadStore())
	require.NoError(t, other.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1}, 0))
	require.True(t, other.mustReadStore())
	require.NoError(t, other.applyReply(overseer.HeartbeatReply{IsCoordinator: true, Epoch: 1, StoreFresh: true}, 0))
	otherClock.Advance(other.bounds.Load().freshness() + time.Millisecond)
	require.True(t, other.mustReadStore(), "a reply expires without another one")
	clock.Advance(p.bounds.Load().freshness())
}

// The store answers slowly. A term's authority counts from before the call that created or
// read the table: counted from the response, it would outlast a successor's wait.
func TestAuthorityCountsFromBeforeTheCall(t *testing.T) {
	const delay = 900 * time.Millisecond
	s := &fakeStore{version: 1, revision: 10}
	p, clock := newTestParticipant(t, s)
	s.delay = func() { clock.Advance(delay) }
	p.findCoordinator(context.Background(), false) // a read, then a write
	require.True(t, p.Status().IsCoordinator)
	require.Equal(t, clock.Now().Add(overseer.AuthorityDuration-delay), p.overseer.AuthorityUntil(), "a created table")

	p.mu.Lock()
	p.overseer = nil
	p.mu.Unlock()
	p.findCoordinator(context.Background(), false) // this node's own write is found
	require.True(t, p.Status().IsCoordinator)
	require.Equal(t, clock.Now().Add(overseer.AuthorityDuration-delay), p.overseer.AuthorityUntil(), "an adopted table")
}

// A call for a key on the move goes to the next owner, where it waits. If that node has left,
// it goes to the owner.
func TestKeyOnTheMoveIsAskedForAtTheNextOwner(t *testing.T) {
	p, _ := newTestParticipant(t, &fakeStore{})
	choose := func(version uint64, next partitioner.NodeID) partitioner.NodeID {
		table := &partitioner.Table{Epoch: 1, Version: version, Divisions: []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{
			{First: 0, Last: partitioner.LastKey, Owner: "node-2", NextOwner: next, Token: 1},
		}}}}
		for _, id := range []partitioner.NodeID{"node-2", "node-3"} {
			table.SetMember(partitioner.Member{ID: id, Address: "127.0.0.1:" + string(id[5:])})
		}
		p.applyTable(table)
		_, id, _ := p.Choose(&dispatcher.Call{Service: "permits", Divided: true, Key: 7}, nil)
		return id
	}
	require.Equal(t, partitioner.NodeID("node-2"), choose(1, ""))
	require.Equal(t, partitioner.NodeID("node-3"), choose(2, "node-3"))
	require.Equal(t, partitioner.NodeID("node-2"), choose(3, "node-4"))
}

// The store is down for 9 s. A node that looks for the coordinator asks it less and less
// often, and at once when it answers again.
func TestStoreThatIsDownGetsFewerCalls(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, err: errors.New("store unavailable")}
	p, _ := newTestParticipant(t, s)
	calls := 0
	for outage := 9 * time.Second; outage > 0; calls++ {
		p.findCoordinator(context.Background(), true)
		outage -= p.searchBackoff.stretch(maxTakeoverDelay)
	}
	require.LessOrEqual(t, calls, 3)
	p.searchBackoff.record(descriptor.ErrNotFound)
	require.Equal(t, time.Second, p.searchBackoff.stretch(time.Second), "an empty store answers")
}

// The store fails three reads in a row and is back. The next reading must follow after the
// usual interval: with a longer one the coordinator, which reads for all nodes, put a
// configuration in force later than ApplyTimeout allows (CONFIG in a hunt of the large site).
func TestReadsOfTheConfigurationDoNotBackOff(t *testing.T) {
	s := &fakeStore{version: 1, revision: 10, err: errors.New("store unavailable")}
	p, _ := newTestParticipant(t, s)
	for range 3 {
		p.findCoordinator(context.Background(), true)
		p.readStore(context.Background())
	}
	require.Equal(t, p.bounds.Load().pollInterval(), p.readPause(0))
}

// A backend server leaves, then its node restarts, then a heartbeat that was held up since
// before arrives. The server must not be used again; its next start is.
func TestServerThatLeftStaysOutAfterARestart(t *testing.T) {
	beat := descriptor.Heartbeat{ID: "server-1", Service: "permits", Address: "127.0.0.1:2", Slots: 4, Sequence: 9, StartedAtMillis: 5}
	restart := func(server partitioner.Server) *Participant {
		p, _ := newTestParticipant(t, &fakeStore{})
		table := &partitioner.Table{Epoch: 1, Version: 1}
		m := p.self
		m.Server = server
		table.SetMember(m)
		p.applyTable(table)
		_, ok := p.forwarder.Heartbeat(beat, nil)
		require.True(t, ok)
		return p
	}
	server := partitioner.Server{ID: "server-1", StartedAtMillis: 5, Service: "permits", Slots: 4, Leaving: true, NodeStopping: true}
	require.True(t, restart(server).forwarder.Server().Up(), "only the node had stopped")
	server.NodeStopping = false
	p := restart(server)
	require.False(t, p.forwarder.Server().Up())
	beat.Sequence, beat.StartedAtMillis = 1, 6
	_, ok := p.forwarder.Heartbeat(beat, nil)
	require.True(t, ok)
	require.True(t, p.forwarder.Server().Up())
}

// The node on the largest machine cannot take the role, since the store rejects it. It is
// asked again with each reply, which still waits as long as usual, and tries only sometimes.
func TestRoleThatCannotBeTakenIsNotTriedInALoop(t *testing.T) {
	require.False(t, overseer.HeartbeatReply{TakeOver: true}.HasUpdate(), "the reply waits")
	calls := 0
	s := &fakeStore{version: 1, revision: 10, err: errors.New("store unavailable")}
	p, clock := newTestParticipant(t, s)
	p.store = countingStore{s, &calls}
	for range 40 {
		p.takeOver(context.Background())
		clock.Advance(250 * time.Millisecond)
	}
	require.LessOrEqual(t, calls, 5, "in 10 s")
	require.Positive(t, calls)
}

// countingStore counts the reads of objects.
type countingStore struct {
	Store

	calls *int
}

func (c countingStore) List(ctx context.Context, kind string) (descriptor.Listing, error) {
	*c.calls++
	return c.Store.List(ctx, kind)
}

func TestLaterEpochEndsTerm(t *testing.T) {
	p, _ := newTestParticipant(t, &fakeStore{version: 1, revision: 10})
	p.findCoordinator(context.Background(), false)
	require.True(t, p.Status().IsCoordinator)
	later := &partitioner.Table{Epoch: 2, Version: 1, Coordinator: "node-2"}
	p.HandleTable(later)
	require.False(t, p.Status().IsCoordinator)
	r := p.HandleHeartbeat(context.Background(), overseer.Heartbeat{Epoch: 1})
	require.False(t, r.IsCoordinator)
	require.Equal(t, later, r.Table, "the reply must name the coordinator")
	p.HandleTable(&partitioner.Table{Epoch: 1, Version: 9, Coordinator: "node-3"})
	require.Equal(t, uint64(2), p.Status().Epoch)
}

// grantClient records each key request and answers it with a handover value.
type grantClient struct {
	Client

	handover string
	sent     []granter.Call
}

func (c *grantClient) UpdateGrant(_ context.Context, call granter.Call) (granter.Result, string) {
	c.sent = append(c.sent, call)
	return granter.Done, c.handover
}

// A handover value of 60 KB would go into the table, which the store then rejects.
func TestLargeHandoverIsDropped(t *testing.T) {
	for handover, want := range map[string]string{"5c0e7a21d94b36f8": "5c0e7a21d94b36f8", strings.Repeat("h", 60<<10): ""} {
		p, clock := newTestParticipant(t, &fakeStore{})
		p.client = &grantClient{handover: handover}
		table := testTable(8, "node-1")
		table.Divisions[0].Ranges[0].NextOwner = "node-2"
		p.applyTable(table)
		p.sendKeyRequest(context.Background(), granter.Call{Service: "permits", Last: partitioner.LastKey, Token: 8, Release: true})
		released := p.granter.Released(clock.Now().Add(time.Minute)) // after all grants of a former process
		require.Len(t, released, 1)
		require.Equal(t, want, released[0].Handover)
	}
}

// A busy node sends a grant long after it has planned it. The hold counts from the arrival, so it
// must end with the lease from which it was planned (two owners).
func TestGrantThatWaitedEndsWithItsLease(t *testing.T) {
	p, clock := newTestParticipant(t, &fakeStore{})
	c := &grantClient{}
	p.client = c
	call := granter.Call{Service: "permits", Last: 99, Token: 4, Hold: 2 * time.Second, Sent: clock.Now()}
	clock.Advance(500 * time.Millisecond)
	p.sendKeyRequest(context.Background(), call)
	require.Len(t, c.sent, 1)
	require.Equal(t, 1500*time.Millisecond, c.sent[0].Hold)
	clock.Advance(1450 * time.Millisecond)
	p.sendKeyRequest(context.Background(), call)
	require.Len(t, c.sent, 1, "too little is left of the hold")
}

// Two heartbeats were under way at once. The reply to the second brought a delta that did not apply
// after the first, and a lease, by which the node granted keys that the table had given away.
func TestLeaseCountsOnlyWithItsTable(t *testing.T) {
	p, clock := newTestParticipant(t, &fakeStore{})
	v8, v9, v10 := testTable(8, "node-1"), testTable(9, "node-1"), testTable(10, "node-2")
	now := clock.Now()
	reply := overseer.HeartbeatReply{IsCoordinator: true, Epoch: v8.Epoch, Table: v8}
	require.NoError(t, p.applyReply(reply, now))
	reply.Table, reply.Delta = nil, partitioner.Diff(v8, v9)
	require.NoError(t, p.applyReply(reply, now))
	reply.Delta, reply.Lease = partitioner.Diff(v8, v10), 3*time.Second
	require.NoError(t, p.applyReply(reply, now))
	require.Equal(t, uint64(9), p.table.Load().Version)
	require.Zero(t, p.granter.LeaseLeft(now))
	reply.Delta = partitioner.Diff(v9, v10)
	require.NoError(t, p.applyReply(reply, now))
	require.Positive(t, p.granter.LeaseLeft(now))
}
