//go:build mutation

// Package mutator plants known faults into the lease protocol in builds with
// the tag mutation, so that a test can assert that the checks catch each.
package mutator

import "sync/atomic"

var planted atomic.Int64

// Plant makes one fault active.
func Plant(f Fault) { planted.Store(int64(f)) }

// Active says whether a fault is planted.
func Active(f Fault) bool { return Fault(planted.Load()) == f }
