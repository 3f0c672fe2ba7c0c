// Package coordinator decides for a cell which node has a lease, which node
// owns each slice and when that changes. It does no I/O: messages, times and
// write results go in, actions come out.
package coordinator

import (
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
)

// Action is an action that a coordinator requests: Send, Store or Resign.
type Action interface {
	isAction()
}

// Send sends a message to a node of the cell.
type Send struct {
	to      assigner.NodeID
	message proto.Message
}

// To returns the receiver.
func (s Send) To() assigner.NodeID { return s.to }

// Message returns the message.
func (s Send) Message() proto.Message { return s.message }

// Store writes the table to the platform. Its result must be passed to Stored.
type Store struct {
	table *assigner.Table
}

// Table returns the table to write.
func (s Store) Table() *assigner.Table { return s.table }

// Resign ends the coordinator's role.
type Resign struct {
	reason string
}

// Reason returns the reason for the log.
func (r Resign) Reason() string { return r.reason }

func (Send) isAction()   {}
func (Store) isAction()  {}
func (Resign) isAction() {}
