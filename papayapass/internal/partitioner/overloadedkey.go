package partitioner

// minFasterRatio is how many times as fast as its owner a backend server must be to get a key
// that overloads the owner. A fully used server measures as slower than it is, so a smaller
// ratio would move the key on and on among equal servers.
const minFasterRatio = 1.7

// MoveOverloadedKeys moves the hottest key of each division to the fastest backend server if the
// owner is much slower and the key alone has more work than the owner's slots. One key cannot be
// divided, so the speed of its owner decides how many of its requests are served.
func (p *Plan) MoveOverloadedKeys() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		key, work := p.loadsOf(d.Service).HottestKey()
		if len(d.Ranges) == 0 || work <= 0 {
			continue
		}
		i := d.Find(key)
		r := d.Ranges[i]
		owner, ok := p.table.Member(r.Owner)
		if !ok || r.NextOwner != "" || p.states[r.Owner].GrantInDoubt || work < float64(max(owner.Server.Slots, 1)) {
			continue
		}
		if next, ok := p.muchFaster(d, owner); ok {
			p.splitOff(d, i, key, key, next.ID)
		}
	}
}

// muchFaster returns the fastest member that may receive keys, has no rate limit and gets none
// yet, if it is at least minFasterRatio times as fast as the owner.
func (p *Plan) muchFaster(d *Division, owner Member) (Member, bool) {
	receiving := make(map[NodeID]bool)
	for _, r := range d.Ranges {
		receiving[r.NextOwner] = true
	}
	var best Member
	speed := minFasterRatio * p.states[owner.ID].Speed
	for _, m := range p.candidates(d.Service) {
		s := p.states[m.ID]
		if m.ID != owner.ID && s.Speed > 0 && s.Speed >= speed && s.Capacity == 0 && !receiving[m.ID] && m.Server.Slots >= owner.Server.Slots {
			best, speed = m, s.Speed
		}
	}
	return best, best.ID != "" && p.states[owner.ID].Speed > 0
}
