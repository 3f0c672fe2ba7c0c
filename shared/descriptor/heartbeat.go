package descriptor

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmUpRemaining is how much longer the backend server stays cold.
	WarmUpRemaining time.Duration
	// Sequence grows with each heartbeat of one life.
	Sequence int64
	// StartedAtMillis is the Unix millisecond of the start; it tells lives apart.
	StartedAtMillis int64
}

// Object is a stored object of the platform's store.
type Object struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Errors of the store. All others leave open whether a write took effect.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another revision, or exists already.
	ErrConflict = errors.New("object has another revision")
	// ErrRejected means that the store did nothing.
	ErrRejected = errors.New("store rejected the call")
)
