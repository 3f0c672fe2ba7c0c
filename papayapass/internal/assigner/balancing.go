package assigner

import (
	"slices"
	"sort"
)

// fillThreshold is the fraction of the mean load ratio below which Fill starts
// to move slices to a server.
const fillThreshold = 0.5

// balanceThreshold is the ratio of the largest to the mean load ratio up to
// which Balance moves no slice.
const balanceThreshold = 1.05

// Balance plans at most budget moves from the most to the least loaded servers
// and returns how many it planned.
func (p *Planner) Balance(budget int) int {
	planned := 0
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		incoming := incomingMoves(*pool)
		for planned < budget {
			if !p.balanceOnce(pool, incoming) {
				break
			}
			planned++
		}
	}
	return planned
}

func (p *Planner) balanceOnce(pool *Pool, incoming map[NodeID]int) bool {
	shares := p.shares(*pool)
	if len(shares) < 2 {
		return false
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].ratio() < shares[j].ratio() })
	low, high := shares[0], shares[len(shares)-1]
	if high.ratio() <= meanRatio(shares)*balanceThreshold {
		return false
	}
	best := p.bestMove(*pool, low, high)
	if best < 0 {
		return false
	}
	p.planMove(pool.name, &pool.slices[best], shares, incoming, low.member.id)
	return true
}

// MeanLoad returns the mean load of a pool's servers, in requests per second.
func (p *Planner) MeanLoad(name string) float64 {
	pool := p.pool(name)
	if pool == nil {
		return 0
	}
	shares := p.shares(*pool)
	total := 0.0
	for _, s := range shares {
		total += s.load
	}
	return total / float64(max(1, len(shares)))
}

// Fill plans moves to servers that have far less than their share, because they
// are new or back, with at most limit pending moves per target. These moves do
// not count against the budget of Balance.
func (p *Planner) Fill(limit int) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		for _, s := range p.shares(*pool) {
			p.fillMember(pool, s.member.id, limit)
		}
	}
}

// fillMember plans moves to a member until it has its share. It leaves members
// above the threshold to Balance, unless a move to them is already pending.
func (p *Planner) fillMember(pool *Pool, id NodeID, limit int) {
	incoming := incomingMoves(*pool)
	filling := incoming[id] > 0
	for incoming[id] < limit {
		shares := p.shares(*pool)
		sort.Slice(shares, func(i, j int) bool { return shares[i].ratio() < shares[j].ratio() })
		target := slices.IndexFunc(shares, func(s share) bool { return s.member.id == id })
		mean := meanRatio(shares)
		if target < 0 || shares[target].ratio() >= mean || !filling && shares[target].ratio() >= mean*fillThreshold {
			return
		}
		best := p.bestMove(*pool, shares[target], shares[len(shares)-1])
		if best < 0 {
			return
		}
		filling = true
		p.planMove(pool.name, &pool.slices[best], shares, incoming, id)
	}
}

// bestMove returns the index of the slice whose move from high to low leaves
// the smallest maximum ratio, or -1 if no move lowers it.
func (p *Planner) bestMove(pool Pool, low, high share) int {
	best, bestMax := -1, high.ratio()
	for i, s := range pool.slices {
		if s.owner != high.member.id || s.next != "" {
			continue
		}
		load := p.load(pool.name, s)
		lowAfter, highAfter := low, high
		lowAfter.load += load
		highAfter.load -= load
		if after := max(lowAfter.ratio(), highAfter.ratio()); after < bestMax {
			best, bestMax = i, after
		}
	}
	return best
}

func meanRatio(shares []share) float64 {
	load, weight := 0.0, 0.0
	for _, s := range shares {
		load += s.load
		weight += s.weight()
	}
	return load / weight
}
