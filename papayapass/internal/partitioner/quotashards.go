package partitioner

import (
	"hash/fnv"
	"math"
	"slices"

	"papayapass.dev/papayapass/internal/mutator"
)

const (
	// QuotaGroups is the number of groups among which the limit of each customer is divided. The
	// loss of one accountant costs a customer the share of one group.
	QuotaGroups = 3
	// QuotaShardsPerGroup is the number of shards over which the customers of a group are hashed.
	QuotaShardsPerGroup = 16
)

// QuotaShard is a part of the customers whose charges in one group one node accounts for.
type QuotaShard struct {
	Group int `json:"group,omitempty"`
	Index int `json:"index,omitempty"`
	// Owner is the node that answers charges, or empty when there is none. Each owner has a token of
	// its own.
	Owner NodeID `json:"owner,omitempty"`
	Token uint64 `json:"token,omitempty"`
}

// QuotaShardOf returns the index of the shard of a customer in each group.
func QuotaShardOf(customer string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer)) // never fails
	return int(h.Sum32() % QuotaShardsPerGroup)
}

// QuotaShard returns a shard, if the table has any.
func (t *Table) QuotaShard(group, index int) (QuotaShard, bool) {
	i := group*QuotaShardsPerGroup + index
	if i >= len(t.QuotaShards) {
		return QuotaShard{}, false
	}
	return t.QuotaShards[i], true
}

// takesQuotaShards reports whether the table takes shards from a node that owned them in an earlier
// table, or gives them to it under another token.
func (t *Table) takesQuotaShards(earlier *Table, id NodeID) bool {
	for _, s := range earlier.QuotaShards {
		if now, _ := t.QuotaShard(s.Group, s.Index); s.Owner == id && now != s {
			return true
		}
	}
	return false
}

// setQuotaShard sets a shard; it must only be called on a clone.
func (t *Table) setQuotaShard(s QuotaShard) {
	t.addQuotaShards()
	t.QuotaShards[s.Group*QuotaShardsPerGroup+s.Index] = s
}

func (t *Table) addQuotaShards() {
	for i := len(t.QuotaShards); i < QuotaGroups*QuotaShardsPerGroup; i++ {
		t.QuotaShards = append(t.QuotaShards, QuotaShard{Group: i / QuotaShardsPerGroup, Index: i % QuotaShardsPerGroup})
	}
}

// AssignQuotaShards gives the shards an owner that have none, or whose owner cannot have a lease any
// more: it is not a member, its lease has expired, or it is one of the unheard members of a recovered
// table. A shard does not move from any other node.
func (p *Plan) AssignQuotaShards(unheard []NodeID) {
	candidates := p.quotaCandidates()
	zones := make([]string, 0, QuotaGroups)
	for _, m := range candidates {
		zones = append(zones, m.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	if len(p.table.QuotaShards) == 0 && len(candidates) == 0 {
		return
	}
	p.table.addQuotaShards()
	for i := range p.table.QuotaShards {
		s := &p.table.QuotaShards[i]
		_, isMember := p.table.Member(s.Owner)
		isLost := p.states[s.Owner].LeaseExpired || mutator.Active(mutator.ReassignShardOfSilentOwner) && p.states[s.Owner].Silent
		if isMember && !isLost && !slices.Contains(unheard, s.Owner) {
			continue
		}
		if s.Owner != "" {
			s.Owner, p.changed = "", true
		}
		if len(candidates) > 0 {
			s.Owner = weighQuotaOwners(candidates, zones[s.Group%len(zones)], s.Group, s.Index)
			s.Token = p.table.nextToken()
			p.changed = true
		}
	}
}

// quotaCandidates returns the members that may get shards: those that are heard, do not stop, and
// preferably are in no zone out of service.
func (p *Plan) quotaCandidates() []Member {
	var all, inService []Member
	for _, m := range p.table.Members {
		s := p.states[m.ID]
		if s.LeaseExpired || s.Silent || m.Server.NodeStopping {
			continue
		}
		all = append(all, m)
		if !s.Excluded {
			inService = append(inService, m)
		}
	}
	if len(inService) > 0 {
		return inService
	}
	return all
}

// weighQuotaOwners returns the owner of a shard by rendezvous hashing, weighted by processor shares,
// among the candidates of a zone.
func weighQuotaOwners(candidates []Member, zone string, group, index int) NodeID {
	var best NodeID
	bestScore := math.Inf(-1)
	for _, m := range candidates {
		if m.Zone != zone {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte{byte(group), byte(index)}) // never fails
		_, _ = h.Write([]byte(m.ID))
		weight := m.Cores
		if weight <= 0 {
			weight = 1
		}
		// The smallest of exponentially distributed values with rates as the weights wins.
		if score := math.Log(unit(h.Sum64())) / weight; score > bestScore {
			best, bestScore = m.ID, score
		}
	}
	return best
}

// unit maps a hash to a number above zero and below one.
func unit(h uint64) float64 {
	h ^= h >> 33 // FNV mixes the high bits of short inputs badly
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return (float64(h>>11) + 0.5) / (1 << 53)
}
