// Package reporter serves the status port: announcements, status, metrics and
// health checks.
package reporter

import (
	"strconv"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/limiter"
)

// Status is the JSON form of a node's status.
type Status struct {
	Node                 string       `json:"node"`
	Zone                 string       `json:"zone"`
	Cell                 string       `json:"cell"`
	Epoch                uint64       `json:"epoch"`
	Coordinator          string       `json:"coordinator"`
	IsCoordinator        bool         `json:"coordinates"`
	PlatformDown         bool         `json:"platformDown"`
	Quiet                bool         `json:"quiet"`
	LeaseLeftMillis      int64        `json:"leaseLeftMillis"`
	TableVersion         uint64       `json:"tableVersion"`
	ConfigurationVersion uint64       `json:"configurationVersion"`
	ZonesOut             []string     `json:"zonesOut"`
	ServersOut           []string     `json:"serversOut"`
	Running              int          `json:"running"`
	Waiting              int          `json:"waiting"`
	Allowance            int          `json:"allowance"`
	PeakRunning          int          `json:"peakRunning"`
	ControlBytes         uint64       `json:"controlBytes"`
	Nodes                []NodeStatus `json:"nodes"`
	Pools                []PoolStatus `json:"pools"`
	Moves                []MoveStatus `json:"moves"`
}

// NodeStatus is the status of a node of the cell. Only the coordinator knows the
// configuration version and the silence, which are zero elsewhere.
type NodeStatus struct {
	Node                 string `json:"node"`
	Zone                 string `json:"zone"`
	StatusAddress        string `json:"statusAddress"`
	Pool                 string `json:"pool"`
	Server               string `json:"server"`
	Slots                uint32 `json:"slots"`
	Allowance            uint32 `json:"allowance"`
	Lost                 bool   `json:"lost"`
	OutOfService         bool   `json:"out"`
	Voter                bool   `json:"voter"`
	Slices               int    `json:"slices"`
	ConfigurationVersion uint64 `json:"configurationVersion"`
	SilenceMillis        int64  `json:"silenceMillis"`
}

// PoolStatus counts the slices of a divided (sharded by key) pool.
type PoolStatus struct {
	Pool     string `json:"pool"`
	Slices   int    `json:"slices"`
	Unowned  int    `json:"unowned"`
	Moving   int    `json:"moving"`
	Standbys int    `json:"standbys"`
}

// MoveStatus is a change of a slice's owner.
type MoveStatus struct {
	AtUnixMillis int64  `json:"atUnixMillis"`
	Pool         string `json:"pool"`
	Start        string `json:"start"`
	From         string `json:"from"`
	To           string `json:"to"`
	Reason       string `json:"reason"`
}

func serverStateName(s assigner.ServerState) string {
	switch s {
	case assigner.ServerUp:
		return "up"
	case assigner.ServerDraining:
		return "draining"
	default:
		return "absent"
	}
}

func newStatus(s keeper.Status, u limiter.Usage) Status {
	v := s.View()
	out := Status{
		Node:                 string(v.Self()),
		Epoch:                uint64(v.Epoch()),
		Coordinator:          string(v.Coordinator()),
		IsCoordinator:        s.IsCoordinator(),
		PlatformDown:         s.StoreDown(),
		Quiet:                s.Quiet(),
		LeaseLeftMillis:      s.LeaseLeft().Milliseconds(),
		ConfigurationVersion: v.Configuration().GetVersion(),
		ZonesOut:             v.Configuration().GetZonesOut(),
		ServersOut:           v.Configuration().GetServersOut(),
		Running:              u.Running(),
		Waiting:              u.Waiting(),
		Allowance:            u.Limit(),
		PeakRunning:          u.Peak(),
	}
	for _, m := range s.Moves() {
		out.Moves = append(out.Moves, MoveStatus{
			AtUnixMillis: m.At().UnixMilli(), Pool: m.Pool(), Start: strconv.FormatUint(m.Start(), 16),
			From: string(m.From()), To: string(m.To()), Reason: m.Reason(),
		})
	}
	if t := v.Table(); t != nil {
		out.Cell = t.Cell()
		out.TableVersion = t.Version()
		out.Nodes = nodeStatuses(s, v, t)
		out.Pools = poolStatuses(t)
	}
	return out
}

func nodeStatuses(s keeper.Status, v *keeper.View, t *assigner.Table) []NodeStatus {
	owned := make(map[assigner.NodeID]int)
	for _, p := range t.Pools() {
		for i := range p.Len() {
			owned[p.At(i).Owner()]++
		}
	}
	var out []NodeStatus
	for _, m := range t.Members() {
		n := NodeStatus{
			Node: string(m.ID()), Zone: m.Zone(), StatusAddress: m.StatusAddress(),
			Pool: m.Server().Pool(), Server: serverStateName(m.Server().State()),
			Slots: m.Server().Slots(), Allowance: m.Server().Allowance(),
			Lost: m.Lost(), OutOfService: !v.Eligible(m) && m.Server().State() == assigner.ServerUp && !m.Lost(),
			Voter: t.IsVoter(m.ID()), Slices: owned[m.ID()],
		}
		for _, p := range s.Peers() {
			if p.ID() == m.ID() {
				n.ConfigurationVersion = p.Configuration()
				n.SilenceMillis = p.Silence().Milliseconds()
			}
		}
		out = append(out, n)
	}
	return out
}

func poolStatuses(t *assigner.Table) []PoolStatus {
	var out []PoolStatus
	for _, p := range t.Pools() {
		ps := PoolStatus{Pool: p.Name(), Slices: p.Len()}
		for i := range p.Len() {
			s := p.At(i)
			if s.Owner() == "" {
				ps.Unowned++
			}
			if s.Next() != "" {
				ps.Moving++
			}
			if s.Standby() != "" {
				ps.Standbys++
			}
		}
		out = append(out, ps)
	}
	return out
}
