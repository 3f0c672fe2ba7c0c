package assigner

import (
	"slices"
)

// SlicesPerPool is the number of slices that a divided pool starts with.
const SlicesPerPool = 128

// Loads provides the load of slices, in requests per second.
type Loads interface {
	// Load returns the load of the slice that begins at start.
	Load(pool string, start uint64) float64
}

// Planner changes a table so that each slice has an eligible owner and a
// standby in another zone, and each server has its share of the load.
type Planner struct {
	table       *Table
	restriction Restriction
	loads       Loads
	epoch       Epoch
	sequence    *uint32
	changed     bool
}

// NewPlanner returns a planner that changes the given table, which must be a
// clone. It takes fencing tokens from the epoch's sequence.
func NewPlanner(table *Table, r Restriction, loads Loads, epoch Epoch, sequence *uint32) *Planner {
	return &Planner{table: table, restriction: r, loads: loads, epoch: epoch, sequence: sequence}
}

// Changed reports whether the planner has changed the table.
func (p *Planner) Changed() bool { return p.changed }

func (p *Planner) nextToken() Token {
	*p.sequence++
	return NewToken(p.epoch, *p.sequence)
}

// share is a member's part of a pool's load.
type share struct {
	member Member
	load   float64
	count  int
}

// weight returns the number of requests that the backend server may run at once
// now.
func (s share) weight() float64 { return float64(max(1, s.member.server.allowance)) }

// ratio returns the load per request that the backend server may run at once.
func (s share) ratio() float64 { return s.load / s.weight() }

// baseLoad is added to the load of each slice, in requests per second, so that
// slices without a known load count too.
const baseLoad = 1.0

func (p *Planner) load(pool string, s Slice) float64 {
	return baseLoad + p.loads.Load(pool, s.start)
}

// shares returns the shares of the members that may serve a pool. A slice with
// a pending move counts for its target.
func (p *Planner) shares(pool Pool) []share {
	var out []share
	index := make(map[NodeID]int)
	for _, m := range p.table.members {
		if m.server.pool == pool.name && m.server.divided && p.restriction.Eligible(m) {
			index[m.id] = len(out)
			out = append(out, share{member: m})
		}
	}
	for _, s := range pool.slices {
		assignee := s.owner
		if s.next != "" {
			assignee = s.next
		}
		if i, ok := index[assignee]; ok {
			out[i].load += p.load(pool.name, s)
			out[i].count++
		}
	}
	return out
}

// AddPools creates slices for divided pools that have an eligible server but no
// slices yet.
func (p *Planner) AddPools() {
	for _, m := range p.table.members {
		if !m.server.divided || !p.restriction.Eligible(m) {
			continue
		}
		if _, ok := p.table.Pool(m.server.pool); ok {
			continue
		}
		p.table.setPool(Pool{name: m.server.pool, slices: divide(SlicesPerPool)})
		p.changed = true
	}
}

// Assign gives each slice without an owner to its standby if eligible,
// otherwise to the server with the lowest load ratio. It skips slices for which
// mayBeLeased returns true.
func (p *Planner) Assign(mayBeLeased func(pool string, start uint64) bool) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		shares := p.shares(*pool)
		for i := range pool.slices {
			s := &pool.slices[i]
			if s.owner != "" || mayBeLeased(pool.name, s.start) {
				continue
			}
			target, ok := pick(shares, s.standby)
			if !ok {
				continue
			}
			shares[target].load += p.load(pool.name, *s)
			s.owner, s.standby = shares[target].member.id, ""
			s.next, s.nextToken = "", 0
			s.token = p.nextToken()
			p.changed = true
		}
	}
}

// pick returns the index of the preferred member, or else of the least loaded
// one.
func pick(shares []share, preferred NodeID) (int, bool) {
	best := -1
	for i, s := range shares {
		if s.member.id == preferred {
			return i, true
		}
		if best < 0 || s.ratio() < shares[best].ratio() {
			best = i
		}
	}
	return best, best >= 0
}

// Unassign removes a member as owner and move target of all slices, so that
// Assign can assign them again.
func (p *Planner) Unassign(id NodeID) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		for i := range pool.slices {
			s := &pool.slices[i]
			if s.owner == id {
				s.owner, s.next, s.nextToken = "", "", 0
				p.changed = true
			}
			if s.next == id {
				s.next, s.nextToken = "", 0
				p.changed = true
			}
		}
	}
}

// RenewTokens gives a restarted member new fencing tokens for its slices and
// cancels their pending moves.
func (p *Planner) RenewTokens(id NodeID) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		for i := range pool.slices {
			s := &pool.slices[i]
			if s.owner == id {
				s.token = p.nextToken()
				s.next, s.nextToken = "", 0
				p.changed = true
			}
		}
	}
}

// SetOwner records the owner and token of a slice. It has no effect unless the
// slice covers the same range in this table.
func (p *Planner) SetOwner(pool string, start, last uint64, owner NodeID, token Token) {
	s := p.slice(pool, start)
	if s == nil || p.table.Last(pool, start) != last || s.owner == owner && s.token == token {
		return
	}
	s.owner, s.token = owner, token
	s.next, s.nextToken = "", 0
	p.changed = true
}

// CompleteMove makes the target of a pending move the owner, after the owner
// has released the slice under the given token.
func (p *Planner) CompleteMove(pool string, start uint64, owner NodeID, token Token) {
	s := p.slice(pool, start)
	if s == nil || s.owner != owner || s.token != token || s.next == "" {
		return
	}
	s.owner, s.token = s.next, s.nextToken
	s.next, s.nextToken = "", 0
	if s.standby == s.owner {
		s.standby = ""
	}
	p.changed = true
}

// ClearOwner removes the owner of a slice that it released under the given
// token without a pending move.
func (p *Planner) ClearOwner(pool string, start uint64, owner NodeID, token Token) {
	s := p.slice(pool, start)
	if s == nil || s.owner != owner || s.token != token || s.next != "" {
		return
	}
	s.owner = ""
	p.changed = true
}

func (p *Planner) slice(pool string, start uint64) *Slice {
	for pi := range p.table.pools {
		candidate := &p.table.pools[pi]
		if candidate.name != pool {
			continue
		}
		if i := candidate.Find(start); i >= 0 && candidate.slices[i].start == start {
			return &candidate.slices[i]
		}
	}
	return nil
}

// Evacuate plans moves away from owners that are no longer eligible because
// they are leaving or taken out of service by operators, with at most limit
// pending moves per target.
func (p *Planner) Evacuate(limit int) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		shares := p.shares(*pool)
		incoming := incomingMoves(*pool)
		for i := range pool.slices {
			s := &pool.slices[i]
			owner, ok := p.table.Member(s.owner)
			if s.owner == "" || s.next != "" || !ok || p.restriction.Eligible(owner) || owner.lost {
				continue
			}
			target, ok := pick(belowMoveLimit(shares, incoming, limit), "")
			if !ok {
				continue
			}
			p.planMove(pool.name, s, shares, incoming, belowMoveLimit(shares, incoming, limit)[target].member.id)
		}
	}
}

// planMove records a pending move and counts it for its target.
func (p *Planner) planMove(pool string, s *Slice, shares []share, incoming map[NodeID]int, target NodeID) {
	for i := range shares {
		if shares[i].member.id == target {
			shares[i].load += p.load(pool, *s)
		}
	}
	incoming[target]++
	s.next, s.nextToken = target, p.nextToken()
	p.changed = true
}

func incomingMoves(pool Pool) map[NodeID]int {
	out := make(map[NodeID]int)
	for _, s := range pool.slices {
		if s.next != "" {
			out[s.next]++
		}
	}
	return out
}

func belowMoveLimit(shares []share, incoming map[NodeID]int, limit int) []share {
	return slices.DeleteFunc(slices.Clone(shares), func(s share) bool {
		return incoming[s.member.id] >= limit
	})
}

// SetStandbys replaces missing and ineligible standbys of owned slices with
// eligible members, in another zone if possible, spread evenly.
func (p *Planner) SetStandbys() {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		shares := p.shares(*pool)
		counts := make(map[NodeID]int, len(shares))
		for _, s := range pool.slices {
			counts[s.standby]++
		}
		for i := range pool.slices {
			s := &pool.slices[i]
			if s.owner == "" || p.standbyFits(*s) {
				continue
			}
			standby := p.chooseStandby(*s, shares, counts)
			if standby == s.standby {
				continue
			}
			counts[standby]++
			s.standby = standby
			p.changed = true
		}
	}
}

func (p *Planner) standbyFits(s Slice) bool {
	m, ok := p.table.Member(s.standby)
	return ok && s.standby != s.owner && p.restriction.Eligible(m)
}

func (p *Planner) chooseStandby(s Slice, shares []share, counts map[NodeID]int) NodeID {
	owner, _ := p.table.Member(s.owner)
	best := NodeID("")
	bestRank := 0
	for _, candidate := range shares {
		id := candidate.member.id
		if id == s.owner || id == s.next {
			continue
		}
		rank := counts[id]
		if candidate.member.zone == owner.zone {
			rank += len(counts) * SlicesPerPool
		}
		if best == "" || rank < bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}
