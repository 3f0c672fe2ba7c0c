package granter

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// method is how the backend server gets its keys: byCall or byHeartbeat.
type method interface{ sealed() }

// byCall grants and releases keys with calls to the backend server.
type byCall struct{}

// byHeartbeat grants and releases keys in the responses to heartbeats.
type byHeartbeat struct {
	// lastSequence is the sequence number of the newest heartbeat, or zero; lastAt is when
	// it arrived and lastReleased is what it reported as
	// released.
	lastSequence int64
	lastAt       timer.Instant
	lastReleased []descriptor.ReleasedRange
	// released holds the ranges reported as released and not granted since.
	released []descriptor.ReleasedRange
}

func (byCall) sealed()       {}
func (*byHeartbeat) sealed() {}

// SetMethod sets how the backend server gets its keys. Grants made the other way stay in
// doubt until they have ended.
func (g *Granter) SetMethod(m descriptor.GrantMethod) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isHeartbeat := g.method.(*byHeartbeat)
	switch {
	case m == descriptor.GrantByHeartbeat && !isHeartbeat:
		g.method = &byHeartbeat{}
	case m != descriptor.GrantByHeartbeat && isHeartbeat:
		g.method = byCall{}
		for _, h := range g.holdings {
			h.nextCallAt, h.callInFlight = 0, false
			if h.offeredAt > 0 { // the response may still be on its way
				c := Call{Service: h.service, First: h.First, Last: h.Last, Token: h.Token, Sent: h.offeredAt, Server: h.Server, ServerStartedAtMillis: h.ServerStartedAtMillis}
				g.pendingGrants = append(g.pendingGrants, pendingGrant{call: c, until: h.mayHoldUntil})
			}
		}
	}
}

// IsByCall reports whether keys are granted with calls to the backend server.
func (g *Granter) IsByCall() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isByCall := g.method.(byCall)
	return isByCall
}

// Custody is what the newest table says about a node and a key.
type Custody int

// Custodies.
const (
	// Foreign keys are another node's.
	Foreign Custody = iota
	// Arriving keys are moving to this node.
	Arriving
	// Owned keys are this node's.
	Owned
)

// HeldBy returns when the backend server is expected to hold a key that is owned or
// arriving, seen from now; interval is the time between two heartbeats of the
// backend server.
func (g *Granter) HeldBy(service string, key uint16, interval time.Duration, now timer.Instant) (Custody, timer.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.find(service, key); h != nil {
		if h.NextOwner != "" {
			return Foreign, 0
		}
		return Owned, g.nextGrant(interval, now)
	}
	for _, a := range g.arriving {
		if a.service == service && a.First <= key && key <= a.Last {
			return Arriving, g.nextGrant(interval, a.since.Add(moveDuration))
		}
	}
	return Foreign, 0
}

// nextGrant returns when keys that the node owns from an instant on are granted.
func (g *Granter) nextGrant(interval time.Duration, from timer.Instant) timer.Instant {
	m, ok := g.method.(*byHeartbeat)
	if !ok || interval <= 0 {
		return from
	}
	next := m.lastAt.Add(interval)
	if next < from {
		missed := (from.Sub(next) + interval - 1) / interval
		next = next.Add(missed * interval)
	}
	return next
}
