package partitioner

import (
	"slices"
	"sort"
)

// Balance moves the hottest keys of the busiest backend servers to idle ones. It
// answers a stretch of neighbouring keys that takes a third of the traffic within
// a second: the shortest run with the wanted work goes first.
func (p *Plan) Balance() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		limit := max(movesAtOnce, len(p.candidates(d.Service))/membersPerMove)
		for moving := p.moving(d); moving < limit; moving++ {
			if !p.balance(d) {
				break
			}
		}
	}
}

func (p *Plan) moving(d *Division) int {
	n := 0
	for _, r := range d.Ranges {
		if r.Next != "" {
			n++
		}
	}
	return n
}

func (p *Plan) balance(d *Division) bool {
	list := p.candidates(d.Service)
	if len(list) < 2 {
		return false
	}
	u := p.utilization(d)
	sort.SliceStable(list, func(i, j int) bool { return u.of(list[i]) < u.of(list[j]) })
	idle, mean := list[0], u.mean(list)
	// Hot keys on their way to a member cannot move on yet: only its cold ones could.
	list = slices.DeleteFunc(list, func(m Member) bool { return receives(d, m.ID) })
	if len(list) == 0 {
		return false
	}
	full := list[len(list)-1]
	gap := u.of(full) - u.of(idle)
	if p.standings[full.ID].Doubtful || gap < spread || u.of(full) < busy {
		return false
	}
	// The idle member is filled up to the mean, so that a stretch with the work of
	// many members goes to many at once instead of being halved from one to the next.
	want := min(gap/2, mean-u.of(idle)) * float64(min(full.Server.Slots, idle.Server.Slots))
	if want < leastMove {
		return false
	}
	best, from, to := p.hottest(d, full.ID, want)
	if best < 0 {
		return false
	}
	p.carve(d, best, from, to, idle.ID)
	return true
}

// receives says whether ranges are moving to a member.
func receives(d *Division, id NodeID) bool {
	return slices.ContainsFunc(d.Ranges, func(r Range) bool { return r.Next == id })
}

// hottest returns the run of an owner's keys that comes closest to the wanted work,
// the shortest of its range, and the index of the range; it is negative when no run
// is worth a move.
func (p *Plan) hottest(d *Division, owner NodeID, want float64) (best int, from, to uint16) {
	l := p.load(d.Service)
	best = -1
	most := 0.0
	for i, r := range d.Ranges {
		if r.Owner != owner || r.Next != "" {
			continue
		}
		for _, run := range l.runs(r.First, r.Last, want) {
			if work := l.Sum(run[0], run[1]); work >= leastMove && work <= 1.5*want && work > most {
				best, most, from, to = i, work, run[0], run[1]
			}
		}
	}
	return best, from, to
}

// carve cuts the keys from first to last out of a range and lets them move.
func (p *Plan) carve(d *Division, i int, first, last uint16, next NodeID) {
	r := d.Ranges[i]
	var out []Range
	if r.First < first {
		left := r
		left.Last = first - 1
		out = append(out, left)
	}
	middle := r
	middle.First, middle.Last, middle.Next = first, last, next
	out = append(out, middle)
	if last < r.Last {
		right := r
		right.First = last + 1
		out = append(out, right)
	}
	d.Ranges = slices.Replace(d.Ranges, i, i+1, out...)
	p.changed = true
}
