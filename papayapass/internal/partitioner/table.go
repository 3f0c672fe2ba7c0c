// Package partitioner defines the ownership table, which assigns the keys of each
// divided (sharded by key) service to backend servers, and plans its changes. It is
// pure: no clock, no sockets.
package partitioner

import (
	"slices"
	"sort"
)

// KeyCount is the number of keys of a divided service.
const KeyCount = 1 << 16

// LastKey is the last key of a divided service.
const LastKey = KeyCount - 1

// NodeID identifies a node and the instance that it runs on.
type NodeID string

// Server is the local backend server of a node.
type Server struct {
	ID              string `json:"id"`
	StartedAtMillis int64  `json:"born"`
	Service         string `json:"service"`
	Slots           int    `json:"slots"`
	Divided         bool   `json:"divided,omitempty"`
	// Leaving is set when the backend server gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// NodeStopping is set with Leaving if only the node stops.
	NodeStopping bool `json:"nodeStopping,omitempty"`
	// Down is set when the backend server does not respond.
	Down bool `json:"down,omitempty"`
}

// Up reports whether the backend server may own keys and get new work.
func (s Server) Up() bool { return s.ID != "" && !s.Leaving && !s.Down }

// SameStart reports whether the backend server has the given id and start time.
func (s Server) SameStart(id string, at int64) bool { return s.ID == id && s.StartedAtMillis == at }

// StartedAfter reports whether both backend servers are known and this one started later.
func (s Server) StartedAfter(other Server) bool {
	return s.ID != "" && other.ID != "" && s.StartedAtMillis > other.StartedAtMillis
}

// Member is a node's entry in the table.
type Member struct {
	ID      NodeID `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Cores is the processor share of the instance, in cores; zero if unknown.
	Cores  float64 `json:"cores,omitempty"`
	Server Server  `json:"server"`
}

// Range is a run of consecutive keys with one owner.
type Range struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
	// Owner is the node whose local backend server owns the range, or empty when there
	// is none.
	Owner                 NodeID `json:"owner,omitempty"`
	Server                string `json:"server,omitempty"`
	ServerStartedAtMillis int64  `json:"born,omitempty"`
	Token                 uint64 `json:"token"`
	Handover              string `json:"handover,omitempty"`
	// NextOwner is the node that the range is moving to.
	NextOwner NodeID `json:"next,omitempty"`
}

// Contains reports whether a key lies in the range.
func (r Range) Contains(key uint16) bool { return r.First <= key && key <= r.Last }

// Division is a divided service; its ranges cover all keys in ascending order.
type Division struct {
	Service string  `json:"service"`
	Ranges  []Range `json:"ranges"`
}

// Find returns the index of the range that contains a key.
func (d Division) Find(key uint16) int {
	return sort.Search(len(d.Ranges), func(i int) bool { return d.Ranges[i].Last >= key })
}

// Table is the ownership table of a deployment. A published table is never changed.
type Table struct {
	Epoch       uint64 `json:"epoch"`
	Version     uint64 `json:"version"`
	Coordinator NodeID `json:"coordinator"`
	Incarnation uint64 `json:"incarnation"`
	// HasOwnLease is set when the coordinator's node has no lease of an earlier term any
	// more, only the shorter one of its own term. FormerCoordinator is the coordinator of
	// the term before, if it was set then.
	HasOwnLease       bool   `json:"ownLease,omitempty"`
	FormerCoordinator NodeID `json:"former,omitempty"`
	// Era is the store's era in which the epoch began; zero if the store has none.
	Era uint64 `json:"era,omitempty"`
	// Founding says how the table was created, until it is certain that it names all members.
	Founding Founding `json:"founding,omitempty"`
	// Unheard are the members that could not be asked when the table was recovered after a
	// restore of the store. Until their leases have ended, no keys change hands.
	Unheard []NodeID `json:"unheard,omitempty"`
	// Suspects are fingerprints of requests that may end backend servers, in ascending order.
	Suspects  []Suspect  `json:"suspects,omitempty"`
	LastToken uint64     `json:"lastToken"`
	Members   []Member   `json:"members"`
	Divisions []Division `json:"divisions"`
	// QuotaShards are all shards of all groups in ascending order, or none.
	QuotaShards []QuotaShard `json:"quotaShards,omitempty"`
}

// Newer reports whether the table supersedes another. A blank table supersedes none that knows
// owners.
func (t *Table) Newer(other *Table) bool {
	if other == nil {
		return true
	}
	if t.IsBlank() != other.IsBlank() {
		return other.IsBlank()
	}
	if t.Epoch != other.Epoch {
		return t.Epoch > other.Epoch
	}
	return t.Version > other.Version
}

// Member returns the member with the given id.
func (t *Table) Member(id NodeID) (Member, bool) {
	i, ok := t.findMember(id)
	if !ok {
		return Member{}, false
	}
	return t.Members[i], true
}

func (t *Table) findMember(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(t.Members, id, func(m Member, id NodeID) int {
		switch {
		case m.ID < id:
			return -1
		case m.ID > id:
			return 1
		default:
			return 0
		}
	})
}

// SetMember adds or replaces a member; it must only be called on a clone.
func (t *Table) SetMember(m Member) {
	i, ok := t.findMember(m.ID)
	if ok {
		t.Members[i] = m
		return
	}
	t.Members = slices.Insert(t.Members, i, m)
}

// RemoveMember removes a member; it must only be called on a clone.
func (t *Table) RemoveMember(id NodeID) {
	if i, ok := t.findMember(id); ok {
		t.Members = slices.Delete(t.Members, i, i+1)
	}
}

// Division returns the division of a service.
func (t *Table) Division(service string) (Division, bool) {
	for _, d := range t.Divisions {
		if d.Service == service {
			return d, true
		}
	}
	return Division{}, false
}

// Range returns the range of a divided service that contains a key.
func (t *Table) Range(service string, key uint16) (Range, bool) {
	d, ok := t.Division(service)
	if !ok || len(d.Ranges) == 0 {
		return Range{}, false
	}
	return d.Ranges[d.Find(key)], true
}

// Owned returns the ranges that a node owns, grouped by service.
func (t *Table) Owned(id NodeID) []Range {
	var out []Range
	for _, d := range t.Divisions {
		for _, r := range d.Ranges {
			if r.Owner == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// TakesFrom reports whether the table takes keys or quota shards from a node that owned them in an
// earlier table, or gives them to it under another token.
func (t *Table) TakesFrom(earlier *Table, id NodeID) bool {
	if t.takesQuotaShards(earlier, id) {
		return true
	}
	for _, d := range earlier.Divisions {
		now, _ := t.Division(d.Service)
		for _, r := range d.Ranges {
			if r.Owner != id {
				continue
			}
			for i := now.Find(r.First); i < len(now.Ranges) && now.Ranges[i].First <= r.Last; i++ {
				if now.Ranges[i].Owner != id || now.Ranges[i].Token != r.Token {
					return true
				}
			}
		}
	}
	return false
}

// Clone returns a copy that may be changed.
func (t *Table) Clone() *Table {
	c := *t
	c.Unheard, c.Suspects = slices.Clone(t.Unheard), slices.Clone(t.Suspects)
	c.Members, c.QuotaShards = slices.Clone(t.Members), slices.Clone(t.QuotaShards)
	c.Divisions = make([]Division, len(t.Divisions))
	for i, d := range t.Divisions {
		c.Divisions[i] = Division{Service: d.Service, Ranges: slices.Clone(d.Ranges)}
	}
	return &c
}

func (t *Table) nextToken() uint64 {
	t.LastToken++
	return t.LastToken
}
