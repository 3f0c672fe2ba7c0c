package descriptor

import "time"

// GrantMethod is how the backend servers of a divided service get their keys.
type GrantMethod string

// Grant methods.
const (
	// GrantByCall means that the node calls the backend server for each grant and release.
	GrantByCall GrantMethod = "call"
	// GrantByHeartbeat means that the response to a heartbeat lists all keys that the
	// backend server is to hold.
	GrantByHeartbeat GrantMethod = "heartbeat"
)

// HeldRange is a range of keys that a backend server reports as held, or still working on.
type HeldRange struct {
	First, Last uint16
	Token       uint64
}

// ReleasedRange is a range of keys that a backend server reports as released.
type ReleasedRange struct {
	First, Last uint16
	Handover    string
}

// KeyListing is what a heartbeat says about keys, with ranges in ascending order.
type KeyListing struct {
	// Held covers all keys that the backend server holds.
	Held []HeldRange
	// Released covers the keys released since the last acknowledged heartbeat.
	Released []ReleasedRange
}

// GrantedRange is a range of keys that a backend server is to hold.
type GrantedRange struct {
	First, Last uint16
	Token       uint64
	Handover    string
}

// KeyGrants is the whole set of keys that a backend server is to hold, counted from when
// it sent the heartbeat. It releases all others.
type KeyGrants struct {
	Ranges []GrantedRange
	Hold   time.Duration
}

// HeartbeatReply is the response to a backend server's heartbeat.
type HeartbeatReply struct {
	// Grants is nil in a response that leaves all keys as they are.
	Grants *KeyGrants
}
