package partitioner

// usage is the planned work of each member, in busy slots.
type usage struct {
	work map[NodeID]float64
	// weight is how much a slot of a member counts; one unless it is set.
	weight map[NodeID]float64
}

func (p *Plan) utilization(d *Division) *usage {
	u := &usage{work: make(map[NodeID]float64), weight: make(map[NodeID]float64)}
	l := p.load(d.Service)
	for _, r := range d.Ranges {
		owner := r.Owner
		if r.NextOwner != "" {
			owner = r.NextOwner
		}
		u.add(owner, l.Sum(r.First, r.Last))
	}
	p.weigh(u, p.candidates(d.Service))
	return u
}

// weigh favours fast backend servers while there is room: the same request is late
// at a slow one. In an overload all slots count the same.
func (p *Plan) weigh(u *usage, list []Member) {
	if len(list) == 0 {
		return
	}
	favour := min(max((crowded-u.mean(list))/(crowded-roomy), 0), 1)
	for _, m := range list {
		if s := p.standings[m.ID].Speed; s > 0 {
			u.weight[m.ID] = 1 + favour*(min(max(s, slowest), fastest)-1)
		}
	}
}

func (u *usage) add(id NodeID, work float64) { u.work[id] += work }

func (u *usage) of(m Member) float64 {
	slots := float64(max(m.Server.Slots, 1))
	if w := u.weight[m.ID]; w > 0 {
		slots *= w
	}
	return u.work[m.ID] / slots
}

// mean returns the mean utilization of members.
func (u *usage) mean(list []Member) float64 {
	sum := 0.0
	for _, m := range list {
		sum += u.of(m)
	}
	return sum / float64(len(list))
}

func (u *usage) least(list []Member) Member {
	best := list[0]
	for _, m := range list[1:] {
		if u.of(m) < u.of(best) {
			best = m
		}
	}
	return best
}
