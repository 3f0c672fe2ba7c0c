package overseer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	worldStep   = 20 * time.Millisecond
	service     = "permits"
	sampleCount = 64
)

// heldRange is a range that a backend server holds.
type heldRange struct {
	first, last uint16
	token       uint64
	until       time.Duration
}

// server simulates one start of a backend server that checks fencing tokens and the id that a grant
// names.
type server struct {
	id      string
	starts  int64
	tokens  [sampleCount]uint64
	holds   []heldRange
	delayed []delayedCall
	// beats is set if the server gets its keys in responses to heartbeats.
	beats *beatServer
}

type delayedCall struct {
	at, arrived time.Duration
	call        granter.Call
}

func sampleKey(i int) uint16 { return uint16(i*partitioner.KeyCount/sampleCount + 7) }

// grant is a grant of a key that a start of a backend server has taken.
type grant struct {
	server *server
	token  uint64
}

func (s *server) apply(w *world, c granter.Call, arrived time.Duration) granter.Result {
	for i := range sampleCount {
		if k := sampleKey(i); c.First <= k && k <= c.Last && s.tokens[i] > c.Token {
			return granter.Refused
		}
	}
	var kept []heldRange
	for _, h := range s.holds { // overlapping parts are cut out, the rest stays
		if h.last < c.First || c.Last < h.first {
			kept = append(kept, h)
			continue
		}
		if h.first < c.First {
			kept = append(kept, heldRange{h.first, c.First - 1, h.token, h.until})
		}
		if c.Last < h.last {
			kept = append(kept, heldRange{c.Last + 1, h.last, h.token, h.until})
		}
	}
	s.holds = kept
	if c.Release {
		return granter.Done
	}
	for i := range sampleCount {
		if k := sampleKey(i); c.First <= k && k <= c.Last {
			w.checkToken(s, i, s.tokens[i], c.Token)
			s.tokens[i] = c.Token
		}
	}
	s.holds = append(s.holds, heldRange{c.First, c.Last, c.Token, arrived + c.Hold + c.Hold/50}) // the server's clock runs 2 % slow
	return granter.Done
}

func (s *server) token(key uint16, now time.Duration) (uint64, bool) {
	if s.beats != nil {
		return s.beats.token(key, now)
	}
	for _, h := range s.holds {
		if h.first <= key && key <= h.last && now < h.until {
			return h.token, true
		}
	}
	return 0, false
}

// member is a simulated node.
type member struct {
	self        partitioner.Member
	incarnation uint64
	rate        float64
	table       *partitioner.Table
	granter     *granter.Granter
	overseer    *overseer.Overseer
	// era and revision are of the stored table that the node's writes replace.
	era, revision     uint64
	lastContact, echo timer.Instant
	echoEpoch         uint64
	joinedEpoch       uint64
	nextHeartbeat     time.Duration
	pausedUntil       time.Duration
	partitionedUntil  time.Duration // from all other nodes
	noStoreUntil      time.Duration
	server            *server
	registerAt        time.Duration // when the node hears of its backend server's next start
	lastWrite         timer.Instant
	startedAt         timer.Instant
	nextPlan          time.Duration
	accountant        *accountant.Accountant
}

type world struct {
	t           *testing.T
	r           *rand.Rand
	now         time.Duration
	members     []*member
	table       *partitioner.Table
	revision    uint64
	outageUntil time.Duration
	lossUntil   time.Duration
	// copies are earlier states of the store, oldest first; restoreAt is when the next
	// restore from one of them is due, or zero.
	copies    []storeCopy
	restoreAt time.Duration
	// era rises with each restore.
	era uint64
	// losesTables is set if restores bring back a state from before the first table.
	losesTables bool
	// isOverwritten is set while another writer has made the stored table unusable.
	isOverwritten bool
	method        descriptor.GrantMethod
	pending       func() // a delayed write whose reply was lost
	pendingAt     time.Duration
	servedKeys    int
	checkedKeys   int
	// hasHotKeys is set while a run of hot keys makes keys move.
	hasHotKeys bool
	// alwaysLoses is set while grants and heartbeats are lost or late all the time.
	alwaysLoses bool
	// registersLate is set if grants may reach a backend server before its first heartbeat
	// has reached the node.
	registersLate bool
	// reachesNextStart is set if grants for one start of a backend server may reach its next one.
	reachesNextStart bool
	// monitorNotices is set if the start monitor holds these grants back shortly before the next start
	// is heard.
	monitorNotices bool
	// newest are the grants with the highest token of each sample key.
	newest [sampleCount]grant
	// violation describes the first broken rule.
	violation string
	// twoOwners describes the first time when a key had two owners.
	twoOwners string
	// quotas has what accountants granted; nil if customers have no quotas.
	quotas *quotaLog
}

// storeCopy is a state of the store that a restore may bring back.
type storeCopy struct {
	at       time.Duration
	table    *partitioner.Table
	revision uint64
}

const (
	copyInterval = 200 * time.Millisecond
	maxCopyAge   = 9 * time.Second
)

// keepCopy copies the store from time to time.
func (w *world) keepCopy() {
	if w.table == nil {
		return
	}
	if n := len(w.copies); n == 0 || w.now-w.copies[n-1].at >= copyInterval {
		w.copies = append(w.copies, storeCopy{w.now, w.table, w.revision})
	}
	for w.now-w.copies[0].at > maxCopyAge {
		w.copies = w.copies[1:]
	}
}

// restore brings back an earlier state of the store. Revisions are given out again.
func (w *world) restore() {
	if w.losesTables {
		w.t.Logf("store restored at %s from a copy without a table", w.now)
		w.table, w.revision, w.copies = nil, 0, w.copies[:0]
		w.era++
		return
	}
	c := w.copies[w.r.IntN(len(w.copies))]
	w.t.Logf("store restored at %s from a copy of %s", w.now, c.at)
	w.table, w.revision, w.copies = c.table, c.revision, w.copies[:0]
	w.era++
}

func newWorld(t *testing.T, seed uint64, n int, method descriptor.GrantMethod) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 77)), now: time.Hour, method: method, era: 1}
	for i := range n {
		id := partitioner.NodeID(fmt.Sprintf("node-%d", i))
		m := &member{server: w.newServer(id, 0), rate: 1 + (w.r.Float64()-0.5)*0.018}
		m.self = partitioner.Member{ID: id, Zone: fmt.Sprintf("zone-%d", i%3)}
		w.members = append(w.members, m)
		w.restart(m)
	}
	return w
}

func (w *world) clock(m *member) timer.Instant { return timer.Instant(float64(w.now) * m.rate) }

// restart restarts a node without its state; its backend server keeps running.
func (w *world) restart(m *member) {
	m.incarnation = uint64(w.now) + w.r.Uint64()%uint64(worldStep) // a time of day
	m.overseer, m.table, m.joinedEpoch, m.echo, m.echoEpoch = nil, nil, 0, 0, 0
	m.granter = granter.NewGranter(m.self.ID, 10*time.Second, w.clock(m))
	m.granter.SetMethod(w.method)
	m.accountant = newTestAccountant(m.self.ID, w.clock(m))
	m.startedAt = w.clock(m)
	m.lastContact = m.startedAt.Add(-time.Second)
	w.registerServer(m)
}

// registerServer sets the node's backend server.
func (w *world) registerServer(m *member) {
	m.self.Server = partitioner.Server{ID: m.server.id, StartedAtMillis: m.server.starts, Service: service, Slots: 10, Divided: true}
	m.granter.SetServer(m.self.Server)
}

func (w *world) storeUp(m *member) bool { return w.now >= w.outageUntil && w.now >= m.noStoreUntil }

func (w *world) reachable(a, b *member) bool {
	return a == b || (w.now >= a.partitionedUntil && w.now >= b.partitionedUntil && w.now >= b.pausedUntil)
}

// write replaces the table of an era if the revision matches. The reply may be lost, and the
// write may be delayed.
func (w *world) write(m *member, t *partitioner.Table, era, revision uint64) (ok, known bool) {
	return w.tryWrite(m, t, func() bool { return w.table != nil && w.table.Era == era && w.revision == revision })
}

// create stores the first table of an era.
func (w *world) create(m *member, t *partitioner.Table) (ok, known bool) {
	return w.tryWrite(m, t, func() bool { return w.era == t.Era && (w.table == nil || w.table.Era < t.Era) })
}

func (w *world) tryWrite(m *member, t *partitioner.Table, allowed func() bool) (ok, known bool) {
	if !w.storeUp(m) {
		return false, true
	}
	apply := func() bool {
		if !allowed() {
			return false
		}
		if t != nil {
			w.table, w.isOverwritten = t, false
		}
		w.revision++
		return true
	}
	if w.now < w.lossUntil && w.r.IntN(3) == 0 {
		if w.r.IntN(2) == 0 {
			apply()
		} else if w.pending == nil {
			w.pending, w.pendingAt = func() { apply() }, w.now+time.Duration(w.r.IntN(4000))*time.Millisecond
		}
		return false, false
	}
	return apply(), true
}

// losesCalls reports whether calls to backend servers and their heartbeats may be lost or late.
func (w *world) losesCalls() bool { return w.alwaysLoses || w.now < w.lossUntil }

func (w *world) step() {
	w.now += worldStep
	if w.restoreAt > 0 && w.now >= w.restoreAt {
		w.restoreAt = 0
		w.restore()
	}
	w.keepCopy()
	if w.pending != nil && w.now >= w.pendingAt {
		w.pending()
		w.pending = nil
	}
	for _, m := range w.members {
		var later []delayedCall
		for _, l := range m.server.delayed {
			if w.now < l.at {
				later = append(later, l)
				continue
			}
			m.server.apply(w, l.call, l.arrived)
		}
		m.server.delayed = later
		if m.server.beats != nil {
			w.runBeats(m)
		}
		if w.now >= m.pausedUntil {
			w.run(m)
		}
	}
	w.check()
}

func (w *world) run(m *member) {
	if m.registerAt > 0 && w.now >= m.registerAt {
		m.registerAt = 0
		w.registerServer(m)
	}
	if w.now >= m.nextHeartbeat {
		m.nextHeartbeat = w.now + 240*time.Millisecond
		w.sendHeartbeat(m)
	}
	if m.overseer != nil && w.now >= m.nextPlan {
		m.nextPlan = w.now + 100*time.Millisecond
		w.coordinate(m)
	}
	now := w.clock(m)
	for _, c := range m.granter.DueCalls(now) {
		if r := w.resultAtNextStart(m, c); r != granter.Done {
			m.granter.HandleResult(c, r, "", now)
			continue
		}
		if w.losesCalls() && w.r.IntN(3) == 0 {
			m.server.delayed = append(m.server.delayed, delayedCall{at: w.now + time.Duration(w.r.IntN(9000))*time.Millisecond, arrived: w.now, call: c})
			m.granter.HandleResult(c, granter.Unknown, "", now)
			continue
		}
		m.granter.HandleResult(c, m.server.apply(w, c, w.now), "handover", now)
	}
}

// resultAtNextStart returns the result of a call to a start of a backend server that it is not meant for,
// or granter.Done if it is carried out.
func (w *world) resultAtNextStart(m *member, c granter.Call) granter.Result {
	switch {
	case c.Release || c.ServerStartedAtMillis == m.server.starts:
		return granter.Done
	case c.Server != m.server.id:
		return granter.Unreachable
	case !w.reachesNextStart || (w.monitorNotices && m.registerAt-w.now < 160*time.Millisecond):
		return granter.Unconfirmed
	default:
		return granter.Done
	}
}

// named returns the member as its heartbeats name it.
func (m *member) named(now timer.Instant) partitioner.Member {
	self := m.self
	if former, ok := m.granter.FormerStart(now); ok {
		self.Server.ID, self.Server.StartedAtMillis, self.Server.Down = former.ID, former.StartedAtMillis, true
	}
	return self
}

func (w *world) sendHeartbeat(m *member) {
	now := w.clock(m)
	if m.table != nil {
		b := overseer.Heartbeat{Member: m.named(now), Incarnation: m.incarnation, Uptime: now.Sub(m.startedAt), Epoch: m.table.Epoch, Version: m.table.Version, Released: m.granter.Released(now)}
		if m.echoEpoch == m.table.Epoch {
			b.Echo = m.echo
		}
		if w.hasHotKeys {
			b.Work = w.work(m)
		}
		for _, c := range w.members {
			if c.self.ID == m.table.Coordinator && c.overseer != nil && w.reachable(m, c) && w.r.IntN(20) > 0 {
				w.handleReply(m, c.overseer.HandleHeartbeat(b, w.clock(c)), now)
			}
		}
	}
	if m.overseer == nil && now.Sub(m.lastContact) > overseer.CoordinatorTimeout && w.storeUp(m) {
		w.findCoordinator(m, false)
	}
}

// work returns the work of a node's keys since its last heartbeat. A run of hot keys with
// the work of two backend servers jumps every 3 s, so that keys move.
func (w *world) work(m *member) []overseer.KeyWork {
	hot := int(w.now/(3*time.Second)) * 29 % sampleCount
	var out []overseer.KeyWork
	for i := range sampleCount {
		load := 0.01
		if (i-hot+sampleCount)%sampleCount < 8 {
			load = 0.6 // slot-seconds in 240 ms
		}
		if _, _, ok := m.granter.Holds(service, sampleKey(i), w.clock(m)); ok {
			out = append(out, overseer.KeyWork{Key: sampleKey(i), Work: float32(load)})
		}
	}
	return out
}

func (w *world) handleReply(m *member, r overseer.HeartbeatReply, sent timer.Instant) {
	if r.Epoch < m.joinedEpoch || (r.IsBlank && !m.table.IsBlank()) {
		return
	}
	m.joinedEpoch, m.lastContact, m.echo, m.echoEpoch = r.Epoch, w.clock(m), r.Stamp, r.Epoch
	if r.Table != nil {
		w.applyTable(m, r.Table)
	}
	if r.Delta != nil {
		if next := m.table.Apply(r.Delta); next != nil {
			w.applyTable(m, next)
		}
	}
	if m.table.Epoch == r.Epoch && m.table.Version >= r.Version() {
		m.granter.SetLease(sent.Add(r.Lease))
	}
	if r.TakeOver && m.overseer == nil && w.storeUp(m) {
		w.findCoordinator(m, true)
	}
	if r.StoreDown && m.overseer == nil && w.storeUp(m) && w.r.IntN(4) == 0 {
		w.findCoordinator(m, true)
	}
}

func (w *world) applyTable(m *member, t *partitioner.Table) {
	if t.Newer(m.table) {
		m.table = t
		m.granter.SetTable(t, w.clock(m))
		m.accountant.SetTable(t, w.clock(m))
	}
}

func (w *world) findCoordinator(m *member, storeDown bool) {
	now := w.clock(m)
	if w.table == nil && m.table == nil {
		w.table, w.revision = overseer.FirstTable(m.self, m.incarnation, w.era, 0, w.era == 1), w.revision+1
	}
	stored, revision := w.table, w.revision
	if w.isOverwritten {
		if m.table == nil {
			return
		}
		stored = m.table
	}
	isBlank := w.supersedesBlank(m)
	if isBlank || stored == nil || (stored.Era < w.era && m.table != nil && m.table.Newer(stored)) {
		stored = m.table
	}
	view := overseer.ElectionView{
		Self: m.self.ID, Incarnation: m.incarnation, Stored: stored, Known: m.table, CannotWrite: storeDown, Silent: now.Sub(m.lastContact), StoredIsBlank: isBlank,
	}
	w.applyTable(m, stored)
	step := view.NextStep()
	if step == overseer.StepProbe {
		view.Probed = true
		for _, o := range w.members {
			if _, ok := stored.Member(o.self.ID); !ok || o == m || o.self.ID == stored.Coordinator {
				continue
			}
			view.Others++
			if w.reachable(m, o) && w.reachable(o, m) {
				view.Answered++
				if w.clock(o).Sub(o.lastContact) < overseer.CoordinatorTimeout && o.joinedEpoch >= stored.Epoch {
					view.InContact++
				}
			}
		}
		step = view.NextStep()
	}
	switch step {
	case overseer.StepAdopt, overseer.StepClaim:
		if stored.Era < w.era || w.isOverwritten || isBlank {
			w.recover(m)
			return
		}
		if step == overseer.StepAdopt {
			w.startTerm(m, stored, revision, now)
			return
		}
		next := overseer.ClaimTable(stored, m.self, m.incarnation)
		if ok, _ := w.write(m, next, stored.Era, revision); ok {
			w.applyTable(m, next)
			w.startTerm(m, next, w.revision, now)
		}
	case overseer.StepFollow, overseer.StepProbe:
	}
}

// supersedesBlank reports whether the stored table knows no owners while a member does.
func (w *world) supersedesBlank(m *member) bool {
	return w.table != nil && w.table.IsBlank() && m.table != nil && !m.table.IsBlank()
}

// recover takes the role with the newest table that reachable members know.
func (w *world) recover(m *member) {
	now := w.clock(m)
	stored, known, revision := w.table, m.table, w.revision
	if m.overseer != nil && m.overseer.Table().Newer(known) {
		known = m.overseer.Table()
	}
	isBlank := w.supersedesBlank(m)
	if w.isOverwritten || isBlank || stored == nil {
		stored = known
	}
	recovery := overseer.NewRecovery(m.self.ID, m.granter.LeaseLeft(now) > 0, stored, known)
	if isBlank {
		recovery.Replace(w.table)
	}
	for range 2 {
		for _, missing := range recovery.Missing() {
			for _, o := range w.members {
				if o.self.ID == missing.ID && w.reachable(m, o) && w.reachable(o, m) {
					recovery.Add(o.self.ID, overseer.ProbeReply{Epoch: o.joinedEpoch, Table: o.table, HasLease: o.granter.LeaseLeft(w.clock(o)) > 0})
				}
			}
		}
	}
	if w.isOverwritten || (isBlank && w.table.Era >= w.era) {
		minEras := w.era + revision
		if isBlank && recovery.Newest().Era < w.era {
			minEras = 0
		}
		next := recovery.Table(m.self, m.incarnation, w.era, minEras)
		isLost := func() bool { return (w.isOverwritten || w.supersedesBlank(m)) && w.revision == revision }
		if ok, _ := w.tryWrite(m, next, isLost); ok {
			w.applyTable(m, next)
			w.startTerm(m, next, w.revision, now)
		}
		return
	}
	next := recovery.Table(m.self, m.incarnation, w.era, 0)
	if ok, _ := w.create(m, next); ok {
		w.applyTable(m, next)
		w.startTerm(m, next, w.revision, now)
	}
}

func (w *world) startTerm(m *member, t *partitioner.Table, revision uint64, sent timer.Instant) {
	m.overseer, m.revision = overseer.NewOverseer(m.self.ID, t, time.Second, sent, w.clock(m)), revision
	m.era = t.Era
	m.joinedEpoch, m.lastContact, m.lastWrite = t.Epoch, w.clock(m), sent
}

func (w *world) coordinate(m *member) {
	now := w.clock(m)
	for _, missing := range m.overseer.SilentMembers(now) {
		for _, o := range w.members {
			if o.self.ID != missing.ID || !w.reachable(m, o) || !w.reachable(o, m) {
				continue
			}
			w.applyTable(o, m.overseer.Table())
			if o.overseer != nil && o.overseer.Table().Epoch < m.overseer.Table().Epoch {
				o.overseer = nil
			}
		}
	}
	m.overseer.SetQuotas(w.quotas != nil)
	next := m.overseer.Plan(now)
	if next == nil && now.Sub(m.lastWrite) < overseer.RenewalInterval && !m.overseer.RenewalDue(now) {
		return
	}
	m.lastWrite = now
	if next != nil {
		m.overseer.WriteStarted(next)
	}
	ok, known := w.write(m, next, m.era, m.revision)
	switch {
	case ok:
		m.revision = w.revision
		m.overseer.WriteConfirmed(next, now)
	case known && !w.storeUp(m):
		m.overseer.WriteFailed(next)
	case w.storeUp(m) && (w.table == nil || w.table.Era < w.era || w.isOverwritten || w.supersedesBlank(m)):
		w.recover(m)
	case w.storeUp(m):
		if w.table.Coordinator == m.self.ID && w.table.Incarnation == m.incarnation {
			if w.table.Epoch > m.overseer.Table().Epoch { // recovered, but the reply was lost
				w.startTerm(m, w.table, w.revision, now)
				return
			}
			m.revision = w.revision
			m.overseer.TableRead(w.table, now)
		} else {
			m.overseer = nil
		}
	}
}

// checkToken checks the token with which a start of a backend server takes a sample key that it
// last took with the former token. Repeated grants need no higher token than other starts had.
func (w *world) checkToken(s *server, i int, former, token uint64) {
	last := w.newest[i]
	switch {
	case token > last.token:
		w.newest[i] = grant{s, token}
	case token != former && last.server != s && w.violation == "":
		w.violation = fmt.Sprintf("start %d (%s) took key %d with token %d at %s, after start %d (%s) had token %d",
			s.starts, s.id, sampleKey(i), token, w.now, last.server.starts, last.server.id, last.token)
	}
}

// check counts the owners of each sample key over all backend servers.
func (w *world) check() {
	if w.quotas != nil {
		w.chargeAll()
	}
	for i := range sampleCount {
		key, owners, known := sampleKey(i), 0, 0
		for _, m := range w.members {
			if _, ok := m.server.token(key, w.now); ok {
				owners++
				if _, _, ok := m.granter.Holds(service, key, w.clock(m)); ok {
					known++
				}
			}
		}
		if owners > 1 && w.twoOwners == "" { // calling require for each key and step would take most of the test's time
			w.twoOwners = fmt.Sprintf("two owners of key %d at %s", key, w.now)
			w.violation = cmp.Or(w.violation, w.twoOwners)
		}
		w.checkedKeys++
		w.servedKeys += min(owners, known)
	}
}

// injectFault injects one random fault.
func (w *world) injectFault() {
	m := w.members[w.r.IntN(len(w.members))]
	d := time.Duration(500+w.r.IntN(5000)) * time.Millisecond
	kind := w.r.IntN(8)
	w.t.Logf("%s: fault %d at %s for %s", m.self.ID, kind, w.now, d)
	switch kind {
	case 0:
		m.pausedUntil = w.now + d
	case 1:
		w.restart(m)
	case 2:
		m.partitionedUntil = w.now + d
	case 3:
		m.noStoreUntil = w.now + d
	case 4:
		m.partitionedUntil, m.noStoreUntil = w.now+d, w.now+d
	case 5:
		w.outageUntil = w.now + d
	case 6:
		w.lossUntil = w.now + d
	default: // the backend server restarts without its state
		m.server = w.newServer(m.self.ID, m.server.starts+1)
		m.registerAt = w.now
		if w.registersLate {
			m.registerAt += time.Duration(20+w.r.IntN(480)) * time.Millisecond
		}
	}
}

// runFaults runs a random schedule of freezes, restarts, partitions, store outages, lost
// and delayed writes, lost and delayed grants or heartbeats, and clocks of different rates.
func (w *world) runFaults() {
	for range 200 {
		w.step()
	}
	for range 25 {
		w.injectFault()
		for range 20 + w.r.IntN(150) {
			w.step()
		}
	}
	w.hasHotKeys = false
	for range 800 { // 16 s: longer than the longest fault and the longest delay of a grant
		w.step()
	}
	w.servedKeys, w.checkedKeys = 0, 0
	w.step()
}

// methods are the ways of granting keys.
var methods = []descriptor.GrantMethod{descriptor.GrantByCall, descriptor.GrantByHeartbeat}

// No key may have two owners at any step of a random schedule, and all keys must be served
// again after the faults. In the last schedules keys move all the time.
func TestNoKeyHasTwoOwners(t *testing.T) {
	const seeds, firstHot = 44, 40
	for _, method := range methods {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s, seed %d", method, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, seed, 3+int(seed%5), method)
				w.hasHotKeys = seed >= firstHot
				w.runFaults()
				require.Empty(t, w.violation)
				require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
			})
		}
	}
}

// The role goes to the largest machine, without a gap in the service of any key, and stays
// there. When that machine is lost, the role comes to a smaller one and moves on to the
// largest that is left.
func TestRoleMovesToTheLargestMachine(t *testing.T) {
	for _, method := range methods {
		t.Run(string(method), func(t *testing.T) {
			w := newWorld(t, 4, 8, method)
			for _, m := range w.members {
				m.self.Cores = 0.16
			}
			w.members[5].self.Cores, w.members[6].self.Cores, w.members[7].self.Cores = 0.8, 0.8, 0.2
			run := func(steps int, check bool) {
				for range steps {
					w.servedKeys, w.checkedKeys = 0, 0
					w.step()
					if check {
						require.Equal(t, w.checkedKeys, w.servedKeys, "at %s", w.now)
					}
				}
				require.Empty(t, w.violation)
			}
			run(145, false) // 2.9 s: all keys are held
			epoch := w.table.Epoch
			run(300, true)
			require.Equal(t, partitioner.NodeID("node-5"), w.table.Coordinator)
			require.Equal(t, epoch+1, w.table.Epoch, "it moves once")
			lost := w.members[5]
			lost.pausedUntil, lost.partitionedUntil, lost.noStoreUntil = w.now+time.Hour, w.now+time.Hour, w.now+time.Hour
			run(500, false)
			require.Equal(t, partitioner.NodeID("node-6"), w.table.Coordinator)
		})
	}
}

// A node and its backend server are lost permanently. Their keys must be served again
// within 4 s, also when the node is the coordinator.
func TestLostOwnersKeysAreServedWithinFourSeconds(t *testing.T) {
	for name, coordinates := range map[string]bool{"an owner": false, "the coordinator": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 6, descriptor.GrantByCall)
			defer func() { require.Empty(t, w.violation) }()
			for range 300 {
				w.step()
			}
			for _, m := range w.members {
				if (m.overseer != nil) == coordinates {
					m.pausedUntil, m.partitionedUntil, m.noStoreUntil = w.now+time.Hour, w.now+time.Hour, w.now+time.Hour
					break
				}
			}
			for range 200 {
				w.step()
			}
			w.servedKeys, w.checkedKeys = 0, 0
			w.step()
			require.Equal(t, w.checkedKeys, w.servedKeys)
		})
	}
}

// During an 8 s outage of the store for all nodes, no key may lose its owner.
func TestStoreOutageKeepsAllOwners(t *testing.T) {
	w := newWorld(t, 9, 9, descriptor.GrantByCall)
	defer func() { require.Empty(t, w.violation) }()
	for range 300 {
		w.step()
	}
	w.outageUntil = w.now + 8*time.Second
	for range 450 {
		w.servedKeys, w.checkedKeys = 0, 0
		w.step()
		require.Equal(t, w.checkedKeys, w.servedKeys, "at %s", w.now)
	}
}

// The store rejects the coordinator and some other nodes but serves the rest (the
// recorded day of the pnr site). Another node takes the role. Nodes without the store
// must learn of it from the new coordinator, or their leases expire together with the
// old one's authority.
func TestNodesWithoutStoreFollowNextCoordinator(t *testing.T) {
	w := newWorld(t, 3, 9, descriptor.GrantByCall)
	defer func() { require.Empty(t, w.violation) }()
	for range 300 {
		w.step()
	}
	cut := 0
	for _, m := range w.members {
		if m.overseer != nil || cut < 3 {
			m.noStoreUntil = w.now + 9*time.Second
			cut++
		}
	}
	for range 400 {
		w.servedKeys, w.checkedKeys = 0, 0
		w.step()
		require.Equal(t, w.checkedKeys, w.servedKeys, "at %s", w.now)
	}
	followed := 0
	for _, m := range w.members {
		if m.table.Epoch == w.table.Epoch {
			followed++
		}
	}
	require.Equal(t, len(w.members), followed)
	require.Greater(t, w.table.Epoch, uint64(1), "another node has taken the coordinator's role")
}

// runRestores restores the store from older copies while keys move, with other faults beside
// each restore if withFaults is set.
func (w *world) runRestores(withFaults bool) {
	w.hasHotKeys = true
	for range 200 {
		w.step()
	}
	for range 6 {
		w.outageUntil = w.now + time.Duration(w.r.IntN(3000))*time.Millisecond
		w.restoreAt = w.outageUntil
		for range 2 + w.r.IntN(60) {
			w.step()
		}
		if withFaults {
			w.injectFault()
		}
		for range 100 + w.r.IntN(200) {
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

// The store comes back from an older copy while keys move and nodes fail (incident 0014): a
// node took the role with the older table, and keys had two owners.
func TestRestoredStoreKeepsOneOwner(t *testing.T) {
	const seeds = 24
	for _, method := range methods {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", method, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 1000+seed, 6, method)
				w.runRestores(seed%2 == 1)
				require.Empty(t, w.violation)
				require.Equal(t, w.checkedKeys, w.servedKeys, "all keys are served again")
			})
		}
	}
}
