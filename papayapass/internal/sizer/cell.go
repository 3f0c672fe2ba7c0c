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
	simStep  = 5 * time.Millisecond
	simTick  = 25 * time.Millisecond
	oneWay   = 5 * time.Millisecond
	formTime = 15 * time.Second
)

// cellNode is a node of a simulated cell and what it has sent and received.
type cellNode struct {
	negotiator *negotiator.Negotiator
	id         assigner.NodeID
	messages   int
	bytes      int
	busy       time.Duration
}

// parcel is a message or a result of a write on its way.
type parcel struct {
	due     time.Duration
	from    *cellNode
	to      *cellNode
	message proto.Message
	table   *assigner.Table
}

// Cell is the nodes of one cell in simulated time, without loss. Processor time
// is real.
type Cell struct {
	now    time.Duration
	nodes  []*cellNode
	flight []parcel
	writes int
	loads  bool
}

// busySlices is a workload that reports load for each slice of its node.
type busySlices struct {
	cell *Cell
	node *cellNode
}

// Loads returns a constant load for each slice that the node owns.
func (b busySlices) Loads(time.Duration) []*wirepb.SliceLoad {
	if !b.cell.loads {
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
func (busySlices) HotKeys(time.Duration) []*wirepb.SliceLoad { return nil }

// Close says that nothing runs.
func (busySlices) Close(string, uint64, uint64, assigner.Token) bool { return true }

// NewCell returns a cell of a number of nodes that has formed.
func NewCell(count int) *Cell {
	c := &Cell{loads: true}
	for i := range count {
		n := &cellNode{id: assigner.NodeID("permits-" + strconv.Itoa(i))}
		self := holder.NewIdentity("luzon-1", n.id, "10.0.0."+strconv.Itoa(i)+":7001", "10.0.0."+strconv.Itoa(i)+":7002", "z"+strconv.Itoa(i%3), uint64(i+1))
		n.negotiator = negotiator.NewNegotiator(self, nil, busySlices{cell: c, node: n}, 0)
		c.nodes = append(c.nodes, n)
		n.negotiator.SetServer(assigner.NewServer("permits", 20, 20, true, true), 0)
		if i == 0 {
			n.negotiator.Founded(assigner.NewTable("luzon-1", 1, self.Member()), 0)
			continue
		}
		n.negotiator.Inform(c.nodes[0].negotiator.Holder().Table())
	}
	c.Run(formTime + time.Duration(count)*simTick*40)
	return c
}

// Run moves time on.
func (c *Cell) Run(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.now += simStep
		c.deliver()
		if c.now%simTick == 0 {
			for _, n := range c.nodes {
				c.timed(n, nil, func() { n.negotiator.Tick(timer.Instant(c.now), time.Unix(int64(c.now/time.Second), 0)) })
			}
		}
	}
}

func (c *Cell) deliver() {
	sort.SliceStable(c.flight, func(i, j int) bool { return c.flight[i].due < c.flight[j].due })
	for len(c.flight) > 0 && c.flight[0].due <= c.now {
		p := c.flight[0]
		c.flight = c.flight[1:]
		c.timed(p.to, p.from, func() {
			if p.table != nil {
				p.to.negotiator.Stored(p.table, coordinator.StoreDone, timer.Instant(c.now))
				return
			}
			p.to.negotiator.Receive(p.message, timer.Instant(c.now))
		})
	}
}

// timed runs a node's work, counts its processor time and sends what it wants
// sent.
func (c *Cell) timed(n, from *cellNode, work func()) {
	begun := processorTime()
	work()
	actions := n.negotiator.Take()
	n.busy += processorTime() - begun
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
			c.flight = append(c.flight, parcel{due: c.now + oneWay, to: n, table: a.Table()})
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
	begun := processorTime()
	frame, err := messenger.Encode(nil, m)
	from.busy += processorTime() - begun
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
	c.flight = append(c.flight, parcel{due: c.now + oneWay, from: from, to: to, message: m})
}

func processorTime() time.Duration {
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
	Busy     time.Duration
}

// Measure runs the cell for a length and returns the cost a second of the
// coordinator and the mean of the other nodes.
func (c *Cell) Measure(length time.Duration) (coordinatorCost, nodeCost Cost) {
	for _, n := range c.nodes {
		n.messages, n.bytes, n.busy = 0, 0, 0
	}
	c.Run(length)
	seconds := length.Seconds()
	others := float64(len(c.nodes) - 1)
	for _, n := range c.nodes {
		cost := Cost{Messages: float64(n.messages) / seconds, Bytes: float64(n.bytes) / seconds, Busy: time.Duration(float64(n.busy) / seconds)}
		if n.negotiator.Coordinator() != nil {
			coordinatorCost = cost
			continue
		}
		nodeCost.Messages += cost.Messages / others
		nodeCost.Bytes += cost.Bytes / others
		nodeCost.Busy += time.Duration(float64(cost.Busy) / others)
	}
	return coordinatorCost, nodeCost
}

// Lose stops a node and returns what the coordinator sends and receives until
// its slices are served by others, how long that took, and the writes.
func (c *Cell) Lose(limit time.Duration) (bytes int, took time.Duration, writes int) {
	victim := len(c.nodes) - 1
	id := c.nodes[victim].id
	lead := c.lead()
	before, wrote, begun := lead.bytes, c.writes, c.now
	c.nodes = c.nodes[:victim]
	for c.now-begun < limit && c.owns(id) {
		c.Run(simStep)
	}
	return lead.bytes - before, c.now - begun, c.writes - wrote
}

// lead returns the coordinator.
func (c *Cell) lead() *cellNode {
	for _, n := range c.nodes {
		if n.negotiator.Coordinator() != nil {
			return n
		}
	}
	return c.nodes[0]
}

func (c *Cell) owns(id assigner.NodeID) bool {
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
