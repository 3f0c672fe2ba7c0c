package partitioner

import "slices"

// FreeCause is why a range lost its owner.
type FreeCause string

// Causes of ranges without an owner.
const (
	FreeReleased      FreeCause = "released"
	FreeLeaseExpired  FreeCause = "lease expired"
	FreeServerRestart FreeCause = "backend server restarted"
	FreeUnheard       FreeCause = "unheard after a restore of the store"
	// KeptByNextStart is no loss for the member: the next start of its backend server gets the
	// range, since it may hold the keys already.
	KeptByNextStart FreeCause = "backend server restarted, kept by its next start"
)

// FreedRange is a range that lost its owner in a round of planning.
type FreedRange struct {
	Range

	Service string
	Cause   FreeCause
}

// Freed returns the ranges that lost their owner in the round.
func (p *Plan) Freed() []FreedRange { return p.freed }

func (p *Plan) clearOwner(service string, r *Range, handover string, cause FreeCause) {
	p.freed = append(p.freed, FreedRange{Range: *r, Service: service, Cause: cause})
	r.Owner, r.Server, r.ServerStartedAtMillis, r.Handover = "", "", 0, handover
	p.changed = true
}

// hasFreed reports whether a member has lost a range with a token in the round.
func (p *Plan) hasFreed(id NodeID, token uint64) bool {
	return slices.ContainsFunc(p.freed, func(f FreedRange) bool { return f.Owner == id && f.Token == token })
}
