// Package negotiator is the lease protocol of one node without its sockets and
// threads: holder, candidate and coordinator, fed with messages, instants and
// the results of writes. It is pure, so that tests can drive many of them
// through any schedule.
package negotiator

import (
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
)

// Action is what a negotiator wants done: Reply, SendNode, SendAddress, Store,
// Note or Moved.
type Action interface {
	isAction()
}

// Reply answers the message that was just taken, on the link it came on.
type Reply struct {
	message proto.Message
}

// Message returns the message.
func (a Reply) Message() proto.Message { return a.message }

// SendNode is a message to a node of the cell.
type SendNode struct {
	to      assigner.NodeID
	message proto.Message
}

// To returns the receiver.
func (a SendNode) To() assigner.NodeID { return a.to }

// Message returns the message.
func (a SendNode) Message() proto.Message { return a.message }

// SendAddress is a message to the node at an address.
type SendAddress struct {
	address string
	message proto.Message
}

// Address returns the IP address and port of the receiver.
func (a SendAddress) Address() string { return a.address }

// Message returns the message.
func (a SendAddress) Message() proto.Message { return a.message }

// Store is a write of a table to the platform; Stored takes its result.
type Store struct {
	table *assigner.Table
}

// Table returns the table to write.
func (a Store) Table() *assigner.Table { return a.table }

// LogEntry is something worth a line in the log.
type LogEntry struct {
	text   string
	reason string
	epoch  assigner.Epoch
}

// Text returns what happened.
func (a LogEntry) Text() string { return a.text }

// Reason returns why, or nothing.
func (a LogEntry) Reason() string { return a.reason }

// Epoch returns the epoch that it happened in.
func (a LogEntry) Epoch() assigner.Epoch { return a.epoch }

// TableChanged says that the node put a newer table into force.
type TableChanged struct {
	before *assigner.Table
	after  *assigner.Table
}

// Before returns the table that was in force, or nil.
func (a TableChanged) Before() *assigner.Table { return a.before }

// After returns the table in force.
func (a TableChanged) After() *assigner.Table { return a.after }

func (Reply) isAction()        {}
func (SendNode) isAction()     {}
func (SendAddress) isAction()  {}
func (Store) isAction()        {}
func (LogEntry) isAction()     {}
func (TableChanged) isAction() {}
