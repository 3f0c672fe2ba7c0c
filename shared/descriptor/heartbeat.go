package descriptor

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Heartbeat is the state that a backend server reports about itself.
type Heartbeat struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmUpRemaining is the remaining duration of the backend server's warm-up.
	WarmUpRemaining time.Duration
	// Sequence increases with each heartbeat since the start.
	Sequence int64
	// StartedAtMillis is the start time in Unix milliseconds; it differs after a restart.
	StartedAtMillis int64
	// Keys is nil if the backend server does not list its keys in heartbeats.
	Keys *KeyListing
}

// SameStart reports whether the heartbeat is of the backend server with the given id and
// start time.
func (h Heartbeat) SameStart(id string, at int64) bool {
	return h.ID == id && h.StartedAtMillis == at
}

// ServerNotice is what a backend server says about itself in a response.
type ServerNotice struct {
	// Limited is set when the backend server accepts only RateLimit requests per second
	// from all nodes together.
	Limited   bool    `json:"limited,omitempty"`
	RateLimit float64 `json:"rateLimit,omitempty"`
	// Leaving is set when the backend server is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Object is an object in the platform's store.
type Object struct {
	Name     string
	Revision uint64
	// Era is the store's era in the response with the object.
	Era    uint64
	Spec   json.RawMessage
	Status json.RawMessage
}

// Listing is all objects of a kind, as of a state of the store.
type Listing struct {
	Objects []Object
	State   StoreState
	// Rejected has an error for each object that cannot be decoded.
	Rejected []error
}

// StoreState is a state of the store. The era rises when the store is restored from an older
// copy, and revisions of different eras cannot be compared.
type StoreState struct {
	Era      uint64
	Revision uint64
}

// Before reports whether the state is earlier than another.
func (s StoreState) Before(other StoreState) bool {
	if s.Era != other.Era {
		return s.Era < other.Era
	}
	return s.Revision < other.Revision
}

// Errors of the store. After any other error, a write is in doubt.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another revision or already exists.
	ErrConflict = errors.New("object has another revision")
	// ErrMalformed means that the object cannot be decoded; the store itself works.
	ErrMalformed = errors.New("object cannot be decoded")
	// ErrRejected means that the store rejected the call without any effect.
	ErrRejected = errors.New("store rejected the call")
)
