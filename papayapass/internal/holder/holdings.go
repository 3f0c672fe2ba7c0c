package holder

import (
	"slices"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

func (h *Holder) releasedHoldings() []*wirepb.Holding {
	if len(h.released) == 0 {
		return nil
	}
	out := make([]*wirepb.Holding, 0, len(h.released))
	for key, token := range h.released {
		out = append(out, &wirepb.Holding{Pool: key.pool, Start: key.start, Token: uint64(token)})
	}
	return out
}

// keepHoldings keeps the node's current slices to report them to the
// coordinator of the epoch that it is about to join, whose table may not list
// them.
func (h *Holder) keepHoldings(now timer.Instant) {
	if held := h.holdings(now); len(held) > 0 {
		h.olderHoldings = held
		h.olderLeaseUntil = h.leaseUntil
	}
}

// validOlderHoldings returns the slices that the node had in an older epoch,
// until the lease of that epoch ends.
func (h *Holder) validOlderHoldings(now timer.Instant) []*wirepb.Holding {
	if !now.Before(h.olderLeaseUntil) {
		h.olderHoldings = nil
	}
	return h.olderHoldings
}

// dropAssignedHoldings removes older holdings whose slices have an owner in the
// newest table or do not exist there.
func (h *Holder) dropAssignedHoldings(t *assigner.Table) {
	h.olderHoldings = slices.DeleteFunc(h.olderHoldings, func(held *wirepb.Holding) bool {
		s, ok := t.Lookup(held.GetPool(), held.GetStart())
		return !ok || s.Owner() != ""
	})
}

// holdings returns the slices that the node serves under a valid lease.
func (h *Holder) holdings(now timer.Instant) []*wirepb.Holding {
	if h.table == nil || !now.Before(h.leaseUntil) {
		return nil
	}
	var out []*wirepb.Holding
	for _, p := range h.table.Pools() {
		for i := range p.Len() {
			s := p.At(i)
			if s.Owner() != h.self.id || h.hasReleased(p.Name(), s) {
				continue
			}
			out = append(out, &wirepb.Holding{Pool: p.Name(), Start: s.Start(), Last: p.Last(i), Token: uint64(s.Token())})
		}
	}
	return out
}

func (h *Holder) hasReleased(pool string, s assigner.Slice) bool {
	token, ok := h.released[sliceKey{pool: pool, start: s.Start()}]
	return ok && s.Token() <= token
}

// Owns returns the slice that contains a point if the node owns it and its
// lease is valid now.
func (h *Holder) Owns(pool string, point uint64, now timer.Instant) (assigner.Slice, bool) {
	if h.table == nil || !now.Before(h.leaseUntil) {
		return assigner.Slice{}, false
	}
	s, ok := h.table.Lookup(pool, point)
	if !ok || s.Owner() != h.self.id || h.hasReleased(pool, s) {
		return assigner.Slice{}, false
	}
	return s, true
}

// OwnsAny reports whether the table names this node as owner or move target of
// any slice.
func (h *Holder) OwnsAny() bool {
	if h.table == nil {
		return false
	}
	for _, p := range h.table.Pools() {
		for i := range p.Len() {
			if s := p.At(i); s.Owner() == h.self.id || s.Next() == h.self.id {
				return true
			}
		}
	}
	return false
}

// PendingReleases returns the slices that must be released and are not yet:
// those that move to another node, or all if all is set.
func (h *Holder) PendingReleases(all bool) []*wirepb.Holding {
	if h.table == nil {
		return nil
	}
	var out []*wirepb.Holding
	for _, p := range h.table.Pools() {
		for i := range p.Len() {
			s := p.At(i)
			if s.Owner() == h.self.id && (all || s.Next() != "") && !h.hasReleased(p.Name(), s) {
				out = append(out, &wirepb.Holding{Pool: p.Name(), Start: s.Start(), Token: uint64(s.Token())})
			}
		}
	}
	return out
}

// Release gives up a slice for which no request runs here any more. The node
// does not own it again until it is assigned to it under a higher token.
func (h *Holder) Release(pool string, start uint64, token assigner.Token) {
	h.released[sliceKey{pool: pool, start: start}] = token
	h.revision++
}
