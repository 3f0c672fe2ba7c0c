// Package overseer is the coordinator of a deployment: it renews the leases of the
// nodes and changes the table of owners. It is pure: no clock, no sockets. Its
// authority rests on conditional writes to the platform's store; while the store
// is away, on the echoes of a majority of the members.
package overseer

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// KeyWork is the work that a key brought since the last beat, in slot-seconds.
type KeyWork struct {
	Key  uint16  `json:"key"`
	Work float32 `json:"work"`
}

// Heartbeat is what a node tells the coordinator.
type Heartbeat struct {
	Member      partitioner.Member `json:"member"`
	Incarnation uint64             `json:"incarnation"`
	Epoch       uint64             `json:"epoch"`
	Version     uint64             `json:"version"`
	// Echo is the newest stamp that the node had from the coordinator of Epoch.
	Echo timer.Instant `json:"echo"`
	// Stopping says that the node stops; its backend server stays.
	Stopping bool `json:"stopping,omitempty"`
	// Cold says that the backend server bears only a trickle for now.
	Cold     bool                  `json:"cold,omitempty"`
	Released []partitioner.Release `json:"released,omitempty"`
	// GrantInDoubt says that a grant without an answer may still take effect, so that
	// a move away from the node would take a whole hold.
	GrantInDoubt bool      `json:"doubtful,omitempty"`
	Work         []KeyWork `json:"work,omitempty"`
	// Waiting and Running are the requests at the node's backend server.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// MeanDuration is the mean duration of the requests that ended there.
	MeanDuration time.Duration `json:"mean,omitempty"`
	// ConfigurationVersion is the configuration in force at the node.
	ConfigurationVersion uint64 `json:"configurationVersion,omitempty"`
	// Wait is how long the answer may be held back for a change.
	Wait time.Duration `json:"wait,omitempty"`
}

// ServerLoad is the load of the backend server beside a node.
type ServerLoad struct {
	Node         partitioner.NodeID `json:"node"`
	Running      int                `json:"running"`
	Waiting      int                `json:"waiting"`
	MeanDuration time.Duration      `json:"mean"`
	Cold         bool               `json:"cold,omitempty"`
}

// HeartbeatReply is the coordinator's answer to a beat.
type HeartbeatReply struct {
	// IsCoordinator is false at a node that is not the coordinator.
	IsCoordinator bool          `json:"coordinates"`
	Epoch         uint64        `json:"epoch"`
	Stamp         timer.Instant `json:"stamp"`
	Lease         time.Duration `json:"lease"`
	// Table is the newest table, for a node that has none to which Delta applies.
	Table *partitioner.Table `json:"table,omitempty"`
	Delta *partitioner.Delta `json:"delta,omitempty"`
	Loads []ServerLoad       `json:"loads,omitempty"`
	// StoreDown says that the coordinator cannot write; a node that can may take over.
	StoreDown bool `json:"storeDown,omitempty"`
	// Configuration is the encoded configuration, when it is newer than the node's.
	Configuration []byte `json:"configuration,omitempty"`
	// ZonesOut are the zones that operators took out, as the store listed them at
	// ZonesRevision.
	ZonesOut      []string `json:"zonesOut,omitempty"`
	ZonesRevision uint64   `json:"zonesRevision,omitempty"`
	// ZonesFresh says that the coordinator has just read what operators want.
	ZonesFresh bool `json:"fresh,omitempty"`
}

// HasUpdate says whether the reply brings something new.
func (r HeartbeatReply) HasUpdate() bool {
	return r.Table != nil || r.Delta != nil || len(r.Configuration) > 0
}

// ProbeReply is the answer to the question whether a node hears its coordinator.
type ProbeReply struct {
	Epoch uint64 `json:"epoch"`
	// InContact says that the node heard the coordinator of Epoch lately.
	InContact bool `json:"heard"`
}
