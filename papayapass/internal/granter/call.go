package granter

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

// Call is a key request, a grant or a release, to the backend server.
type Call struct {
	Release bool
	// Renewal is set for a grant of keys that the backend server certainly holds.
	Renewal  bool
	Service  string
	First    uint16
	Last     uint16
	Token    uint64
	Hold     time.Duration
	Handover string
	Sent     timer.Instant
	// Server and ServerStartedAtMillis are of the backend server that the call is meant for.
	Server                string
	ServerStartedAtMillis int64
}

// At returns the call as it is to be sent now: a hold counts from its arrival, and must not end
// later for the time that the call has waited. The second result is false if too little is left.
func (c Call) At(now timer.Instant) (Call, bool) {
	if c.Release {
		return c, true
	}
	c.Hold -= max(0, now.Sub(c.Sent))
	return c, c.Hold >= minHold
}

// Result is the outcome of a call.
type Result int

// Results of calls.
const (
	// Done means that the backend server has executed the call.
	Done Result = iota
	// Refused means that the backend server has seen a higher token.
	Refused
	// Unknown means that the call may still take effect.
	Unknown
	// NotDelivered means that the call did not reach the backend server.
	NotDelivered
	// Unreachable means the same, and that the backend server has ended: nothing accepts
	// connections, or another backend server does.
	Unreachable
	// Unconfirmed means the same, and that the backend server may have started again.
	Unconfirmed
)
