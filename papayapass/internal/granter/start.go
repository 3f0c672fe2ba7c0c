package granter

import (
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// mayHaveReachedNextStart reports whether grants for the present start of the backend server may
// have reached its next one: there was no failed connect between them. The caller holds g.mu.
func (g *Granter) mayHaveReachedNextStart() bool {
	_, isByCall := g.method.(byCall)
	return isByCall && !g.ended && !mutator.Active(mutator.NameStartAtOnce)
}

// FormerStart returns the former start of the backend server while the present one may hold keys
// by grants for it. Until then the coordinator must not learn of the present one, since it would
// give these keys away.
func (g *Granter) FormerStart(now timer.Instant) (partitioner.Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now >= g.startInDoubtUntil {
		g.former = partitioner.Server{}
	}
	return g.former, g.former.ID != ""
}
