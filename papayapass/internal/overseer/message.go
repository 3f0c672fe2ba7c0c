// Package overseer implements the coordinator of a deployment: it renews the leases of
// the nodes and updates the ownership table. It is pure: no clock, no sockets. The
// coordinator's authority rests on conditional writes to the platform's store and,
// during an outage of the store, on stamps that a majority of the members echo.
package overseer

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// KeyWork is the work that a key caused since the last heartbeat, in slot-seconds.
type KeyWork struct {
	Key  uint16  `json:"key"`
	Work float32 `json:"work"`
}

// Heartbeat is the report that a node sends to the coordinator.
type Heartbeat struct {
	Member      partitioner.Member `json:"member"`
	Incarnation uint64             `json:"incarnation"`
	// Uptime is the time since the start of the process.
	Uptime  time.Duration `json:"uptime,omitempty"`
	Epoch   uint64        `json:"epoch"`
	Version uint64        `json:"version"`
	// Echo is the newest stamp that the node received from the coordinator of Epoch.
	Echo timer.Instant `json:"echo"`
	// Stopping is set when the node shuts down; its backend server keeps running.
	Stopping bool `json:"stopping,omitempty"`
	// WarmingUp is set while the backend server warms up and accepts only a low rate.
	WarmingUp bool                  `json:"cold,omitempty"`
	Released  []partitioner.Release `json:"released,omitempty"`
	// GrantInDoubt is set while a grant without an answer may still take effect; a move
	// away from the node then takes as long as the whole hold of the grant.
	GrantInDoubt bool      `json:"doubtful,omitempty"`
	Work         []KeyWork `json:"work,omitempty"`
	// Suspects are what the node knows of requests that may end backend servers, and the
	// table does not say yet.
	Suspects []partitioner.Suspect `json:"suspects,omitempty"`
	// Running counts the requests at the node's backend server, Waiting those queued.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// MeanDuration is the mean duration of the requests that ended there.
	MeanDuration time.Duration `json:"mean,omitempty"`
	// RateLimit is the limit that the backend server names, in requests per second; zero
	// means none.
	RateLimit float64 `json:"rateLimit,omitempty"`
	// ConfigurationVersion is the version of the configuration that the node uses.
	ConfigurationVersion uint64 `json:"configurationVersion,omitempty"`
	// Wait is how long the reply may be delayed until there is a change to send.
	Wait time.Duration `json:"wait,omitempty"`
}

// startedBy returns when the sender's process says that it started at the latest, at the arrival of
// a heartbeat. A negative uptime counts as none.
func (h Heartbeat) startedBy(now timer.Instant) timer.Instant {
	return now.Add(-(max(0, h.Uptime) / 100 * (100 - clockDriftPercent)))
}

// ServerLoad returns the load of the sender's backend server.
func (h Heartbeat) ServerLoad() ServerLoad {
	return ServerLoad{
		Node: h.Member.ID, Running: h.Running, Waiting: h.Waiting, MeanDuration: h.MeanDuration, WarmingUp: h.WarmingUp, RateLimit: h.RateLimit,
	}
}

// ServerLoad is the load of a node's local backend server.
type ServerLoad struct {
	Node         partitioner.NodeID `json:"node"`
	Running      int                `json:"running"`
	Waiting      int                `json:"waiting"`
	MeanDuration time.Duration      `json:"mean"`
	WarmingUp    bool               `json:"cold,omitempty"`
	// RateLimit is as in Heartbeat.
	RateLimit float64 `json:"rateLimit,omitempty"`
}

// Slots returns how many of a backend server's slots requests can use under its rate limit.
func (l ServerLoad) Slots(all int) float64 {
	if l.RateLimit <= 0 || l.MeanDuration <= 0 {
		return float64(all)
	}
	return min(float64(all), l.RateLimit*l.MeanDuration.Seconds())
}

// HeartbeatReply is the coordinator's reply to a heartbeat.
type HeartbeatReply struct {
	// IsCoordinator is false in the reply of a node that is not the coordinator.
	IsCoordinator bool `json:"coordinates"`
	// IsBlank is set while the coordinator's table is blank. A node that knows owners does not
	// follow it.
	IsBlank bool          `json:"blank,omitempty"`
	Epoch   uint64        `json:"epoch"`
	Stamp   timer.Instant `json:"stamp"`
	Lease   time.Duration `json:"lease"`
	// Table is the newest table, set when the node's is older and no Delta applies to it.
	Table *partitioner.Table `json:"table,omitempty"`
	Delta *partitioner.Delta `json:"delta,omitempty"`
	Loads []ServerLoad       `json:"loads,omitempty"`
	// StoreDown is set while the coordinator cannot write to the store; a node that can
	// write may take over.
	StoreDown bool `json:"storeDown,omitempty"`
	// TakeOver asks the node to take the coordinator's role, since its machine is larger.
	TakeOver bool `json:"takeOver,omitempty"`
	// Configuration is the encoded configuration, set when it is newer than the node's.
	Configuration []byte `json:"configuration,omitempty"`
	// ConfigurationAge is the greatest age of the coordinator's configuration, of ConfigurationVersion: no
	// newer one was acknowledged so long ago. The version is zero if the age is not known or not needed.
	ConfigurationAge     time.Duration `json:"configurationAge,omitempty"`
	ConfigurationVersion uint64        `json:"configurationVersion,omitempty"`
	// ZonesOut lists the zones that operators took out of service, as read from the
	// store at ZonesRevision of ZonesEra.
	ZonesOut      []string `json:"zonesOut,omitempty"`
	ZonesEra      uint64   `json:"zonesEra,omitempty"`
	ZonesRevision uint64   `json:"zonesRevision,omitempty"`
	// Suspects are the suspects that the table does not name yet, since they are new or the
	// store does not answer.
	Suspects []partitioner.Suspect `json:"suspects,omitempty"`
	// StoreFresh is set when the coordinator read the configuration and the zones recently.
	StoreFresh bool `json:"fresh,omitempty"`
}

// HasUpdate reports whether the reply carries a table, a delta or a configuration.
func (r HeartbeatReply) HasUpdate() bool {
	return r.Table != nil || r.Delta != nil || len(r.Configuration) > 0
}

// Version returns the version of the table that the reply brings, or zero if the node has the newest
// one. The lease counts only with that table.
func (r HeartbeatReply) Version() uint64 {
	switch {
	case r.Table != nil:
		return r.Table.Version
	case r.Delta != nil:
		return r.Delta.Version
	default:
		return 0
	}
}

// ProbeRequest asks a node whether it is in contact with its coordinator.
type ProbeRequest struct {
	// WantsTable asks for the node's table if it is newer than that of Epoch and Version.
	WantsTable bool   `json:"wantsTable,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	Version    uint64 `json:"version,omitempty"`
}

// ProbeReply is the reply to a ProbeRequest.
type ProbeReply struct {
	// Epoch is that of the last coordinator that the node followed since its start, or zero.
	Epoch uint64             `json:"epoch"`
	Table *partitioner.Table `json:"table,omitempty"`
	// HasLease is set while the node's lease is valid, so that no keys can have been taken
	// from it without its knowledge.
	HasLease bool `json:"hasLease,omitempty"`
	// InContact is set when the coordinator of Epoch replied to the node within
	// CoordinatorTimeout.
	InContact bool `json:"heard"`
}
