package assigner

import (
	"slices"
	"sort"

	"papayapass.dev/papayapass/internal/wirepb"
)

// FormatVersion is the table format that this program version writes.
const FormatVersion = 1

// Table is the ownership table of one cell: its voters, members and slices. A
// published table is immutable; changes are made to a clone.
type Table struct {
	cell          string
	epoch         Epoch
	version       uint64
	coordinator   NodeID
	votersVersion uint64
	voters        []NodeID
	members       []Member
	pools         []Pool
	writeID       string
}

// NewTable returns the first table of a cell, with one voter.
func NewTable(cell string, epoch Epoch, first Member) *Table {
	return &Table{
		cell: cell, epoch: epoch, version: 1, coordinator: first.id,
		votersVersion: 1, voters: []NodeID{first.id}, members: []Member{first},
	}
}

// Cell returns the name of the cell.
func (t *Table) Cell() string { return t.cell }

// Epoch returns the epoch of the coordinator that made the table.
func (t *Table) Epoch() Epoch { return t.epoch }

// Version returns the version, which increases with each change.
func (t *Table) Version() uint64 { return t.version }

// Coordinator returns the node that made the table.
func (t *Table) Coordinator() NodeID { return t.coordinator }

// VotersVersion returns the version of the voters, which increases with each
// change.
func (t *Table) VotersVersion() uint64 { return t.votersVersion }

// Voters returns the nodes of which a coordinator needs a majority. The caller
// must not modify the slice.
func (t *Table) Voters() []NodeID { return t.voters }

// Members returns the nodes of the cell, ordered by name. The caller must not
// modify the slice.
func (t *Table) Members() []Member { return t.members }

// Pools returns the divided pools, ordered by name. The caller must not modify
// the slice.
func (t *Table) Pools() []Pool { return t.pools }

// WriteID identifies the write that stored the table.
func (t *Table) WriteID() string { return t.writeID }

// Newer reports whether the table supersedes another.
func (t *Table) Newer(other *Table) bool {
	if t.epoch != other.epoch {
		return t.epoch > other.epoch
	}
	return t.version > other.version
}

// Member returns a member by name.
func (t *Table) Member(id NodeID) (Member, bool) {
	i, ok := t.findMember(id)
	if !ok {
		return Member{}, false
	}
	return t.members[i], true
}

// Pool returns a divided pool by name.
func (t *Table) Pool(name string) (Pool, bool) {
	for _, p := range t.pools {
		if p.name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Lookup returns the slice of a pool that contains a point.
func (t *Table) Lookup(pool string, point uint64) (Slice, bool) {
	p, ok := t.Pool(pool)
	if !ok || p.Len() == 0 {
		return Slice{}, false
	}
	return p.slices[p.Find(point)], true
}

// Last returns the last point of the slice that contains start, or start itself
// if the pool is unknown or empty.
func (t *Table) Last(pool string, start uint64) uint64 {
	p, ok := t.Pool(pool)
	if !ok || p.Len() == 0 {
		return start
	}
	return p.Last(p.Find(start))
}

// IsVoter reports whether a node is a voter.
func (t *Table) IsVoter(id NodeID) bool { return slices.Contains(t.voters, id) }

// Clone returns a copy that can be changed.
func (t *Table) Clone() *Table {
	c := *t
	c.voters = slices.Clone(t.voters)
	c.members = slices.Clone(t.members)
	c.pools = make([]Pool, len(t.pools))
	for i, p := range t.pools {
		c.pools[i] = p.clone()
	}
	return &c
}

// SetVersion sets the epoch, coordinator and version of a changed clone.
func (t *Table) SetVersion(epoch Epoch, coordinator NodeID, version uint64) {
	t.epoch = epoch
	t.coordinator = coordinator
	t.version = version
}

// SetWriteID sets the identifier of one write to the platform.
func (t *Table) SetWriteID(id string) { t.writeID = id }

// voterChangesPerEpoch is the maximum number of voter changes within one epoch.
const voterChangesPerEpoch = 1 << 16

// SetVoters replaces the voters. Voter versions of a later epoch exceed those
// of earlier epochs, so two coordinators never assign the same version.
func (t *Table) SetVoters(epoch Epoch, voters []NodeID) {
	t.voters = slices.Clone(voters)
	t.votersVersion = max(t.votersVersion+1, uint64(epoch)*voterChangesPerEpoch)
}

// ClearMoves cancels all pending moves.
func (t *Table) ClearMoves() {
	for _, p := range t.pools {
		for i := range p.slices {
			p.slices[i].next, p.slices[i].nextToken = "", 0
		}
	}
}

// ClearOwners removes the owners of all slices. Each becomes the standby of its
// slice, which makes it the first choice for the next assignment.
func (t *Table) ClearOwners() {
	for _, p := range t.pools {
		for i := range p.slices {
			s := &p.slices[i]
			if s.owner != "" {
				s.standby = s.owner
			}
			s.owner = ""
		}
	}
}

// SetMember adds or replaces a member.
func (t *Table) SetMember(m Member) {
	i, ok := t.findMember(m.id)
	if ok {
		t.members[i] = m
		return
	}
	t.members = slices.Insert(t.members, i, m)
}

// RemoveMember removes a member.
func (t *Table) RemoveMember(id NodeID) {
	if i, ok := t.findMember(id); ok {
		t.members = slices.Delete(t.members, i, i+1)
	}
}

func (t *Table) findMember(id NodeID) (int, bool) {
	i := sort.Search(len(t.members), func(i int) bool { return t.members[i].id >= id })
	return i, i < len(t.members) && t.members[i].id == id
}

// Encode returns the wire message for a table.
func Encode(t *Table) *wirepb.Table {
	m := &wirepb.Table{
		Format:        FormatVersion,
		Cell:          t.cell,
		Epoch:         uint64(t.epoch),
		Version:       t.version,
		Coordinator:   string(t.coordinator),
		VotersVersion: t.votersVersion,
		WriteId:       t.writeID,
	}
	for _, v := range t.voters {
		m.Voters = append(m.Voters, string(v))
	}
	for _, member := range t.members {
		m.Members = append(m.Members, encodeMember(member))
	}
	for _, p := range t.pools {
		m.Pools = append(m.Pools, encodePool(p.name, p.slices))
	}
	return m
}

// Decode returns the table described by a wire message.
func Decode(m *wirepb.Table) *Table {
	t := &Table{
		cell:          m.GetCell(),
		epoch:         Epoch(m.GetEpoch()),
		version:       m.GetVersion(),
		coordinator:   NodeID(m.GetCoordinator()),
		votersVersion: m.GetVotersVersion(),
		writeID:       m.GetWriteId(),
	}
	for _, v := range m.GetVoters() {
		t.voters = append(t.voters, NodeID(v))
	}
	for _, member := range m.GetMembers() {
		t.SetMember(decodeMember(member))
	}
	for _, p := range m.GetPools() {
		t.pools = append(t.pools, decodePool(p))
	}
	return t
}

func encodePool(name string, list []Slice) *wirepb.Pool {
	m := &wirepb.Pool{Name: name, Slices: make([]*wirepb.Slice, 0, len(list))}
	for _, s := range list {
		m.Slices = append(m.Slices, encodeSlice(s))
	}
	return m
}

func decodePool(m *wirepb.Pool) Pool {
	p := Pool{name: m.GetName(), slices: make([]Slice, 0, len(m.GetSlices()))}
	for _, s := range m.GetSlices() {
		p.slices = append(p.slices, decodeSlice(s))
	}
	slices.SortFunc(p.slices, func(a, b Slice) int {
		if a.start < b.start {
			return -1
		}
		return 1
	})
	return p
}
