package partitioner

import (
	"cmp"
	"slices"
)

// Balance moves the hottest keys of the busiest backend servers to idle ones. The
// shortest run with the wanted work moves first, so that a run of neighbouring keys with
// a third of the traffic is spread within a second.
func (p *Plan) Balance() {
	for di := range p.table.Divisions {
		s := p.newBalanceRound(&p.table.Divisions[di])
		limit := max(baseConcurrentMoves, len(s.members)/membersPerMove)
		for s.moving < limit && p.balanceOnce(s) {
			s.moving++
		}
	}
}

// balanceRound is the state of balancing one division.
type balanceRound struct {
	division *Division
	// members may receive keys; balanceOnce sorts them by utilization, lowest first.
	members []Member
	usage   *usage
	// receiving holds the members to which ranges are moving.
	receiving map[NodeID]bool
	moving    int
}

func (p *Plan) newBalanceRound(d *Division) *balanceRound {
	s := &balanceRound{division: d, members: p.candidates(d.Service), usage: p.plannedUsage(d), receiving: make(map[NodeID]bool)}
	for i := range d.Ranges {
		if next := d.Ranges[i].NextOwner; next != "" {
			s.receiving[next] = true
			s.moving++
		}
	}
	return s
}

// busiest returns the busiest member from which keys can move. Hot keys that are moving to a
// member cannot move again yet; only its cold keys could. Keys of a member with a grant in doubt
// would be unserved for a whole hold.
func (p *Plan) busiest(s *balanceRound) (Member, bool) {
	for _, m := range slices.Backward(s.members) {
		if !s.receiving[m.ID] && !p.states[m.ID].GrantInDoubt {
			return m, true
		}
	}
	return Member{}, false
}

func (p *Plan) balanceOnce(s *balanceRound) bool {
	if len(s.members) < 2 {
		return false
	}
	u := s.usage
	slices.SortStableFunc(s.members, func(a, b Member) int { return cmp.Compare(u.utilization(a), u.utilization(b)) })
	idle := s.members[0]
	full, ok := p.busiest(s)
	if !ok {
		return false
	}
	gap := u.utilization(full) - u.utilization(idle)
	if gap < minGap || u.utilization(full) < minBusy {
		return false
	}
	// The idle member is filled only up to the mean, so that a run with the work of many
	// members is spread over many at once instead of being halved repeatedly.
	want := min(u.equalizing(full, idle), (u.mean(s.members)-u.utilization(idle))*u.capacity(idle))
	if want < minMoveWork {
		return false
	}
	best, from, to := p.hottestRun(s.division, full.ID, want)
	if best < 0 {
		return false
	}
	p.splitOff(s.division, best, from, to, idle.ID)
	work := p.loadsOf(s.division.Service).Sum(from, to)
	u.add(full.ID, -work)
	u.add(idle.ID, work)
	s.receiving[idle.ID] = true
	return true
}

// hottestRun returns the candidate run of an owner's keys with the most work, up to 1.5
// times the wanted work, and the index of its range. The index is negative when no run is
// worth a move.
func (p *Plan) hottestRun(d *Division, owner NodeID, want float64) (best int, from, to uint16) {
	l := p.loadsOf(d.Service)
	best = -1
	most := 0.0
	for i, r := range d.Ranges {
		if r.Owner != owner || r.NextOwner != "" {
			continue
		}
		for _, run := range l.candidateRuns(r.First, r.Last, want) {
			if work := l.Sum(run[0], run[1]); work >= minMoveWork && work <= 1.5*want && work > most {
				best, most, from, to = i, work, run[0], run[1]
			}
		}
	}
	return best, from, to
}

// splitOff splits the keys from first to last off a range and marks them as moving to
// next.
func (p *Plan) splitOff(d *Division, i int, first, last uint16, next NodeID) {
	r := d.Ranges[i]
	var out []Range
	if r.First < first {
		left := r
		left.Last = first - 1
		out = append(out, left)
	}
	middle := r
	middle.First, middle.Last, middle.NextOwner = first, last, next
	out = append(out, middle)
	if last < r.Last {
		right := r
		right.First = last + 1
		out = append(out, right)
	}
	d.Ranges = slices.Replace(d.Ranges, i, i+1, out...)
	p.changed = true
}
