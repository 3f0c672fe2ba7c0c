package granter

import (
	"cmp"
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	// replyWindow is how long after a heartbeat its response can still take effect: a
	// backend server ignores later ones. It includes the drift of the server's clock.
	replyWindow = 1020 * time.Millisecond
	// travelAllowance is subtracted from a hold for the time between the sending of a
	// heartbeat, from which the hold counts, and its arrival.
	travelAllowance = 100 * time.Millisecond
	// settleTime is how long after a response the backend server has applied it.
	settleTime = 5 * time.Millisecond
	// maxReleased is the number of released ranges whose handover data is kept.
	maxReleased = 1024
)

// ReplyLimit limits the size of a response to a heartbeat.
type ReplyLimit struct {
	// Bytes is the largest size of all ranges together.
	Bytes int
	// RangeBytes returns the size of one range.
	RangeBytes func(descriptor.GrantedRange) int
}

// SetReplyLimit sets the limit of responses to heartbeats; there is none by default.
func (g *Granter) SetReplyLimit(l ReplyLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replyLimit = l
}

// LongestHold returns how long after a grant the backend server may still hold the keys.
func (g *Granter) LongestHold() time.Duration { return withDrift(g.maxHold) }

// HeartbeatResult is what a heartbeat of the backend server leads to.
type HeartbeatResult struct {
	Reply descriptor.HeartbeatReply
	// Released is set if ranges that are moving have been released.
	Released bool
	// Omitted counts the ranges that did not fit into the response.
	Omitted int
}

// HandleHeartbeat applies the keys that a heartbeat of the current start lists, and returns
// the response to it. A heartbeat that is not newer than all others gets no keys, since
// what it lists may have changed, until all keys granted before have ended.
//
// The response is the whole set of keys that the backend server is to hold, counted from
// when it sent the heartbeat, so a late response never extends a hold.
func (g *Granter) HandleHeartbeat(sequence int64, keys *descriptor.KeyListing, now timer.Instant) HeartbeatResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended, g.unconfirmed = false, false
	m, ok := g.method.(*byHeartbeat)
	if !ok || keys == nil {
		return HeartbeatResult{}
	}
	isLate := sequence <= m.lastSequence && now < m.lastAt.Add(g.LongestHold())
	if isLate && !mutator.Active(mutator.AcceptLateHeartbeat) {
		return HeartbeatResult{}
	}
	m.lastSequence = sequence
	// A heartbeat repeats what it released until one is acknowledged.
	released := slices.DeleteFunc(slices.Clone(keys.Released), func(r descriptor.ReleasedRange) bool {
		return slices.Contains(m.lastReleased, r) && !mutator.Active(mutator.RepeatedReleaseCounts)
	})
	m.lastAt, m.lastReleased = now, keys.Released
	m.released = append(m.released, released...)
	m.released = m.released[max(0, len(m.released)-maxReleased):]
	var r HeartbeatResult
	for _, h := range g.holdings {
		wasReleased := h.released
		g.applyListing(h, keys.Held, released, now)
		releaseEnded(m, h, now)
		r.Released = r.Released || (h.released && !wasReleased)
	}
	r.Reply.Grants, r.Omitted = g.grants(keys, now)
	g.notify()
	return r
}

// applyListing updates a holding from the keys that a heartbeat lists as held, and those
// that it lists as released for the first time.
func (g *Granter) applyListing(h *holding, held []descriptor.HeldRange, released []descriptor.ReleasedRange, now timer.Instant) {
	if overlaps(held, h) {
		if mutator.Active(mutator.HoldIgnoresListing) && h.NextOwner != "" {
			h.mayHoldUntil = 0
		}
		h.rejected = h.rejected && !covers(held, h)
		return
	}
	if h.offeredAt == 0 {
		return // only an earlier process of this node may have granted the keys
	}
	// The last response that granted the keys was lost, was not accepted, or may still
	// arrive. Keys released after it are not granted by it any more.
	h.heldUntil, h.rejected = 0, true
	if h.offeredAt.Add(replyWindow) < now || releasedCovers(released, h) || mutator.Active(mutator.UnlistedIsReleased) {
		h.mayHoldUntil = g.priorGrantsUntil
	}
}

// releaseEnded marks a moving range as released once the backend server certainly does not
// hold it.
func releaseEnded(m *byHeartbeat, h *holding, now timer.Instant) {
	if h.NextOwner == "" || h.released || now < h.mayHoldUntil {
		return
	}
	h.released = true
	most := 0
	for _, r := range m.released {
		if n := int(min(r.Last, h.Last)) - int(max(r.First, h.First)) + 1; n > most {
			most, h.handover = n, r.Handover
		}
	}
}

// grants returns the ranges that the backend server is to hold, and the number of ranges
// that did not fit. They are nil without a lease: the keys held then run out by themselves.
func (g *Granter) grants(keys *descriptor.KeyListing, now timer.Instant) (*descriptor.KeyGrants, int) {
	hold := g.holdFor(now).Truncate(time.Millisecond)
	if hold < minHold {
		return nil, 0
	}
	out := &descriptor.KeyGrants{Hold: hold}
	list := g.grantable(keys)
	size, omitted := 0, 0
	for _, h := range list {
		row := descriptor.GrantedRange{First: h.First, Last: h.Last, Token: h.Token}
		isHeld := covers(keys.Held, h)
		if !isHeld {
			row.Handover = h.Handover
		}
		if g.replyLimit.RangeBytes != nil {
			if n := g.replyLimit.RangeBytes(row); size+n > g.replyLimit.Bytes {
				h.heldUntil = 0
				omitted++
				continue
			} else {
				size += n
			}
		}
		out.Ranges = append(out.Ranges, row)
		g.recordOffer(h, isHeld, hold, now)
	}
	slices.SortFunc(out.Ranges, func(a, b descriptor.GrantedRange) int { return cmp.Compare(a.First, b.First) })
	return out, omitted
}

// grantable returns the holdings to grant, most urgent first: held ones, since requests run
// on them, then the largest.
func (g *Granter) grantable(keys *descriptor.KeyListing) []*holding {
	if g.server.Down || g.server.Leaving {
		return nil
	}
	var list []*holding
	for _, h := range g.holdings {
		if h.NextOwner == "" && !h.released && g.server.SameStart(h.Server, h.ServerStartedAtMillis) {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, b *holding) int {
		if x, y := covers(keys.Held, a), covers(keys.Held, b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(int(b.Last)-int(b.First), int(a.Last)-int(a.First))
	})
	return list
}

func (g *Granter) recordOffer(h *holding, isHeld bool, hold time.Duration, now timer.Instant) {
	h.offeredAt = now
	h.mayHoldUntil = max(h.mayHoldUntil, now.Add(withDrift(hold)))
	if h.rejected {
		return // not held before a heartbeat lists it
	}
	if !isHeld && h.heldUntil <= now {
		h.heldFrom = now.Add(settleTime)
	}
	h.heldUntil = max(h.heldUntil, now.Add(hold-travelAllowance))
	if m, ok := g.method.(*byHeartbeat); ok {
		m.released = slices.DeleteFunc(m.released, func(r descriptor.ReleasedRange) bool {
			return r.First <= h.Last && h.First <= r.Last
		})
	}
}

func overlaps(held []descriptor.HeldRange, h *holding) bool {
	i, _ := slices.BinarySearchFunc(held, h.First, func(r descriptor.HeldRange, key uint16) int { return cmp.Compare(r.Last, key) })
	return i < len(held) && held[i].First <= h.Last
}

// covers reports whether all keys of a holding are listed as held with its token.
func covers(held []descriptor.HeldRange, h *holding) bool {
	next := int(h.First)
	i, _ := slices.BinarySearchFunc(held, h.First, func(r descriptor.HeldRange, key uint16) int { return cmp.Compare(r.Last, key) })
	for ; i < len(held) && int(held[i].First) <= next && held[i].Token == h.Token; i++ {
		if next = int(held[i].Last) + 1; next > int(h.Last) {
			return true
		}
	}
	return false
}

// releasedCovers reports whether all keys of a holding are listed as released.
func releasedCovers(released []descriptor.ReleasedRange, h *holding) bool {
	next := int(h.First)
	for _, r := range released {
		if int(r.First) <= next && next <= int(r.Last) {
			next = int(r.Last) + 1
		}
	}
	return next > int(h.Last)
}
