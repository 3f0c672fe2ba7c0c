package assigner

import (
	"slices"
	"sort"

	"papayapass.dev/papayapass/internal/wirepb"
)

// Slice is a range of a pool's hash space with its owner. It ends where the
// next slice starts.
type Slice struct {
	start     uint64
	owner     NodeID
	standby   NodeID
	token     Token
	next      NodeID
	nextToken Token
}

// Start returns the first point of the slice.
func (s Slice) Start() uint64 { return s.start }

// Owner returns the node whose backend server owns the slice, or "" if the
// slice has no owner.
func (s Slice) Owner() NodeID { return s.owner }

// Standby returns the node that becomes the owner when the current owner is
// lost.
func (s Slice) Standby() NodeID { return s.standby }

// Token returns the owner's fencing token.
func (s Slice) Token() Token { return s.token }

// Next returns the target of the pending move, or "" if there is none.
func (s Slice) Next() NodeID { return s.next }

// NextToken returns the fencing token for the target of the pending move.
func (s Slice) NextToken() Token { return s.nextToken }

// Pool is a divided pool (sharded by key). Its slices cover the hash space and
// are ordered by start.
type Pool struct {
	name   string
	slices []Slice
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Len returns the number of slices.
func (p Pool) Len() int { return len(p.slices) }

// At returns the slice at an index.
func (p Pool) At(i int) Slice { return p.slices[i] }

// Find returns the index of the slice that contains a point, or -1 if the pool
// is empty. The first slice starts at zero, so otherwise there always is one.
func (p Pool) Find(point uint64) int {
	return sort.Search(len(p.slices), func(i int) bool { return p.slices[i].start > point }) - 1
}

// Last returns the last point of the slice at an index.
func (p Pool) Last(i int) uint64 {
	if i+1 < len(p.slices) {
		return p.slices[i+1].start - 1
	}
	return ^uint64(0)
}

// divide returns slices of equal size that cover the hash space.
func divide(count int) []Slice {
	step := ^uint64(0)/uint64(count) + 1
	out := make([]Slice, count)
	for i := range out {
		out[i].start = uint64(i) * step
	}
	return out
}

func (p Pool) clone() Pool {
	return Pool{name: p.name, slices: slices.Clone(p.slices)}
}

func encodeSlice(s Slice) *wirepb.Slice {
	return &wirepb.Slice{
		Start:     s.start,
		Owner:     string(s.owner),
		Standby:   string(s.standby),
		Token:     uint64(s.token),
		Next:      string(s.next),
		NextToken: uint64(s.nextToken),
	}
}

func decodeSlice(m *wirepb.Slice) Slice {
	return Slice{
		start:     m.GetStart(),
		owner:     NodeID(m.GetOwner()),
		standby:   NodeID(m.GetStandby()),
		token:     Token(m.GetToken()),
		next:      NodeID(m.GetNext()),
		nextToken: Token(m.GetNextToken()),
	}
}
