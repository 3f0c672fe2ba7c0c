package granter

import (
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// pendingGrant is a grant that may still take effect until an instant.
type pendingGrant struct {
	call  Call
	until timer.Instant
	// inFlight is set until the call has ended.
	inFlight bool
}

func (p pendingGrant) overlaps(h *holding) bool {
	return p.call.Service == h.service && p.call.First <= h.Last && h.First <= p.call.Last
}

// resolveGrant records that a grant ended; one without an answer stays in doubt. It may have
// arrived just now, and its hold counts from then.
func (g *Granter) resolveGrant(c Call, result Result, now timer.Instant) {
	if c.Release {
		return
	}
	until := now.Add(withDrift(c.Hold))
	if result == Done || result == Unknown {
		for _, h := range g.holdings {
			if (pendingGrant{call: c}).overlaps(h) {
				h.mayHoldUntil = max(h.mayHoldUntil, until)
			}
		}
		if g.former.ID != "" && !g.server.SameStart(c.Server, c.ServerStartedAtMillis) {
			g.startInDoubtUntil = max(g.startInDoubtUntil, until) // it was under way when the present start was heard
		}
	}
	g.pendingGrants = slices.DeleteFunc(g.pendingGrants, func(p pendingGrant) bool { return p.call == c && result != Unknown })
	for i := range g.pendingGrants {
		if g.pendingGrants[i].call == c {
			g.pendingGrants[i].inFlight, g.pendingGrants[i].until = false, until
		}
	}
}

// GrantInDoubt reports whether a grant without an answer, of this process or of a former one,
// may still take effect.
func (g *Granter) GrantInDoubt(now timer.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now < g.priorGrantsUntil || slices.ContainsFunc(g.pendingGrants, func(p pendingGrant) bool { return !p.inFlight && now < p.until })
}

// DoubtLeft returns how long grants of a call's keys may still take effect.
func (g *Granter) DoubtLeft(c Call, now timer.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &holding{Range: partitioner.Range{First: c.First, Last: c.Last}, service: c.Service}
	left := max(0, g.priorGrantsUntil.Sub(now))
	for _, p := range g.pendingGrants {
		if p.overlaps(h) {
			left = max(left, p.until.Sub(now))
		}
	}
	return left
}

// Released returns the released ranges that the node's table still assigns to it, once
// no grant of their keys can take effect any more.
func (g *Granter) Released(now timer.Instant) []partitioner.Release {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < g.priorGrantsUntil {
		return nil // a former process may have left grants without an answer
	}
	var out []partitioner.Release
	for _, h := range g.holdings {
		if h.released && !slices.ContainsFunc(g.pendingGrants, func(p pendingGrant) bool { return p.overlaps(h) && (p.inFlight || now < p.until) }) {
			out = append(out, partitioner.Release{
				Service: h.service, First: h.First, Last: h.Last, Token: h.Token, Handover: h.handover,
			})
		}
	}
	return out
}
