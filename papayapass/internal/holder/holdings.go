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

// keepHoldings keeps what the node holds for the coordinator of the epoch that it is
// about to join, whose table may not know of it.
func (h *Holder) keepHoldings(now timer.Instant) {
	if held := h.holdings(now); len(held) > 0 {
		h.olderHoldings = held
		h.olderLeaseUntil = h.leaseUntil
	}
}

// validOlderHoldings returns what the node held under an older epoch, while the lease
// of that epoch lasts.
func (h *Holder) validOlderHoldings(now timer.Instant) []*wirepb.Holding {
	if !now.Before(h.olderLeaseUntil) {
		h.olderHoldings = nil
	}
	return h.olderHoldings
}

// dropAssignedHoldings forgets slices that have an owner in the newest table.
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

// Owns returns the slice of a point when the node holds it under a lease that
// is valid at this instant.
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

// OwnsAny reports whether the table names this node as the owner of any slice, or as
// the target of a move.
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

// PendingReleases returns the slices that are to be given up and are not released yet:
// those that move to another node, or all when there is no backend server.
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

// Release gives a slice up for good: no work of it runs here any more, and none
// is started until it is granted anew under a higher token.
func (h *Holder) Release(pool string, start uint64, token assigner.Token) {
	h.released[sliceKey{pool: pool, start: start}] = token
	h.revision++
}
