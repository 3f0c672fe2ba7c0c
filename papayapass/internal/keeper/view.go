// Package keeper runs the lease protocol of one node. It feeds messages, time
// and write results to the protocol, performs the actions that it requests, and
// publishes a view for the goroutines that route requests.
package keeper

import (
	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// View is an immutable snapshot of the node's protocol state.
type View struct {
	self          assigner.NodeID
	epoch         assigner.Epoch
	coordinator   assigner.NodeID
	table         *assigner.Table
	leaseUntil    timer.Instant
	configuration *wirepb.Configuration
	restriction   assigner.Restriction
	changed       chan struct{}
}

// NewView returns the view of a node with a table, a lease and a configuration.
func NewView(self assigner.NodeID, t *assigner.Table, leaseUntil timer.Instant, cfg *wirepb.Configuration) *View {
	return &View{
		self: self, epoch: t.Epoch(), coordinator: t.Coordinator(), table: t, leaseUntil: leaseUntil,
		configuration: cfg, restriction: assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut()),
		changed: make(chan struct{}),
	}
}

// Self returns the node's own name.
func (v *View) Self() assigner.NodeID { return v.self }

// Epoch returns the highest epoch that the node has joined.
func (v *View) Epoch() assigner.Epoch { return v.epoch }

// Coordinator returns the coordinator that the node follows.
func (v *View) Coordinator() assigner.NodeID { return v.coordinator }

// Table returns the table in force, or nil.
func (v *View) Table() *assigner.Table { return v.table }

// LeaseUntil returns the instant at which the node's lease ends.
func (v *View) LeaseUntil() timer.Instant { return v.leaseUntil }

// Configuration returns the configuration in force.
func (v *View) Configuration() *wirepb.Configuration { return v.configuration }

// Changed returns a channel that is closed when a later view has another table
// or configuration.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Slice returns the slice that contains a point.
func (v *View) Slice(pool string, point uint64) (assigner.Slice, bool) {
	if v.table == nil {
		return assigner.Slice{}, false
	}
	return v.table.Lookup(pool, point)
}

// Eligible reports whether a member may be assigned new slices.
func (v *View) Eligible(m assigner.Member) bool { return v.restriction.Eligible(m) }
