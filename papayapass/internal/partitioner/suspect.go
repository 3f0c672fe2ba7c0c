package partitioner

import (
	"cmp"
	"slices"
)

// SuspectState is what is known of the requests with one fingerprint. Where two nodes know
// different states, the higher one is right.
type SuspectState int

// States of a suspect, in ascending order.
const (
	// Suspected means that a backend server ended while such a request ran there.
	Suspected SuspectState = iota + 1
	// Quarantined means that another one ended while a request that was suspected before it
	// started ran there.
	Quarantined
	// Cleared means that a backend server ran such a request to its end.
	Cleared
)

// String returns the state's name in logs.
func (s SuspectState) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Quarantined:
		return "quarantined"
	case Cleared:
		return "cleared"
	default:
		return "unknown"
	}
}

// Suspect is a fingerprint of requests that may end the backend servers that run them.
type Suspect struct {
	Fingerprint uint64       `json:"fingerprint"`
	State       SuspectState `json:"state"`
}

// SuspectState returns the state of a fingerprint in the table, or zero.
func (t *Table) SuspectState(fingerprint uint64) SuspectState {
	i, ok := slices.BinarySearchFunc(t.Suspects, fingerprint, func(s Suspect, f uint64) int { return cmp.Compare(s.Fingerprint, f) })
	if !ok {
		return 0
	}
	return t.Suspects[i].State
}
