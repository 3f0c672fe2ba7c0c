// Package sizer measures the cost of the control plane at several sizes and fits
// lines, from which docs/CAPACITY.md extrapolates the cost at full size.
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

// Overhead of a message on the wire besides its frame: IP, TCP with timestamps,
// yamux and TLS record. Each exchange includes one separate TCP acknowledgement,
// since the reply only acknowledges the request.
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

// cellNode is a node of a simulated cell with the traffic it sent and received.
type cellNode struct {
	negotiator *negotiator.Negotiator
	id         assigner.NodeID
	messages   int
	bytes      int
	cpuTime    time.Duration
}

// delivery is a message, or the result of a write, in transit.
type delivery struct {
	due     time.Duration
	from    *cellNode
	to      *cellNode
	message proto.Message
	table   *assigner.Table
}

// Cell simulates the nodes of one cell without message loss. Time is simulated, CPU
// time is measured.
type Cell struct {
	now         time.Duration
	nodes       []*cellNode
	inFlight    []delivery
	writes      int
	reportLoads bool
}

// constantLoad is a workload with the same load on each slice of its node.
type constantLoad struct {
	cell *Cell
	node *cellNode
}

// Loads returns a constant load for each slice that the node owns.
func (l constantLoad) Loads(time.Duration) []*wirepb.SliceLoad {
	if !l.cell.reportLoads {
		return nil
	}
	t := l.node.negotiator.Holder().Table()
	if t == nil {
		return nil
	}
	var out []*wirepb.SliceLoad
	for _, p := range t.Pools() {
		for i := range p.Len() {
			if s := p.At(i); s.Owner() == l.node.id {
				out = append(out, &wirepb.SliceLoad{Pool: p.Name(), Start: s.Start(), RateMilli: 1_000_000})
			}
		}
	}
	return out
}

// HotKeys returns no hot keys.
func (constantLoad) HotKeys(time.Duration) []*wirepb.SliceLoad { return nil }

// Close reports that no requests are running.
func (constantLoad) Close(string, uint64, uint64, assigner.Token) bool { return true }

// NewCell returns a cell of count nodes after all nodes have joined it.
func NewCell(count int) *Cell {
	c := &Cell{reportLoads: true}
	for i := range count {
		n := &cellNode{id: assigner.NodeID("permits-" + strconv.Itoa(i))}
		self := holder.NewIdentity("luzon-1", n.id, "10.0.0."+strconv.Itoa(i)+":7001", "10.0.0."+strconv.Itoa(i)+":7002", "z"+strconv.Itoa(i%3), uint64(i+1))
		n.negotiator = negotiator.NewNegotiator(self, nil, constantLoad{cell: c, node: n}, 0)
		c.nodes = append(c.nodes, n)
		n.negotiator.SetServer(assigner.NewServer("permits", 20, 20, true, true), 0)
		if i == 0 {
			n.negotiator.CellCreated(assigner.NewTable("luzon-1", 1, self.Member()), 0)
			continue
		}
		n.negotiator.LoadTable(c.nodes[0].negotiator.Holder().Table())
	}
	c.Advance(formationTime + time.Duration(count)*simTick*40)
	return c
}

// Advance advances the simulated time, delivering messages and ticking the nodes.
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
		d := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.runTimed(d.to, d.from, func() {
			if d.table != nil {
				d.to.negotiator.Stored(d.table, coordinator.StoreDone, timer.Instant(c.now))
				return
			}
			d.to.negotiator.Receive(d.message, timer.Instant(c.now))
		})
	}
}

// runTimed runs work on a node, adds up its CPU time and performs its actions.
func (c *Cell) runTimed(n, from *cellNode, work func()) {
	start := processCPUTime()
	work()
	actions := n.negotiator.TakeActions()
	n.cpuTime += processCPUTime() - start
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

// find returns the node with a name or address, or nil.
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
	start := processCPUTime()
	frame, err := messenger.Encode(nil, m)
	from.cpuTime += processCPUTime() - start
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

// Cost is a node's cost of the control plane per second.
type Cost struct {
	Messages float64
	Bytes    float64
	CPUTime  time.Duration
}

// Measure advances the cell by length and returns the cost of the coordinator and the
// mean cost of the other nodes, both per second.
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

// FailNode stops the last node, and returns the coordinator's traffic, the time and the
// number of writes until other nodes own its slices, or until the limit.
func (c *Cell) FailNode(limit time.Duration) (bytes int, took time.Duration, writes int) {
	last := len(c.nodes) - 1
	id := c.nodes[last].id
	coord := c.coordinatorNode()
	bytesBefore, writesBefore, start := coord.bytes, c.writes, c.now
	c.nodes = c.nodes[:last]
	for c.now-start < limit && c.ownsSlices(id) {
		c.Advance(simStep)
	}
	return coord.bytes - bytesBefore, c.now - start, c.writes - writesBefore
}

// coordinatorNode returns the coordinator, or the first node if there is none.
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
