package keeper

import (
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/wirepb"
)

// event is an input to the event loop.
type event interface {
	isEvent()
}

type receivedEvent struct {
	link    *messenger.Link
	message proto.Message
}

type storedEvent struct {
	table  *assigner.Table
	result coordinator.StoreResult
}

type readEvent struct {
	table *assigner.Table
	found bool
}

type configurationEvent struct {
	configuration *wirepb.Configuration
}

type serverEvent struct {
	server assigner.Server
}

type drainedEvent struct{}

type leaveEvent struct{}

type statusEvent struct {
	reply chan<- Status
}

func (receivedEvent) isEvent()      {}
func (storedEvent) isEvent()        {}
func (readEvent) isEvent()          {}
func (configurationEvent) isEvent() {}
func (serverEvent) isEvent()        {}
func (drainedEvent) isEvent()       {}
func (leaveEvent) isEvent()         {}
func (statusEvent) isEvent()        {}
