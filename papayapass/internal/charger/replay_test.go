package charger

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	replayStep  = 20 * time.Millisecond
	replayLease = 3500 * time.Millisecond
	eventAt     = 10 * time.Second
	replayEnd   = 25 * time.Second
	nodeCount   = 30
	// fillTime is the time in which buckets fill at the start.
	fillTime = 2 * time.Second
	// refundDelay is the time until a request turns out not to run.
	refundDelay = 5 * replayStep
)

var replayBounds = accountant.Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// replayNode is a node with its accountant. The sides of a partition do not reach each other.
type replayNode struct {
	charger    *Charger
	accountant *accountant.Accountant
	table      *partitioner.Table
	side       int
	leaseUntil timer.Instant
	isLost     bool
}

type replaySite struct {
	now    timer.Instant
	r      *rand.Rand
	nodes  map[partitioner.NodeID]*replayNode
	ids    []partitioner.NodeID
	table  *partitioner.Table
	limits []descriptor.Customer
	demand []float64
	// initialRates are the limits before a change.
	initialRates []float64
	// nodeOf returns the node to which a request of a customer comes.
	nodeOf func(customer int) partitioner.NodeID
	// spent and refused count the requests of each customer, by step.
	spent, refused [][]int
	calls          int
	// notRun is the share of charged requests that do not run and give their credits back after refundDelay.
	notRun  float64
	refunds []refund
}

// refund is a credit on its way back.
type refund struct {
	at, asked timer.Instant
	charger   *Charger
	customer  string
}

// newReplaySite returns a site of customers with the given demands and limits 1.6 times as high.
func newReplaySite() *replaySite {
	s := &replaySite{now: timer.Instant(time.Hour), r: rand.New(rand.NewPCG(5, 6)), nodes: make(map[partitioner.NodeID]*replayNode), table: &partitioner.Table{Epoch: 1}}
	for i := range nodeCount {
		m := partitioner.Member{ID: partitioner.NodeID(fmt.Sprintf("node-%02d", i)), Zone: fmt.Sprintf("zone-%d", i%3)}
		s.table.SetMember(m)
		s.ids = append(s.ids, m.ID)
		s.nodes[m.ID] = &replayNode{charger: NewCharger(m, replayBounds), accountant: accountant.NewAccountant(m.ID)}
	}
	for i := range 87 {
		demand := 5 * math.Exp(3.68*math.Pow(float64(i)/86, 6)) // from 5 to 198 a second, most of them small
		s.demand, s.initialRates = append(s.demand, demand), append(s.initialRates, 1.6*demand)
		s.limits = append(s.limits, descriptor.Customer{Name: fmt.Sprintf("c-%d", i), Rate: 1.6 * demand, Burst: 1.6 * demand})
	}
	s.spent, s.refused = make([][]int, len(s.limits)), make([][]int, len(s.limits))
	s.nodeOf = func(int) partitioner.NodeID { return s.ids[s.r.IntN(nodeCount)] }
	s.setLimits(1)
	s.plan()
	return s
}

func (s *replaySite) setLimits(version uint64) {
	for _, n := range s.nodes {
		n.accountant.SetLimits(&descriptor.Configuration{Version: version, Customers: s.limits}, replayBounds, s.now)
	}
}

// plan moves the shards of owners without a lease, for the nodes of side 0.
func (s *replaySite) plan() {
	states := make(map[partitioner.NodeID]partitioner.MemberState)
	for id, n := range s.nodes {
		isSilent := n.isLost || n.side != 0
		states[id] = partitioner.MemberState{Silent: isSilent, LeaseExpired: isSilent && n.leaseUntil < s.now}
	}
	p := partitioner.NewPlan(s.table, states, nil)
	p.AssignQuotaShards(nil)
	s.table = p.Table()
	for _, n := range s.nodes {
		if n.side == 0 && !n.isLost {
			n.leaseUntil = s.now.Add(replayLease)
			if n.table == nil || p.Changed() {
				n.table = s.table
				n.accountant.SetTable(s.table, s.now)
			}
		}
	}
}

// request charges a request of a customer at a node like participant does, with calls that take no time.
func (s *replaySite) request(customer int, id partitioner.NodeID) bool {
	n, c := s.nodes[id], &s.limits[customer]
	if n.isLost {
		return true // its callers go elsewhere
	}
	n.charger.Arrive(c.Name, s.now)
	defer n.charger.Leave(c.Name)
	asked, ok := n.charger.Take(c.Name, s.now, s.now)
	if !ok {
		targets, _, _ := n.charger.Targets(c, n.table, s.now, s.now)
		for _, t := range targets {
			o := s.nodes[t.Owner.ID]
			s.calls++
			if o.isLost || o.side != n.side {
				n.charger.HandleFailure(t.Owner.ID, s.now)
				continue
			}
			a := o.accountant.Charge(accountant.Charge{Customer: c.Name, Group: t.Group, Count: n.charger.BatchSize(c.Name)}, o.leaseUntil.Sub(s.now), s.now)
			n.charger.HandleAnswer(c.Name, t, a, s.now, s.now)
			if a.Outcome == accountant.Granted {
				break
			}
		}
		if asked, ok = n.charger.Take(c.Name, s.now, s.now); !ok {
			return false
		}
	}
	if s.notRun > 0 && s.r.Float64() < s.notRun {
		s.refunds = append(s.refunds, refund{at: s.now.Add(refundDelay), asked: asked, charger: n.charger, customer: c.Name})
		return true
	}
	s.spent[customer][len(s.spent[customer])-1]++
	return true
}

func (s *replaySite) run(event func(*replaySite)) {
	start := s.now
	for s.now.Sub(start) < replayEnd {
		s.now = s.now.Add(replayStep)
		if at := s.now.Sub(start); at >= eventAt && at < eventAt+replayStep {
			event(s)
		}
		s.plan()
		for ; len(s.refunds) > 0 && s.refunds[0].at <= s.now; s.refunds = s.refunds[1:] {
			s.refunds[0].charger.Refund(s.refunds[0].customer, s.refunds[0].asked, s.now)
		}
		for c, demand := range s.demand {
			s.spent[c], s.refused[c] = append(s.spent[c], 0), append(s.refused[c], 0)
			for gap := s.r.ExpFloat64(); gap < demand*replayStep.Seconds(); gap += s.r.ExpFloat64() {
				if !s.request(c, s.nodeOf(c)) {
					s.refused[c][len(s.refused[c])-1]++
				}
			}
		}
	}
}

// worstWindow returns the most requests of a customer in any window from a step on.
func worstWindow(list []int, from int) int {
	n, worst := int(replayBounds.Window/replayStep), 0
	for i := from; i+n <= len(list); i++ {
		worst = max(worst, sum(list[i:i+n]))
	}
	return worst
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// One failure or change of load each, 10 s after the start. No customer may exceed its bound in any
// window; maxRefused is the largest share of requests refused to customers below their limits.
func TestReplayOfLoadsAndFailures(t *testing.T) {
	const largest = 86
	lose := func(s *replaySite, id partitioner.NodeID) { s.nodes[id].isLost = true }
	for name, tt := range map[string]struct {
		event      func(*replaySite)
		maxRefused float64
		// over is a customer that asks for more than its limit, or -1.
		over int
	}{
		"calm":                          {func(*replaySite) {}, 0.001, -1},
		"one customer at ten times":     {func(s *replaySite) { s.demand[largest] = 10 * s.limits[largest].Rate }, 0.001, largest},
		"a small customer at ten times": {func(s *replaySite) { s.demand[0] = 10 * s.limits[0].Rate }, 0.001, 0},
		"all of a customer at one node": {func(s *replaySite) { s.nodeOf = func(int) partitioner.NodeID { return s.ids[7] } }, 0.001, -1},
		"the owner of a shard is lost":  {func(s *replaySite) { lose(s, s.table.QuotaShards[0].Owner) }, 0.002, -1},
		"ten owners at the limit are lost": {func(s *replaySite) {
			for _, id := range s.ids[:10] {
				lose(s, id)
			}
			s.demand[largest] = 3 * s.limits[largest].Rate
		}, 0.05, largest},
		"a limit is lowered": {func(s *replaySite) {
			s.limits = append([]descriptor.Customer(nil), s.limits...)
			s.limits[largest].Rate, s.limits[largest].Burst = 4, 4
			s.setLimits(2)
		}, 0.001, largest},
		"half of the requests do not run": {func(s *replaySite) {
			s.notRun = 0.5
			s.demand[largest] = 10 * s.limits[largest].Rate
		}, 0.001, largest},
		"a partition in which both sides spend": {func(s *replaySite) {
			for i, id := range s.ids {
				s.nodes[id].side = i % 2
			}
			s.demand[largest] = 3 * s.limits[largest].Rate
		}, 0.5, largest}, // those that are cut off cannot spend after their lease
	} {
		t.Run(name, func(t *testing.T) {
			s := newReplaySite()
			s.run(tt.event)
			refused, asked := 0, 0
			for c, limit := range s.limits {
				from := 0
				if c == tt.over && limit.Rate < 1.6*s.demand[c] {
					from = int((eventAt + replayBounds.Window) / replayStep) // a lower limit binds a window later
				}
				bound := (limit.Rate*replayBounds.Window.Seconds()+limit.Burst)*(1+replayBounds.Over) + replayBounds.Slack
				require.LessOrEqual(t, float64(worstWindow(s.spent[c], from)), bound, limit.Name)
				if c == tt.over {
					if s.notRun > 0 {
						ran := sum(s.spent[c][int((eventAt+replayBounds.Window)/replayStep):])
						rate := float64(ran) / (replayEnd - eventAt - replayBounds.Window).Seconds()
						require.Greater(t, rate, 0.85*limit.Rate, "refunded credits are not used")
					}
					t.Logf("%s: worst window %d, limit %.0f, bound %.0f", limit.Name, worstWindow(s.spent[c], from), limit.Rate*5+limit.Burst, bound)
					continue
				}
				n := sum(s.refused[c][int(fillTime/replayStep):])
				refused, asked = refused+n, asked+n+sum(s.spent[c])
			}
			t.Logf("refused %d of %d below the limit, %d calls", refused, asked, s.calls)
			require.LessOrEqual(t, float64(refused), tt.maxRefused*float64(asked))
		})
	}
}
