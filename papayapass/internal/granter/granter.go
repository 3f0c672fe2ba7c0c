// Package granter grants a node's local backend server the keys that the table assigns
// to the node, renews the grants and releases keys. It is pure: the caller makes the
// calls.
package granter

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// Durations and tolerances of grants.
const (
	// maxUsefulHold is the longest useful hold: the coordinator's AuthorityDuration.
	maxUsefulHold = 3500 * time.Millisecond
	// renewalInterval is the longest time between two grants of the same keys.
	renewalInterval = 300 * time.Millisecond
	// failureBackoff is the time after a call without an answer before the next one. A backend
	// server that is full resets connections at once.
	failureBackoff = 50 * time.Millisecond
	// refusalBackoff is the time after a refusal before the token is sent again.
	refusalBackoff = 3 * time.Second
	// clockDrift is how much slower a backend server's clock may run, as a fraction of a
	// hold.
	clockDrift = 0.02
	// minHold is the shortest hold worth a call.
	minHold = 100 * time.Millisecond
	// ReleaseTimeout is the time-out of a release, which waits for running requests on
	// the keys.
	ReleaseTimeout = 3 * time.Second
	// GrantTimeout is the time-out of a grant.
	GrantTimeout = 300 * time.Millisecond
	// moveDuration is how long a move of keys usually takes: the former owner ends the work
	// on them.
	moveDuration = 500 * time.Millisecond
)

// holding is a range that the table assigns to this node, with the state of its grants.
type holding struct {
	partitioner.Range
	service string
	// heldFrom and heldUntil are the instants between which the backend server certainly
	// holds the keys.
	heldFrom  timer.Instant
	heldUntil timer.Instant
	// mayHoldUntil is the latest instant until which it may hold the keys.
	mayHoldUntil timer.Instant
	nextCallAt   timer.Instant
	callInFlight bool
	// released is set when the range has been released or can no longer be held.
	released bool
	handover string
	// offeredAt is when the newest response to a heartbeat that grants the keys was made,
	// or zero; rejected is set if the backend server did not list them afterwards.
	offeredAt timer.Instant
	rejected  bool
}

// arrivingRange is a range that the table moves to this node.
type arrivingRange struct {
	partitioner.Range
	service string
	// since is when the move became known.
	since timer.Instant
}

// Granter manages the keys of a node's local backend server.
type Granter struct {
	mu            sync.Mutex
	self          partitioner.NodeID
	holdings      []*holding
	arriving      []arrivingRange
	pendingGrants []pendingGrant
	leaseUntil    timer.Instant
	server        partitioner.Server
	// ended is set from a call that found the backend server unreachable until its next
	// heartbeat. A grant before that could reach a later start of it, which counts as holding
	// nothing until it is heard.
	ended bool
	// unconfirmed is set from a call that was not sent, since the backend server may have started
	// again, until its next heartbeat. Grants before that call may have reached a later start.
	unconfirmed bool
	// startInDoubtUntil is when grants for an earlier start that may have reached the present
	// one have ended; former is that start as the coordinator knows it.
	startInDoubtUntil timer.Instant
	former            partitioner.Server
	// priorGrantsUntil is when grants from before the node's start have ended at the
	// latest.
	priorGrantsUntil timer.Instant
	// maxHold is the longest hold to request.
	maxHold    time.Duration
	method     method
	replyLimit ReplyLimit
	// changed is closed, and replaced, when keys may have become held.
	changed chan struct{}
}

// NewGranter returns a granter without keys; holdMax is the longest hold that the
// backend server accepts.
func NewGranter(self partitioner.NodeID, holdMax time.Duration, started timer.Instant) *Granter {
	prior := started.Add(withDrift(maxUsefulHold)) // earlier settings may have allowed longer holds
	if mutator.Active(mutator.ForgetPriorGrants) {
		prior = 0
	}
	return &Granter{self: self, maxHold: min(maxUsefulHold, holdMax), priorGrantsUntil: prior, method: byCall{}, changed: make(chan struct{})}
}

// withDrift returns how long a hold lasts by a backend server's slow clock.
func withDrift(hold time.Duration) time.Duration {
	return hold + time.Duration(float64(hold)*clockDrift)
}

// holdFor returns the longest hold that the lease allows for a grant sent now.
func (g *Granter) holdFor(now timer.Instant) time.Duration {
	left := g.leaseUntil.Sub(now)
	return min(g.maxHold, left-time.Duration(float64(left)*clockDrift))
}

// Changed returns a channel that is closed at the next change of the keys held or owned.
func (g *Granter) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// notify closes the channel of Changed. The caller holds g.mu.
func (g *Granter) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// SetServer sets the backend server. After a restart it holds no keys of this process, unless
// grants for the start before reached it before it was heard. A process before may have granted
// keys to it, if the start before it is known by a late heartbeat only.
func (g *Granter) SetServer(s partitioner.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.ID != "" && g.server.ID != "" && !s.SameStart(g.server.ID, g.server.StartedAtMillis) {
		mayHoldKeys := g.mayHaveReachedNextStart()
		if mayHoldKeys && g.former.ID == "" {
			g.former = g.server
		}
		for _, h := range g.holdings {
			h.heldUntil, h.offeredAt, h.rejected = 0, 0, false
			if mayHoldKeys {
				g.startInDoubtUntil = max(g.startInDoubtUntil, h.mayHoldUntil)
			} else {
				h.mayHoldUntil = g.priorGrantsUntil
			}
		}
		if !mayHoldKeys {
			g.pendingGrants = nil
		}
		g.ended, g.unconfirmed = false, false
		if m, ok := g.method.(*byHeartbeat); ok {
			*m = byHeartbeat{}
		}
	}
	g.server = s
}

// SetLease sets the instant until which the node may renew grants.
func (g *Granter) SetLease(until timer.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaseUntil = until
}

// SetTable replaces the ranges that the node owns. Keys under an unchanged token stay
// held; their next call is due at once unless one for the same range is in flight.
func (g *Granter) SetTable(t *partitioner.Table, now timer.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next []*holding
	var arriving []arrivingRange
	for _, d := range t.Divisions {
		for _, r := range d.Ranges {
			switch g.self {
			case r.Owner:
				next = append(next, g.newHolding(d.Service, r))
			case r.NextOwner:
				arriving = append(arriving, arrivingRange{Range: r, service: d.Service, since: g.arrivingSince(d.Service, r, now)})
			}
		}
	}
	g.arriving = arriving
	slices.SortFunc(next, compareHoldings)
	g.holdings = next
	g.notify()
}

// arrivingSince returns when the move of a range to this node became known.
func (g *Granter) arrivingSince(service string, r partitioner.Range, now timer.Instant) timer.Instant {
	for _, a := range g.arriving {
		if a.service == service && a.Token == r.Token && a.First <= r.First && r.Last <= a.Last {
			return a.since
		}
	}
	return now
}

func compareHoldings(a, b *holding) int {
	return cmp.Or(strings.Compare(a.service, b.service), cmp.Compare(a.First, b.First))
}

func (g *Granter) newHolding(service string, r partitioner.Range) *holding {
	h := &holding{Range: r, service: service, mayHoldUntil: g.priorGrantsUntil}
	covered := 0
	for _, old := range g.holdings {
		if old.service != service || old.Last < r.First || r.Last < old.First {
			continue
		}
		h.mayHoldUntil, h.offeredAt = max(h.mayHoldUntil, old.mayHoldUntil), max(h.offeredAt, old.offeredAt)
		if old.Token != r.Token {
			continue
		}
		if covered == 0 || old.heldUntil < h.heldUntil {
			h.heldUntil = old.heldUntil
		}
		h.heldFrom, h.rejected = max(h.heldFrom, old.heldFrom), h.rejected || old.rejected
		covered += int(min(old.Last, r.Last)) - int(max(old.First, r.First)) + 1
		same := old.First == r.First && old.Last == r.Last
		if same && old.released {
			h.released, h.handover = true, old.handover
		}
		if same && old.callInFlight && (old.NextOwner != "") == (r.NextOwner != "") {
			h.callInFlight, h.nextCallAt = true, old.nextCallAt
		}
	}
	if covered <= int(r.Last)-int(r.First) {
		h.heldUntil = 0
	}
	return h
}

// Holds returns the token under which the backend server certainly holds a key and may
// get new requests for it, and until when.
func (g *Granter) Holds(service string, key uint16, now timer.Instant) (token uint64, until timer.Instant, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.find(service, key)
	if h == nil || h.NextOwner != "" || h.released || now < h.heldFrom || h.heldUntil <= now {
		return 0, 0, false
	}
	return h.Token, h.heldUntil, true
}

// Owns reports whether the newest table assigns a key to this node and does not move it
// away, even if it is not held yet.
func (g *Granter) Owns(service string, key uint16) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.find(service, key)
	return h != nil && h.NextOwner == ""
}

func (g *Granter) find(service string, key uint16) *holding {
	i, _ := slices.BinarySearchFunc(g.holdings, key, func(h *holding, key uint16) int {
		return cmp.Or(strings.Compare(h.service, service), cmp.Compare(h.Last, key))
	})
	if i == len(g.holdings) || !g.holdings[i].Contains(key) || g.holdings[i].service != service {
		return nil
	}
	return g.holdings[i]
}

// DueCalls returns the calls to make now and records them as in flight.
func (g *Granter) DueCalls(now timer.Instant) []Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingGrants = slices.DeleteFunc(g.pendingGrants, func(p pendingGrant) bool { return !p.inFlight && p.until <= now })
	if m, ok := g.method.(*byHeartbeat); ok {
		for _, h := range g.holdings {
			releaseEnded(m, h, now)
		}
		return nil
	}
	var out []Call
	for _, h := range g.holdings {
		if c, ok := g.nextCall(h, now); ok {
			h.callInFlight = true
			if !c.Release {
				g.pendingGrants = append(g.pendingGrants, pendingGrant{call: c, until: h.mayHoldUntil, inFlight: true})
			}
			out = append(out, c)
		}
	}
	return out
}

// NextCallIn returns the time until a call or a release by expiry is due, at most limit. It
// is called after DueCalls, so what is due now waits for something else: a table, a lease, a
// result or the backend server.
func (g *Granter) NextCallIn(limit time.Duration, now timer.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isByCall := g.method.(byCall)
	for _, h := range g.holdings {
		if h.released {
			continue
		}
		if h.NextOwner != "" && now < h.mayHoldUntil {
			limit = min(limit, h.mayHoldUntil.Sub(now))
		}
		if isByCall && !h.callInFlight && now < h.nextCallAt {
			limit = min(limit, h.nextCallAt.Sub(now))
		}
	}
	return limit
}

func (g *Granter) nextCall(h *holding, now timer.Instant) (Call, bool) {
	if h.callInFlight || h.released || now < h.nextCallAt {
		return Call{}, false
	}
	c := Call{Service: h.service, First: h.First, Last: h.Last, Token: h.Token, Sent: now, Server: h.Server, ServerStartedAtMillis: h.ServerStartedAtMillis}
	if h.NextOwner != "" {
		if slices.ContainsFunc(g.pendingGrants, func(p pendingGrant) bool { return p.inFlight && p.overlaps(h) }) {
			return Call{}, false
		}
		if h.mayHoldUntil <= now {
			h.released = true
			return Call{}, false
		}
		c.Release = true
		return c, !g.server.Down && g.server.SameStart(h.Server, h.ServerStartedAtMillis)
	}
	if !g.server.SameStart(h.Server, h.ServerStartedAtMillis) || g.server.Down || g.server.Leaving || g.ended || g.unconfirmed {
		return Call{}, false
	}
	c.Hold = g.holdFor(now)
	c.Handover = h.Handover
	c.Renewal = now < h.heldUntil
	if c.Hold < minHold {
		return Call{}, false
	}
	h.mayHoldUntil = max(h.mayHoldUntil, now.Add(withDrift(c.Hold)))
	return c, true
}

// HandleResult records the result of a call.
func (g *Granter) HandleResult(c Call, result Result, handover string, now timer.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.notify()
	g.resolveGrant(c, result, now)
	if c.Server == g.server.ID {
		g.ended, g.unconfirmed = g.ended || result == Unreachable, g.unconfirmed || result == Unconfirmed
	}
	i := slices.IndexFunc(g.holdings, func(h *holding) bool {
		return h.service == c.Service && h.First == c.First && h.Last == c.Last && h.Token == c.Token
	})
	if i < 0 {
		return
	}
	h := g.holdings[i]
	if c.Release != (h.NextOwner != "") {
		return // a grant that ended after the range had begun to move
	}
	h.callInFlight = false
	switch {
	case result == Refused:
		h.nextCallAt = now.Add(refusalBackoff)
	case result != Done:
		h.nextCallAt = now.Add(failureBackoff)
	case c.Release:
		h.released, h.handover = true, handover
	default:
		h.heldUntil = max(h.heldUntil, c.Sent.Add(c.Hold))
		h.nextCallAt = c.Sent.Add(min(renewalInterval, c.Hold/3))
	}
}

// LeaseLeft returns how long grants may be renewed without another heartbeat reply.
func (g *Granter) LeaseLeft(now timer.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.leaseUntil.Sub(now))
}

// KeysHeld returns the number of keys that the backend server certainly holds.
func (g *Granter) KeysHeld(now timer.Instant) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, h := range g.holdings {
		if now < h.heldUntil {
			n += int(h.Last) - int(h.First) + 1
		}
	}
	return n
}
