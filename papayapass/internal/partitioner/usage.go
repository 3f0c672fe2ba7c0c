package partitioner

// usage is the planned work of each member, in busy slots.
type usage struct {
	work map[NodeID]float64
	// slotWeight is the weight of a member's slots; one where it is not set.
	slotWeight map[NodeID]float64
}

func (p *Plan) plannedUsage(d *Division) *usage {
	u := &usage{work: make(map[NodeID]float64), slotWeight: make(map[NodeID]float64)}
	l := p.loadsOf(d.Service)
	for _, r := range d.Ranges {
		owner := r.Owner
		if r.NextOwner != "" {
			owner = r.NextOwner
		}
		u.add(owner, l.Sum(r.First, r.Last))
	}
	p.setWeights(u, p.candidates(d.Service))
	return u
}

// setWeights gives fast backend servers more weight at low utilization, where a request
// may be late at a slow server but in time at a fast one. In an overload all slots weigh
// the same.
func (p *Plan) setWeights(u *usage, list []Member) {
	if len(list) == 0 {
		return
	}
	influence := min(max((highUtilization-u.mean(list))/(highUtilization-lowUtilization), 0), 1)
	for _, m := range list {
		if s := p.states[m.ID].Speed; s > 0 {
			u.slotWeight[m.ID] = 1 + influence*(min(max(s, minSpeed), maxSpeed)-1)
		}
	}
}

func (u *usage) add(id NodeID, work float64) { u.work[id] += work }

func (u *usage) utilization(m Member) float64 {
	slots := float64(max(m.Server.Slots, 1))
	if w := u.slotWeight[m.ID]; w > 0 {
		slots *= w
	}
	return u.work[m.ID] / slots
}

// mean returns the mean utilization of the given members.
func (u *usage) mean(list []Member) float64 {
	sum := 0.0
	for _, m := range list {
		sum += u.utilization(m)
	}
	return sum / float64(len(list))
}

func (u *usage) leastUtilized(list []Member) Member {
	best := list[0]
	for _, m := range list[1:] {
		if u.utilization(m) < u.utilization(best) {
			best = m
		}
	}
	return best
}
