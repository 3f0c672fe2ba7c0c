// Package negotiator implements the lease protocol of one node without I/O. It
// combines the node's holder, candidacy and coordinator, and takes messages,
// times and write results as input, so that tests can run many nodes through
// any schedule.
package negotiator

import (
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
)

// Action is an action that a negotiator requests: Reply, SendNode, SendAddress,
// Store, LogEntry or TableChanged.
type Action interface {
	isAction()
}

// Reply replies to the message just received, on the same link.
type Reply struct {
	message proto.Message
}

// Message returns the message.
func (a Reply) Message() proto.Message { return a.message }

// SendNode sends a message to a node of the cell.
type SendNode struct {
	to      assigner.NodeID
	message proto.Message
}

// To returns the receiver.
func (a SendNode) To() assigner.NodeID { return a.to }

// Message returns the message.
func (a SendNode) Message() proto.Message { return a.message }

// SendAddress sends a message to the node at an address.
type SendAddress struct {
	address string
	message proto.Message
}

// Address returns the IP address and port of the receiver.
func (a SendAddress) Address() string { return a.address }

// Message returns the message.
func (a SendAddress) Message() proto.Message { return a.message }

// Store writes a table to the platform. Its result must be passed to Stored.
type Store struct {
	table *assigner.Table
}

// Table returns the table to write.
func (a Store) Table() *assigner.Table { return a.table }

// LogEntry is an entry for the log.
type LogEntry struct {
	text   string
	reason string
	epoch  assigner.Epoch
}

// Text returns what happened.
func (a LogEntry) Text() string { return a.text }

// Reason returns the reason, or "" if there is none.
func (a LogEntry) Reason() string { return a.reason }

// Epoch returns the epoch in which it happened.
func (a LogEntry) Epoch() assigner.Epoch { return a.epoch }

// TableChanged reports that the node put a newer table into force.
type TableChanged struct {
	before *assigner.Table
	after  *assigner.Table
}

// Before returns the previous table, or nil.
func (a TableChanged) Before() *assigner.Table { return a.before }

// After returns the table now in force.
func (a TableChanged) After() *assigner.Table { return a.after }

func (Reply) isAction()        {}
func (SendNode) isAction()     {}
func (SendAddress) isAction()  {}
func (Store) isAction()        {}
func (LogEntry) isAction()     {}
func (TableChanged) isAction() {}
