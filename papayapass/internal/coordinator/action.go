// Package coordinator decides for a cell: which node holds a lease, who owns
// each slice and when that changes. It is pure: messages, instants and results
// of writes go in, actions come out.
package coordinator

import (
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
)

// Action is what a coordinator wants done: Send, Store or Resign.
type Action interface {
	isAction()
}

// Send is a message to a node of the cell.
type Send struct {
	to      assigner.NodeID
	message proto.Message
}

// To returns the receiver.
func (s Send) To() assigner.NodeID { return s.to }

// Message returns the message.
func (s Send) Message() proto.Message { return s.message }

// Store is a write of the table to the platform; its result is due.
type Store struct {
	table *assigner.Table
}

// Table returns the table to write.
func (s Store) Table() *assigner.Table { return s.table }

// Resign ends the coordinator's role.
type Resign struct {
	reason string
}

// Reason says why, for the log.
func (r Resign) Reason() string { return r.reason }

func (Send) isAction()   {}
func (Store) isAction()  {}
func (Resign) isAction() {}
