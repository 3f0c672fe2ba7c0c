// Package sizer measures what control costs at several sizes, and fits the
// slopes from which docs/CAPACITY.md works out the cost at full size.
package sizer

import (
	"sort"
	"strconv"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/negotiator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Overheads of a message on the wire besides its frame: IP, TCP with
// timestamps, yamux and TLS record. An acknowledgement of its own is counted for
// each exchange, because a reply carries only that of the question.
const (
	packetBytes = 20 + 32 + 12 + 22
	ackBytes    = 20 + 32
)

const (
	simStep       = 5 * time.Millisecond
	simTick       = 25 * time.Millisecond
	oneWayDelay   = 5 * time.Millisecond
	formationTime = 15 * time.Second
)

// cellNode is a node of a simulated cell and what it has sent and received.
type cellNode struct {
	negotiator *negotiator.Negotiator
	id         assigner.NodeID
	messages   int
	bytes      int
	cpuTime    time.Duration
}

// delivery is a message or a result of a write on its way.
type delivery struct {
	due     time.Duration
	from    *cellNode
	to      *cellNode
	message proto.Message
	table   *assigner.Table
}

// Cell is the nodes of one cell in simulated time, without loss. Processor time
// is real.
type Cell struct {
	now         time.Duration
	nodes       []*cellNode
	inFlight    []delivery
	writes      int
	reportLoads bool
}

// constantLoad is a workload that reports load for each slice of its node.
type constantLoad struct {
	cell *Cell
	node *cellNode
}

// Loads returns a constant load for each slice that the node owns.
func (b constantLoad) Loads(time.Duration) []*wirepb.SliceLoad {
	if !b.cell.reportLoads {
		return nil
	}
	t := b.node.negotiator.Holder().Table()
	if t == nil {
		return nil
	}
	var out []*wirepb.SliceLoad
	for _, p := range t.Pools() {
		for i := range p.Len() {
			if s := p.At(i); s.Owner() == b.node.id {
				out = append(out, &wirepb.SliceLoad{Pool: p.Name(), Start: s.Start(), RateMilli: 1_000_000})
			}
		}
	}
	return out
}

// HotKeys returns none.
func (constantLoad) HotKeys(time.Duration) []*wirepb.SliceLoad { return nil }

// Close says that nothing runs.
func (constantLoad) Close(string, uint64, uint64, assigner.Token) bool { return true }

// NewCell returns a cell of a number of nodes that has formed.
func NewCell(count int) *Cell {
	c := &Cell{reportLoads: true}
	for i := range count {
		n := &cellNode{id: assigner.NodeID("permits-" + strconv.Itoa(i))}
		self := holder.NewIdentity("luzon-1", n.id, "10.0.0."+strconv.Itoa(i)+":7001", "10.0.0."+strconv.Itoa(i)+":7002", "z"+strconv.Itoa(i%3), uint64(i+1))
		n.negotiator = negotiator.NewNegotiator(self, nil, constantLoad{cell: c, node: n}, 0)
		c.nodes = append(c.nodes, n)
		n.negotiator.SetServer(assigner.NewServer("permits", 20, 20, true, true), 0)
		if i == 0 {
			n.negotiator.Founded(assigner.NewTable("luzon-1", 1, self.Member()), 0)
			continue
		}
		n.negotiator.Inform(c.nodes[0].negotiator.Holder().Table())
	}
	c.Advance(formationTime + time.Duration(count)*simTick*40)
	return c
}

// Advance moves time on.
func (c *Cell) Advance(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.now += simStep
		c.deliver()
		if c.now%simTick == 0 {
			for _, n := range c.nodes {
				c.runTimed(n, nil, func() { n.negotiator.Tick(timer.Instant(c.now), time.Unix(int64(c.now/time.Second), 0)) })
			}
		}
	}
}

func (c *Cell) deliver() {
	sort.SliceStable(c.inFlight, func(i, j int) bool { return c.inFlight[i].due < c.inFlight[j].due })
	for len(c.inFlight) > 0 && c.inFlight[0].due <= c.now {
		p := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.runTimed(p.to, p.from, func() {
			if p.table != nil {
				p.to.negotiator.Stored(p.table, coordinator.StoreDone, timer.Instant(c.now))
				return
			}
			p.to.negotiator.Receive(p.message, timer.Instant(c.now))
		})
	}
}

// runTimed runs a node's work, counts its processor time and sends what it wants
// sent.
func (c *Cell) runTimed(n, from *cellNode, work func()) {
	begun := processCPUTime()
	work()
	actions := n.negotiator.Take()
	n.cpuTime += processCPUTime() - begun
	for _, a := range actions {
		switch a := a.(type) {
		case negotiator.Reply:
			c.send(n, from, a.Message())
		case negotiator.SendNode:
			c.send(n, c.find(string(a.To())), a.Message())
		case negotiator.SendAddress:
			c.send(n, c.find(a.Address()), a.Message())
		case negotiator.Store:
			c.writes++
			c.inFlight = append(c.inFlight, delivery{due: c.now + oneWayDelay, to: n, table: a.Table()})
		case negotiator.LogEntry, negotiator.TableChanged:
		}
	}
}

// find returns a node by name or address.
func (c *Cell) find(name string) *cellNode {
	for i, n := range c.nodes {
		if string(n.id) == name || "10.0.0."+strconv.Itoa(i)+":7001" == name {
			return n
		}
	}
	return nil
}

func (c *Cell) send(from, to *cellNode, m proto.Message) {
	if to == nil {
		return
	}
	begun := processCPUTime()
	frame, err := messenger.Encode(nil, m)
	from.cpuTime += processCPUTime() - begun
	if err != nil {
		return
	}
	size := len(frame) + packetBytes
	if _, reply := m.(*wirepb.BeatReply); reply {
		size += ackBytes
	}
	for _, n := range []*cellNode{from, to} {
		n.messages++
		n.bytes += size
	}
	c.inFlight = append(c.inFlight, delivery{due: c.now + oneWayDelay, from: from, to: to, message: m})
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Cost is what control cost a node over a time.
type Cost struct {
	Messages float64
	Bytes    float64
	CPUTime  time.Duration
}

// Measure runs the cell for a length and returns the cost a second of the
// coordinator and the mean of the other nodes.
func (c *Cell) Measure(length time.Duration) (coordinatorCost, nodeCost Cost) {
	for _, n := range c.nodes {
		n.messages, n.bytes, n.cpuTime = 0, 0, 0
	}
	c.Advance(length)
	seconds := length.Seconds()
	others := float64(len(c.nodes) - 1)
	for _, n := range c.nodes {
		cost := Cost{Messages: float64(n.messages) / seconds, Bytes: float64(n.bytes) / seconds, CPUTime: time.Duration(float64(n.cpuTime) / seconds)}
		if n.negotiator.Coordinator() != nil {
			coordinatorCost = cost
			continue
		}
		nodeCost.Messages += cost.Messages / others
		nodeCost.Bytes += cost.Bytes / others
		nodeCost.CPUTime += time.Duration(float64(cost.CPUTime) / others)
	}
	return coordinatorCost, nodeCost
}

// FailNode stops a node and returns what the coordinator sends and receives until
// its slices are served by others, how long that took, and the writes.
func (c *Cell) FailNode(limit time.Duration) (bytes int, took time.Duration, writes int) {
	victim := len(c.nodes) - 1
	id := c.nodes[victim].id
	lead := c.coordinatorNode()
	before, wrote, begun := lead.bytes, c.writes, c.now
	c.nodes = c.nodes[:victim]
	for c.now-begun < limit && c.ownsSlices(id) {
		c.Advance(simStep)
	}
	return lead.bytes - before, c.now - begun, c.writes - wrote
}

// coordinatorNode returns the coordinator.
func (c *Cell) coordinatorNode() *cellNode {
	for _, n := range c.nodes {
		if n.negotiator.Coordinator() != nil {
			return n
		}
	}
	return c.nodes[0]
}

func (c *Cell) ownsSlices(id assigner.NodeID) bool {
	for _, n := range c.nodes {
		for _, p := range n.negotiator.Holder().Table().Pools() {
			for i := range p.Len() {
				if p.At(i).Owner() == id {
					return true
				}
			}
		}
	}
	return false
}
