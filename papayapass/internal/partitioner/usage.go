package partitioner

// usage is the planned work of each member, in busy slots.
type usage struct {
	work map[NodeID]float64
	// capacities are in slots; a member that is not listed can use all of its slots.
	capacities map[NodeID]float64
}

func (p *Plan) plannedUsage(d *Division) *usage {
	u := &usage{work: make(map[NodeID]float64), capacities: make(map[NodeID]float64)}
	l := p.loadsOf(d.Service)
	for _, r := range d.Ranges {
		owner := r.Owner
		if r.NextOwner != "" {
			owner = r.NextOwner
		}
		u.add(owner, l.Sum(r.First, r.Last))
	}
	p.setCapacities(u, p.candidates(d.Service))
	return u
}

// setCapacities gives fast backend servers more capacity at low utilization, where a request
// may be late at a slow server but in time at a fast one. In an overload all slots weigh
// the same. A rate limit caps the capacity at any utilization.
func (p *Plan) setCapacities(u *usage, list []Member) {
	for _, m := range list {
		if limited := p.states[m.ID].Capacity; limited > 0 {
			u.capacities[m.ID] = min(limited, u.capacity(m))
		}
	}
	influence := min(max((highUtilization-u.mean(list))/(highUtilization-lowUtilization), 0), 1)
	for _, m := range list {
		s := p.states[m.ID]
		if s.Speed <= 0 {
			continue
		}
		u.capacities[m.ID] = float64(max(m.Server.Slots, 1)) * (1 + influence*(min(max(s.Speed, minSpeed), maxSpeed)-1))
		if s.Capacity > 0 {
			u.capacities[m.ID] = min(u.capacities[m.ID], s.Capacity)
		}
	}
}

func (u *usage) add(id NodeID, work float64) { u.work[id] += work }

func (u *usage) capacity(m Member) float64 {
	if c, ok := u.capacities[m.ID]; ok {
		return c
	}
	return float64(max(m.Server.Slots, 1))
}

func (u *usage) utilization(m Member) float64 { return u.work[m.ID] / u.capacity(m) }

// mean returns the utilization of the given members together.
func (u *usage) mean(list []Member) float64 {
	work, capacity := 0.0, 0.0
	for _, m := range list {
		work += u.work[m.ID]
		capacity += u.capacity(m)
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}

// equalizing returns the work that makes two members equally utilized when it moves from
// one to the other.
func (u *usage) equalizing(from, to Member) float64 {
	a, b := u.capacity(from), u.capacity(to)
	return (u.utilization(from) - u.utilization(to)) * a * b / (a + b)
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
