//go:build mutation

// Package mutator plants known faults into the lease protocol in builds with
// the tag mutation, so that a test can assert that the checks catch each.
package mutator

import "sync/atomic"

var active atomic.Int64

// Activate makes one fault active.
func Activate(f Fault) { active.Store(int64(f)) }

// Active reports whether a fault is active.
func Active(f Fault) bool { return Fault(active.Load()) == f }
