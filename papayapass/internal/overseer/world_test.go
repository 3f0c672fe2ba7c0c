package overseer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	worldStep = 20 * time.Millisecond
	service   = "permits"
	samples   = 64
)

// grantOf is what a backend server holds.
type grantOf struct {
	first, last uint16
	token       uint64
	until       time.Duration
}

// server is a backend server that takes fenced grants.
type server struct {
	life  int64
	seen  [samples]uint64
	holds []grantOf
	late  []lateCall
}

type lateCall struct {
	at, arrived time.Duration
	call        granter.Call
}

func sampleKey(i int) uint16 { return uint16(i*partitioner.KeyCount/samples + 7) }

func (s *server) apply(c granter.Call, arrived time.Duration) granter.Result {
	for i := range samples {
		if k := sampleKey(i); c.First <= k && k <= c.Last && s.seen[i] > c.Token {
			return granter.Refused
		}
	}
	var kept []grantOf
	for _, h := range s.holds { // what overlaps is cut, the rest stays
		if h.last < c.First || c.Last < h.first {
			kept = append(kept, h)
			continue
		}
		if h.first < c.First {
			kept = append(kept, grantOf{h.first, c.First - 1, h.token, h.until})
		}
		if c.Last < h.last {
			kept = append(kept, grantOf{c.Last + 1, h.last, h.token, h.until})
		}
	}
	s.holds = kept
	if c.Release {
		return granter.Done
	}
	for i := range samples {
		if k := sampleKey(i); c.First <= k && k <= c.Last {
			s.seen[i] = c.Token
		}
	}
	s.holds = append(s.holds, grantOf{c.First, c.Last, c.Token, arrived + c.Hold + c.Hold/50}) // its clock runs 2 % slow
	return granter.Done
}

func (s *server) token(key uint16, now time.Duration) (uint64, bool) {
	for _, h := range s.holds {
		if h.first <= key && key <= h.last && now < h.until {
			return h.token, true
		}
	}
	return 0, false
}

// member is a node of the world.
type member struct {
	self        partitioner.Member
	incarnation uint64
	rate        float64
	table       *partitioner.Table
	granter     *granter.Granter
	overseer    *overseer.Overseer
	revision    uint64
	heard, echo timer.Instant
	echoEpoch   uint64
	joined      uint64
	nextBeat    time.Duration
	pausedTo    time.Duration
	cutTo       time.Duration // from all other nodes
	storeCutTo  time.Duration
	server      *server
	wrote       timer.Instant
	nextPlan    time.Duration
}

type world struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Duration
	members  []*member
	table    *partitioner.Table
	revision uint64
	downTo   time.Duration
	lateTo   time.Duration
	pending  func() // a write whose answer was lost, and that comes late
	pendAt   time.Duration
	served   int
	checks   int
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 77)), now: time.Hour}
	for i := range n {
		m := &member{server: &server{}, rate: 1 + (w.r.Float64()-0.5)*0.018}
		m.self = partitioner.Member{ID: partitioner.NodeID(fmt.Sprintf("node-%d", i)), Zone: fmt.Sprintf("zone-%d", i%3)}
		w.members = append(w.members, m)
		w.restart(m)
	}
	return w
}

func (w *world) clock(m *member) timer.Instant { return timer.Instant(float64(w.now) * m.rate) }

// restart starts a node with an empty memory; its backend server lives on.
func (w *world) restart(m *member) {
	m.incarnation = w.r.Uint64()
	m.overseer, m.table, m.joined, m.echo, m.echoEpoch = nil, nil, 0, 0, 0
	m.granter = granter.NewGranter(m.self.ID, 10*time.Second, w.clock(m))
	m.heard = w.clock(m).Add(-time.Second)
	w.revive(m)
}

// revive tells the node of its backend server.
func (w *world) revive(m *member) {
	m.self.Server = partitioner.Server{ID: string(m.self.ID) + "-s", StartedAtMillis: m.server.life, Service: service, Slots: 10, Divided: true}
	m.granter.SetServer(m.self.Server)
}

func (w *world) storeReaches(m *member) bool { return w.now >= w.downTo && w.now >= m.storeCutTo }

func (w *world) linked(a, b *member) bool {
	return a == b || (w.now >= a.cutTo && w.now >= b.cutTo && w.now >= b.pausedTo)
}

// write replaces the table under a condition. The answer may be lost, and the write
// may come late.
func (w *world) write(m *member, t *partitioner.Table, revision uint64) (ok, known bool) {
	if !w.storeReaches(m) {
		return false, true
	}
	do := func() bool {
		if w.revision != revision {
			return false
		}
		if t != nil {
			w.table = t
		}
		w.revision++
		return true
	}
	if w.now < w.lateTo && w.r.IntN(3) == 0 {
		if w.r.IntN(2) == 0 {
			do()
		} else if w.pending == nil {
			w.pending, w.pendAt = func() { do() }, w.now+time.Duration(w.r.IntN(4000))*time.Millisecond
		}
		return false, false
	}
	return do(), true
}

func (w *world) step() {
	w.now += worldStep
	if w.pending != nil && w.now >= w.pendAt {
		w.pending()
		w.pending = nil
	}
	for _, m := range w.members {
		var later []lateCall
		for _, l := range m.server.late {
			if w.now < l.at {
				later = append(later, l)
				continue
			}
			m.server.apply(l.call, l.arrived)
		}
		m.server.late = later
		if w.now >= m.pausedTo {
			w.run(m)
		}
	}
	w.check()
}

func (w *world) run(m *member) {
	if w.now >= m.nextBeat {
		m.nextBeat = w.now + 240*time.Millisecond
		w.beat(m)
	}
	if m.overseer != nil && w.now >= m.nextPlan {
		m.nextPlan = w.now + 100*time.Millisecond
		w.coordinate(m)
	}
	now := w.clock(m)
	for _, c := range m.granter.DueCalls(now) {
		if w.now < w.lateTo && w.r.IntN(3) == 0 {
			m.server.late = append(m.server.late, lateCall{at: w.now + time.Duration(w.r.IntN(9000))*time.Millisecond, arrived: w.now, call: c})
			m.granter.HandleResult(c, granter.Unknown, "", now)
			continue
		}
		m.granter.HandleResult(c, m.server.apply(c, w.now), "handover", now)
	}
}

func (w *world) beat(m *member) {
	now := w.clock(m)
	if m.table != nil {
		b := overseer.Heartbeat{Member: m.self, Incarnation: m.incarnation, Epoch: m.table.Epoch, Version: m.table.Version, Released: m.granter.Released(now)}
		if m.echoEpoch == m.table.Epoch {
			b.Echo = m.echo
		}
		for _, c := range w.members {
			if c.self.ID == m.table.Coordinator && c.overseer != nil && w.linked(m, c) && w.r.IntN(20) > 0 {
				w.take(m, c.overseer.HandleHeartbeat(b, w.clock(c)), now)
			}
		}
	}
	if m.overseer == nil && now.Sub(m.heard) > overseer.CoordinatorTimeout && w.storeReaches(m) {
		w.seek(m, false)
	}
}

func (w *world) take(m *member, r overseer.HeartbeatReply, sent timer.Instant) {
	if r.Epoch < m.joined {
		return
	}
	m.joined, m.heard, m.echo, m.echoEpoch = r.Epoch, w.clock(m), r.Stamp, r.Epoch
	if r.Table != nil {
		w.applyTable(m, r.Table)
	}
	if r.Delta != nil {
		if next := m.table.Apply(r.Delta); next != nil {
			w.applyTable(m, next)
		}
	}
	if m.table.Epoch == r.Epoch {
		m.granter.SetLease(sent.Add(r.Lease))
	}
	if r.StoreDown && m.overseer == nil && w.storeReaches(m) && w.r.IntN(4) == 0 {
		w.seek(m, true)
	}
}

func (w *world) applyTable(m *member, t *partitioner.Table) {
	if t.Newer(m.table) {
		m.table = t
		m.granter.SetTable(t)
	}
}

func (w *world) seek(m *member, force bool) {
	now := w.clock(m)
	if w.table == nil {
		t := &partitioner.Table{Epoch: 1, Version: 1, Coordinator: m.self.ID, Incarnation: m.incarnation}
		t.SetMember(m.self)
		w.table, w.revision = t, 1
	}
	stored, revision := w.table, w.revision
	sight := overseer.ElectionView{
		Self: m.self.ID, Incarnation: m.incarnation, Stored: stored, Known: m.table, CannotWrite: force, Silent: now.Sub(m.heard),
	}
	w.applyTable(m, stored)
	step := sight.NextStep()
	if step == overseer.StepProbe {
		sight.Probed = true
		for _, o := range w.members {
			if _, ok := stored.Member(o.self.ID); !ok || o == m || o.self.ID == stored.Coordinator {
				continue
			}
			sight.Others++
			if w.linked(m, o) && w.linked(o, m) {
				sight.Answered++
				if w.clock(o).Sub(o.heard) < overseer.CoordinatorTimeout && o.joined >= stored.Epoch {
					sight.InContact++
				}
			}
		}
		step = sight.NextStep()
	}
	switch step {
	case overseer.StepAdopt:
		w.adopt(m, stored, revision, now)
	case overseer.StepClaim:
		next := overseer.ClaimTable(stored, m.self, m.incarnation)
		if ok, _ := w.write(m, next, revision); ok {
			w.applyTable(m, next)
			w.adopt(m, next, w.revision, now)
		}
	case overseer.StepFollow, overseer.StepProbe:
	}
}

func (w *world) adopt(m *member, t *partitioner.Table, revision uint64, sent timer.Instant) {
	m.overseer, m.revision = overseer.NewOverseer(m.self.ID, t, time.Second, sent, w.clock(m)), revision
	m.joined, m.heard, m.wrote = t.Epoch, w.clock(m), sent
}

func (w *world) coordinate(m *member) {
	now := w.clock(m)
	for _, missing := range m.overseer.SilentMembers(now) {
		for _, o := range w.members {
			if o.self.ID != missing.ID || !w.linked(m, o) || !w.linked(o, m) {
				continue
			}
			w.applyTable(o, m.overseer.Table())
			if o.overseer != nil && o.overseer.Table().Epoch < m.overseer.Table().Epoch {
				o.overseer = nil
			}
		}
	}
	next := m.overseer.Plan(now)
	if next == nil && now.Sub(m.wrote) < overseer.RenewalInterval {
		return
	}
	m.wrote = now
	if next != nil {
		m.overseer.WriteStarted(next)
	}
	ok, known := w.write(m, next, m.revision)
	switch {
	case ok:
		m.revision = w.revision
		m.overseer.WriteConfirmed(next, now)
	case known && !w.storeReaches(m):
		m.overseer.WriteFailed(next)
	case w.storeReaches(m):
		if w.table.Coordinator == m.self.ID && w.table.Incarnation == m.incarnation {
			m.revision = w.revision
			m.overseer.TableRead(w.table, now)
		} else {
			m.overseer = nil
		}
	}
}

// check looks at what all backend servers hold.
func (w *world) check() {
	for i := range samples {
		key, owners := sampleKey(i), 0
		for _, m := range w.members {
			if _, ok := m.server.token(key, w.now); ok {
				owners++
			}
		}
		if owners > 1 { // a call of require for each key and step would take most of the time
			require.Fail(w.t, "two owners", "key %d at %s", key, w.now)
		}
		w.checks++
		w.served += owners
	}
}

// fault lets one thing go wrong.
func (w *world) fault() {
	m := w.members[w.r.IntN(len(w.members))]
	d := time.Duration(500+w.r.IntN(5000)) * time.Millisecond
	kind := w.r.IntN(8)
	w.t.Logf("%s: fault %d at %s for %s", m.self.ID, kind, w.now, d)
	switch kind {
	case 0:
		m.pausedTo = w.now + d
	case 1:
		w.restart(m)
	case 2:
		m.cutTo = w.now + d
	case 3:
		m.storeCutTo = w.now + d
	case 4:
		m.cutTo, m.storeCutTo = w.now+d, w.now+d
	case 5:
		w.downTo = w.now + d
	case 6:
		w.lateTo = w.now + d
	default: // the backend server restarts and knows nothing
		m.server = &server{life: m.server.life + 1}
		w.revive(m)
	}
}

// Random schedules of freezes, restarts, partitions, outages of the store, lost and
// late writes, lost and late grants, and clocks of different rates: no key has two
// owners at any step, and all keys are served again when the faults are over.
func TestNoKeyHasTwoOwners(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, seed, 3+int(seed%5))
			for range 200 {
				w.step()
			}
			for range 25 {
				w.fault()
				for range 20 + w.r.IntN(150) {
					w.step()
				}
			}
			for range 800 { // 16 s: the longest fault, and the latest of late grants
				w.step()
			}
			w.served, w.checks = 0, 0
			w.step()
			require.Equal(t, w.checks, w.served, "all keys are served again")
		})
	}
}

// A node and its backend server are lost for good: its keys are served again within
// 4 s, also when the node coordinates.
func TestALostOwnersKeysAreServedWithinFourSeconds(t *testing.T) {
	for name, coordinates := range map[string]bool{"an owner": false, "the coordinator": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 6)
			for range 300 {
				w.step()
			}
			for _, m := range w.members {
				if (m.overseer != nil) == coordinates {
					m.pausedTo, m.cutTo, m.storeCutTo = w.now+time.Hour, w.now+time.Hour, w.now+time.Hour
					break
				}
			}
			for range 200 {
				w.step()
			}
			w.served, w.checks = 0, 0
			w.step()
			require.Equal(t, w.checks, w.served)
		})
	}
}

// The store is away for all for 8 s: no key loses its owner.
func TestTheStoresOutageCostsNoOwner(t *testing.T) {
	w := newWorld(t, 9, 9)
	for range 300 {
		w.step()
	}
	w.downTo = w.now + 8*time.Second
	for range 450 {
		w.served, w.checks = 0, 0
		w.step()
		require.Equal(t, w.checks, w.served, "at %s", w.now)
	}
}

// The store turns the coordinator and some others away, and serves the rest (the
// recorded day of pnr). Another node takes the role; those without the store must
// hear of it from the new coordinator, or they lose their leases with the old one.
func TestNodesWithoutTheStoreFollowTheNextCoordinator(t *testing.T) {
	w := newWorld(t, 3, 9)
	for range 300 {
		w.step()
	}
	cut := 0
	for _, m := range w.members {
		if m.overseer != nil || cut < 3 {
			m.storeCutTo = w.now + 9*time.Second
			cut++
		}
	}
	for range 400 {
		w.served, w.checks = 0, 0
		w.step()
		require.Equal(t, w.checks, w.served, "at %s", w.now)
	}
	followed := 0
	for _, m := range w.members {
		if m.table.Epoch == w.table.Epoch {
			followed++
		}
	}
	require.Equal(t, len(w.members), followed)
	require.Greater(t, w.table.Epoch, uint64(1), "the role has changed hands")
}
