package keeper

import (
	"time"

	"papayapass.dev/papayapass/internal/coordinator"
)

// Status is the state of the lease protocol at one node. Only a coordinator has
// the state of the other nodes.
type Status struct {
	view        *View
	coordinates bool
	storeDown   bool
	quiet       bool
	leaseLeft   time.Duration
	peers       []coordinator.PeerStatus
	moves       []Move
}

// View returns the node's view at that time.
func (s Status) View() *View { return s.view }

// IsCoordinator reports whether the node is the coordinator of its cell.
func (s Status) IsCoordinator() bool { return s.coordinates }

// StoreDown reports whether the last write failed or is in doubt, usually
// because the platform does not respond.
func (s Status) StoreDown() bool { return s.storeDown }

// Quiet reports whether the node is in its quiet period and confirms no
// coordinator yet.
func (s Status) Quiet() bool { return s.quiet }

// LeaseLeft returns the time until the node's lease ends.
func (s Status) LeaseLeft() time.Duration { return s.leaseLeft }

// Peers returns the coordinator's state of the nodes.
func (s Status) Peers() []coordinator.PeerStatus { return s.peers }

// Moves returns the recent changes of owners, oldest first.
func (s Status) Moves() []Move { return s.moves }
