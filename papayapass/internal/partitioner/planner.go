package partitioner

import (
	"math"
	"slices"

	"papayapass.dev/papayapass/internal/mutator"
)

// Thresholds and limits of the planner.
const (
	// minGap is the least difference in utilization at which load moves.
	minGap = 0.2
	// minBusy is the utilization below which no load moves; above it, short queues form.
	minBusy = 0.5
	// baseConcurrentMoves limits how many ranges of one service move at a time to
	// balance load. A large service may move one range per membersPerMove members.
	baseConcurrentMoves = 4
	membersPerMove      = 3
	// lowUtilization and highUtilization are mean utilizations of a service: up to the
	// first, the speed of backend servers counts fully; from the second on, not at all.
	lowUtilization  = 0.4
	highUtilization = 0.7
	// minSpeed and maxSpeed bound a measured speed, which is inaccurate with few
	// requests.
	minSpeed = 0.6
	maxSpeed = 1.6
	// minMoveWork is the least work worth a move, in busy slots.
	minMoveWork = 0.3
	// partWork, in busy slots, and partKeys are the work and the number of keys of the
	// parts into which a range is split. Each part costs its owner one key request.
	partWork = 1.0
	partKeys = KeyCount / 64
	// maxOwnedRanges is the number of ranges of one member above which neighbouring ones are
	// joined under a new token. A response to a heartbeat holds about 160.
	maxOwnedRanges = 100
)

// MemberState is the coordinator's view of a member at the time of planning.
type MemberState struct {
	// LeaseExpired is set when no lease of the node can be valid any more.
	LeaseExpired bool
	// Silent is set when the node has sent no heartbeat recently.
	Silent bool
	// Excluded is set when operators took the instance's zone out of service.
	Excluded bool
	// WarmingUp is set while the backend server warms up and accepts only a low rate.
	WarmingUp bool
	// Speed is the measured speed of the backend server relative to the mean of its
	// service; zero means unknown.
	Speed float64
	// Capacity is the number of slots that the backend server can use under the rate limit
	// that it names; zero means all of them.
	Capacity float64
	// GrantInDoubt is set while keys would leave the node only after a whole hold.
	GrantInDoubt bool
	// PriorGrants is set while the backend server may hold keys by grants of an earlier process
	// of the node.
	PriorGrants bool
}

// Release is a range that its owner has released.
type Release struct {
	Service  string `json:"service"`
	First    uint16 `json:"first"`
	Last     uint16 `json:"last"`
	Token    uint64 `json:"token"`
	Handover string `json:"handover,omitempty"`
}

// Plan is one round of planning on a clone of the table.
type Plan struct {
	table   *Table
	states  map[NodeID]MemberState
	loads   map[string]*Loads
	freed   []FreedRange
	changed bool
}

// NewPlan starts a planning round.
func NewPlan(t *Table, states map[NodeID]MemberState, loads map[string]*Loads) *Plan {
	return &Plan{table: t.Clone(), states: states, loads: loads}
}

// Table returns the planned table.
func (p *Plan) Table() *Table { return p.table }

// Changed reports whether the round changed the table.
func (p *Plan) Changed() bool { return p.changed }

func (p *Plan) loadsOf(service string) *Loads {
	if l, ok := p.loads[service]; ok {
		return l
	}
	l := NewLoads()
	p.loads[service] = l
	return l
}

// eligible reports whether a member may receive keys of a service.
func (p *Plan) eligible(m Member, service string) bool {
	s := p.states[m.ID]
	return m.Server.Up() && m.Server.Service == service && !s.LeaseExpired && !s.Silent && !s.Excluded
}

// candidates returns the members that may receive keys of a service. Members whose
// backend servers are warming up are returned only when there are no others.
func (p *Plan) candidates(service string) []Member {
	var warm, all []Member
	for _, m := range p.table.Members {
		if !p.eligible(m, service) {
			continue
		}
		all = append(all, m)
		if !p.states[m.ID].WarmingUp {
			warm = append(warm, m)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return all
}

// Divide assigns all keys of a service that has no ranges yet, in proportion to the
// members' slots.
func (p *Plan) Divide(service string) {
	if _, ok := p.table.Division(service); ok {
		return
	}
	list := p.candidates(service)
	if len(list) == 0 {
		return
	}
	slots := 0
	for _, m := range list {
		slots += m.Server.Slots
	}
	d := Division{Service: service}
	given, first := 0, 0
	for _, m := range list {
		given += m.Server.Slots
		end := KeyCount*given/slots - 1
		if end < first {
			continue // the member's share is less than a key
		}
		r := Range{First: uint16(first), Last: uint16(end)}
		p.setOwner(&r, m)
		d.Ranges = append(d.Ranges, r)
		first = end + 1
	}
	p.table.Divisions = append(p.table.Divisions, d)
	p.changed = true
}

func (p *Plan) setOwner(r *Range, m Member) {
	r.Owner, r.Server, r.ServerStartedAtMillis, r.NextOwner = m.ID, m.Server.ID, m.Server.StartedAtMillis, ""
	if !mutator.Active(mutator.KeepTokenAcrossStart) || !p.hasFreed(m.ID, r.Token) {
		r.Token = p.table.nextToken()
	}
	p.changed = true
}

// FreeLost clears the owner of ranges whose owner can no longer hold them: its lease has
// expired or its backend server has restarted. Nobody can tell whether the next start got keys
// that an earlier process of the node meant for the former one, so that it keeps those, under
// new tokens, while grants of that process may be in force.
func (p *Plan) FreeLost() {
	for _, d := range p.table.Divisions {
		for i := range d.Ranges {
			r := &d.Ranges[i]
			if r.Owner == "" {
				continue
			}
			m, ok := p.table.Member(r.Owner)
			hasRestarted := ok && m.Server.ID != "" && !m.Server.SameStart(r.Server, r.ServerStartedAtMillis) && !p.states[r.Owner].Silent
			switch {
			case !ok || p.states[r.Owner].LeaseExpired:
				p.clearOwner(d.Service, r, "", FreeLeaseExpired)
			case hasRestarted && !p.states[r.Owner].PriorGrants:
				p.clearOwner(d.Service, r, "", FreeServerRestart)
			case hasRestarted && p.eligible(m, d.Service):
				p.clearOwner(d.Service, r, "", KeptByNextStart)
				p.setOwner(r, m)
			}
		}
	}
}

// Free clears the owner of the ranges of some members, which hold no keys any more.
func (p *Plan) Free(members []NodeID) {
	for _, d := range p.table.Divisions {
		for i := range d.Ranges {
			if r := &d.Ranges[i]; slices.Contains(members, r.Owner) {
				p.clearOwner(d.Service, r, "", FreeUnheard)
			}
		}
	}
}

// ApplyReleases clears the owners of ranges that they have released.
func (p *Plan) ApplyReleases(list []Release) {
	for _, rel := range list {
		for _, d := range p.table.Divisions {
			if d.Service != rel.Service {
				continue
			}
			i := d.Find(rel.First)
			r := &d.Ranges[i]
			if r.First != rel.First || r.Last != rel.Last || r.Token != rel.Token || r.Owner == "" {
				continue
			}
			p.clearOwner(d.Service, r, rel.Handover, FreeReleased)
		}
	}
}

// Assign assigns ranges without an owner to members, and splits large ones among
// several.
func (p *Plan) Assign() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		p.joinFree(d)
		u := p.plannedUsage(d)
		for i := 0; i < len(d.Ranges); i++ {
			if d.Ranges[i].Owner == "" {
				i += p.assign(d, i, u) - 1
			}
		}
	}
}

// assign assigns one free range and returns the number of ranges that it was split into.
func (p *Plan) assign(d *Division, i int, u *usage) int {
	r := d.Ranges[i]
	if next, ok := p.table.Member(r.NextOwner); ok && p.eligible(next, d.Service) {
		p.setOwner(&d.Ranges[i], next)
		u.add(next.ID, p.loadsOf(d.Service).Sum(r.First, r.Last))
		return 1
	}
	list := p.candidates(d.Service)
	if len(list) == 0 {
		return 1
	}
	parts := p.split(d.Service, r, p.partCount(d.Service, r, len(list)))
	for j := range parts {
		m := u.leastUtilized(list)
		p.setOwner(&parts[j], m)
		u.add(m.ID, p.loadsOf(d.Service).Sum(parts[j].First, parts[j].Last))
	}
	d.Ranges = slices.Replace(d.Ranges, i, i+1, parts...)
	return len(parts)
}

// partCount returns the number of parts into which a range is split: as many as its work
// or its size justifies, up to the number of members.
func (p *Plan) partCount(service string, r Range, members int) int {
	size := int(r.Last) - int(r.First) + 1
	n := max(int(math.Ceil(p.loadsOf(service).Sum(r.First, r.Last)/partWork)), size/partKeys)
	return min(max(n, 1), members)
}

// split divides a range into parts of about the same work.
func (p *Plan) split(service string, r Range, n int) []Range {
	l := p.loadsOf(service)
	want := l.Sum(r.First, r.Last) / float64(n)
	var out []Range
	first := r.First
	for len(out) < n-1 && first < r.Last {
		last := l.RunEnd(first, r.Last, want)
		if last == r.Last {
			break
		}
		out = append(out, Range{First: first, Last: last, Token: r.Token, Handover: r.Handover})
		first = last + 1
	}
	return append(out, Range{First: first, Last: r.Last, Token: r.Token, Handover: r.Handover})
}

// Evacuate marks the ranges of members that are excluded, or whose backend server is
// leaving or down, as moving to other members.
func (p *Plan) Evacuate() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		list := p.candidates(d.Service)
		if len(list) == 0 {
			continue
		}
		u := p.plannedUsage(d)
		for i := 0; i < len(d.Ranges); i++ {
			r := d.Ranges[i]
			if r.Owner == "" || r.NextOwner != "" {
				continue
			}
			m, _ := p.table.Member(r.Owner)
			known := m.Server.ID != "" || m.Server.Down
			if s := p.states[r.Owner]; !known || (m.Server.Up() && !s.Excluded) {
				continue
			}
			parts := p.split(d.Service, r, p.partCount(d.Service, r, len(list)))
			for j := range parts {
				parts[j].Owner, parts[j].Server, parts[j].ServerStartedAtMillis = r.Owner, r.Server, r.ServerStartedAtMillis
				next := u.leastUtilized(list)
				parts[j].NextOwner = next.ID
				u.add(next.ID, p.loadsOf(d.Service).Sum(parts[j].First, parts[j].Last))
			}
			d.Ranges = slices.Replace(d.Ranges, i, i+1, parts...)
			i += len(parts) - 1
			p.changed = true
		}
	}
}

// joinFree joins neighbouring ranges that have neither an owner nor handover data. After the
// loss of many members, the few that are left would otherwise get hundreds of ranges.
func (p *Plan) joinFree(d *Division) {
	isFree := func(r Range) bool { return r.Owner == "" && r.NextOwner == "" && r.Handover == "" }
	for i := 0; i+1 < len(d.Ranges); {
		a, b := d.Ranges[i], d.Ranges[i+1]
		if !isFree(a) || !isFree(b) {
			i++
			continue
		}
		a.Last, a.Token = b.Last, max(a.Token, b.Token)
		d.Ranges = slices.Replace(d.Ranges, i, i+2, a)
		p.changed = true
	}
}

// Compact joins neighbouring ranges of members that own more than maxOwnedRanges. Their
// backend server keeps the keys under the new token, which interrupts them for one grant.
func (p *Plan) Compact() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		owned := make(map[NodeID]int)
		for _, r := range d.Ranges {
			owned[r.Owner]++
		}
		for i := 0; i+1 < len(d.Ranges); {
			a, b := d.Ranges[i], d.Ranges[i+1]
			m, ok := p.table.Member(a.Owner)
			isJoined := ok && a.Owner == b.Owner && a.NextOwner == "" && b.NextOwner == "" &&
				m.Server.SameStart(a.Server, a.ServerStartedAtMillis) && m.Server.SameStart(b.Server, b.ServerStartedAtMillis)
			if !isJoined || owned[a.Owner] <= maxOwnedRanges {
				i++
				continue
			}
			a.Last, a.Handover = b.Last, ""
			p.setOwner(&a, m)
			d.Ranges = slices.Replace(d.Ranges, i, i+2, a)
			owned[a.Owner]--
		}
	}
}

// Merge joins neighbouring ranges of one owner and token that are not moving.
func (p *Plan) Merge() {
	for di := range p.table.Divisions {
		d := &p.table.Divisions[di]
		for i := 0; i+1 < len(d.Ranges); {
			a, b := d.Ranges[i], d.Ranges[i+1]
			if a.Owner == "" || a.Owner != b.Owner || a.Token != b.Token || a.NextOwner != "" || b.NextOwner != "" {
				i++
				continue
			}
			a.Last = b.Last
			d.Ranges = slices.Replace(d.Ranges, i, i+2, a)
			p.changed = true
		}
	}
}
