package negotiator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/persister"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/faker"
)

const (
	step      = 5 * time.Millisecond
	tickEvery = 25 * time.Millisecond
	maxDelay  = 20 * time.Millisecond
	lateDelay = 2 * time.Second
	storeTime = 3 * time.Millisecond
	// maxSkew is the maximum deviation of a clock's rate. Two clocks differ by
	// at most twice that, which the clock margin of leases covers.
	maxSkew = 0.009
	// pointCount is the number of checked keys. The first hotCount of them are
	// hot at times, so that their slices are split.
	pointCount = 96
	hotCount   = 8
	hotChance  = 0.3
	hotMilli   = 50_000
)

// hotWork is a workload without running requests in which some keys are hot.
type hotWork struct {
	world *world
	node  *simNode
}

func (hotWork) Loads(time.Duration) []*wirepb.SliceLoad           { return nil }
func (hotWork) Close(string, uint64, uint64, assigner.Token) bool { return true }
func (h hotWork) HotKeys(time.Duration) []*wirepb.SliceLoad {
	var out []*wirepb.SliceLoad
	for _, point := range h.world.points[:hotCount] {
		_, owns := h.world.owned(h.node)[point]
		if owns && h.world.hot && h.world.random.Float64() < hotChance {
			out = append(out, &wirepb.SliceLoad{Pool: "pool", Start: point, RateMilli: hotMilli})
		}
	}
	return out
}

func never(assigner.NodeID, assigner.NodeID) bool { return false }
func wallOf(now time.Duration) time.Time          { return time.Unix(1_000_000, 0).Add(now) }
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// simNode is a simulated node.
type simNode struct {
	id          assigner.NodeID
	zone        string
	negotiator  *Negotiator
	persister   *persister.Persister
	incarnation uint64
	rate        float64
	offset      time.Duration
	pausedFor   time.Duration
	paused      bool
	down        bool
	tableRead   bool
	inbox       []delivery
	nextTick    time.Duration
	lastState   ownershipState
	cacheKey    ownershipState
	cached      map[uint64]assigner.Token
}

// ownershipState is the state that determines which points a node owns.
type ownershipState struct {
	revision    uint64
	incarnation uint64
	valid       bool
}

// delivery is a message in transit, or the result of a write.
type delivery struct {
	due     time.Duration
	from    assigner.NodeID
	to      assigner.NodeID
	message proto.Message
	table   *assigner.Table
	result  coordinator.StoreResult
}

// world simulates nodes, clocks, a lossy network and a platform in simulated
// time.
type world struct {
	now       time.Duration
	random    *rand.Rand
	platform  *faker.Platform
	nodes     []*simNode
	inTransit []delivery
	isCut     func(a, b assigner.NodeID) bool
	loss      float64
	owners    map[uint64]ownership
	points    []uint64
	hot       bool
	violation string
}

type ownership struct {
	token assigner.Token
	owner assigner.NodeID
}

func newWorld(seed uint64, count int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), platform: &faker.Platform{},
		isCut: never, loss: 0.02, owners: make(map[uint64]ownership),
	}
	for range pointCount {
		w.points = append(w.points, w.random.Uint64())
	}
	for i := range count {
		n := &simNode{
			id: assigner.NodeID("n" + strconv.Itoa(i)), zone: "z" + strconv.Itoa(i%3),
			rate: 1 + (w.random.Float64()*2-1)*maxSkew, offset: time.Duration(w.random.Int64N(int64(time.Hour))),
		}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

// start starts a node with a new incarnation and no memory of earlier ones.
func (w *world) start(n *simNode) {
	n.incarnation++
	n.down, n.paused, n.tableRead, n.inbox = false, false, false, nil
	now := n.local(w.now)
	n.negotiator = NewNegotiator(identityOf(n), nil, hotWork{world: w, node: n}, now)
	n.persister = persister.NewPersister(w.platform, "cell", string(n.id)+"-"+strconv.FormatUint(n.incarnation, 10))
	n.negotiator.SetServer(assigner.NewServer("pool", 10, 10, true, true), now)
}

func identityOf(n *simNode) holder.Identity {
	return holder.NewIdentity("cell", n.id, string(n.id), "", n.zone, n.incarnation)
}

// local returns the time on a node's clock.
func (n *simNode) local(now time.Duration) timer.Instant {
	if mutator.Active(mutator.SuspendedClock) {
		now -= n.pausedFor
	}
	return timer.Instant(n.offset + time.Duration(float64(now)*n.rate))
}

func (w *world) run(until time.Duration) {
	for w.now < until && w.violation == "" {
		w.advance()
	}
}

// advance advances time by one step and checks the invariants.
func (w *world) advance() {
	w.now += step
	w.deliverDue()
	for _, n := range w.nodes {
		if n.paused {
			n.pausedFor += step
		}
		if n.down || n.paused {
			continue
		}
		w.runNode(n)
	}
	w.check()
}

// deliverDue moves due deliveries to the inboxes.
func (w *world) deliverDue() {
	sort.SliceStable(w.inTransit, func(i, j int) bool { return w.inTransit[i].due < w.inTransit[j].due })
	i := 0
	for ; i < len(w.inTransit) && w.inTransit[i].due <= w.now; i++ {
		d := w.inTransit[i]
		n := w.node(d.to)
		if n != nil && !n.down && (d.table != nil || !w.isCut(d.from, d.to)) {
			n.inbox = append(n.inbox, d)
		}
	}
	w.inTransit = w.inTransit[i:]
}

func (w *world) node(id assigner.NodeID) *simNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) runNode(n *simNode) {
	if !n.tableRead {
		w.readTable(n)
	}
	for _, d := range n.inbox {
		if d.table != nil {
			n.negotiator.Stored(d.table, d.result, n.local(w.now))
		} else {
			n.negotiator.Receive(d.message, n.local(w.now))
		}
		w.performActions(n, d.from)
	}
	n.inbox = nil
	if w.now >= n.nextTick {
		n.nextTick = w.now + tickEvery
		n.negotiator.Tick(n.local(w.now), wallOf(w.now))
		w.performActions(n, "")
	}
}

// readTable reads the cell's object, or creates it.
func (w *world) readTable(n *simNode) {
	t, err := n.persister.Read(context.Background())
	if err != nil {
		return
	}
	if t != nil {
		n.tableRead = true
		n.negotiator.LoadTable(t)
		return
	}
	first := assigner.NewTable("cell", assigner.Epoch(wallOf(w.now).Unix()), assigner.NewMember(n.id, string(n.id), "", n.zone, n.incarnation))
	if n.persister.Create(context.Background(), first) == coordinator.StoreDone {
		n.tableRead = true
		n.negotiator.CellCreated(first, n.local(w.now))
	}
}

// performActions performs the actions that a node requests.
func (w *world) performActions(n *simNode, from assigner.NodeID) {
	for _, a := range n.negotiator.TakeActions() {
		switch a := a.(type) {
		case Reply:
			w.send(n.id, from, a.Message())
		case SendNode:
			w.send(n.id, a.To(), a.Message())
		case SendAddress:
			w.send(n.id, assigner.NodeID(a.Address()), a.Message())
		case Store:
			result := n.persister.Write(context.Background(), a.Table())
			w.inTransit = append(w.inTransit, delivery{due: w.now + storeTime, to: n.id, table: a.Table(), result: result})
		case LogEntry, TableChanged:
		}
	}
}

// send sends a message, which may be lost, delayed or duplicated.
func (w *world) send(from, to assigner.NodeID, m proto.Message) {
	if w.isCut(from, to) || w.random.Float64() < w.loss {
		return
	}
	d := delivery{due: w.now + w.between(time.Millisecond, maxDelay), from: from, to: to, message: m}
	w.inTransit = append(w.inTransit, d)
	if w.random.Float64() < w.loss {
		d.due = w.now + w.between(time.Millisecond, lateDelay)
		w.inTransit = append(w.inTransit, d)
	}
}

// check asserts for the checked points that no point has two owners and no
// token decreases.
func (w *world) check() {
	if !w.changed() {
		return
	}
	held := make(map[uint64]assigner.NodeID)
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		for point, token := range w.owned(n) {
			if other, ok := held[point]; ok {
				w.violation = fmt.Sprintf("two owners of %x: %s and %s at %s", point, other, n.id, w.now)
				return
			}
			held[point] = n.id
			last := w.owners[point]
			if token < last.token || token == last.token && n.id != last.owner {
				w.violation = fmt.Sprintf("token of %x decreased or was reused at node %s at %s", point, n.id, w.now)
				return
			}
			w.owners[point] = ownership{token: token, owner: n.id}
		}
	}
}

// changed reports whether the points that any node owns may have changed since
// the last call.
func (w *world) changed() bool {
	changed := false
	for _, n := range w.nodes {
		h := n.negotiator.Holder()
		now := ownershipState{revision: h.Revision(), incarnation: n.incarnation, valid: !n.down && n.local(w.now).Before(h.LeaseUntil())}
		changed = changed || now != n.lastState
		n.lastState = now
	}
	return changed
}

// owned returns the points that a node may serve now.
func (w *world) owned(n *simNode) map[uint64]assigner.Token {
	h := n.negotiator.Holder()
	if h.Table() == nil || !n.local(w.now).Before(h.LeaseUntil()) {
		return nil
	}
	key := ownershipState{revision: h.Revision(), incarnation: n.incarnation, valid: true}
	if n.cacheKey == key {
		return n.cached
	}
	out := make(map[uint64]assigner.Token)
	for _, point := range w.points {
		if s, ok := h.Owns("pool", point, n.local(w.now)); ok {
			out[point] = s.Token()
		}
	}
	n.cached, n.cacheKey = out, key
	return out
}

// served returns how many points have an owner.
func (w *world) served() int {
	total := 0
	for _, n := range w.nodes {
		if !n.down && !n.paused {
			total += len(w.owned(n))
		}
	}
	return total
}

// coordinatorNode returns the coordinator of the highest epoch.
func (w *world) coordinatorNode() *simNode {
	var best *simNode
	for _, n := range w.nodes {
		c := n.negotiator.Coordinator()
		if c == nil || n.down || n.paused {
			continue
		}
		if best == nil || c.Epoch() > best.negotiator.Coordinator().Epoch() {
			best = n
		}
	}
	return best
}

// describe returns the state of all nodes for failure messages.
func (w *world) describe() string {
	out := w.now.String()
	for _, n := range w.nodes {
		h := n.negotiator.Holder()
		id, address := h.Coordinator()
		now := n.local(w.now)
		out += fmt.Sprintf("\n%s incarnation %d down %t paused %t: epoch %d of %s at %q, last contact %s ago, lease %s, quiet %t, is coordinator %t, owns %d",
			n.id, n.incarnation, n.down, n.paused, h.Epoch(), id, address, now.Sub(h.LastContact()), h.LeaseUntil().Sub(now),
			h.Quiet(now), n.negotiator.Coordinator() != nil, len(w.owned(n)))
		if t := h.Table(); t != nil {
			out += fmt.Sprintf(", table %d/%d, voters %v", t.Epoch(), t.Version(), t.Voters())
		}
	}
	return out
}
