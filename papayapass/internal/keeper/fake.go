package keeper

import (
	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// NewView returns a view with a table and a lease, for tests of the threads that
// route requests.
func NewView(self assigner.NodeID, t *assigner.Table, leaseUntil timer.Instant, cfg *wirepb.Configuration) *View {
	return &View{
		self: self, epoch: t.Epoch(), coordinator: t.Coordinator(), table: t, leaseUntil: leaseUntil,
		configuration: cfg, restriction: assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut()),
		changed: make(chan struct{}),
	}
}
