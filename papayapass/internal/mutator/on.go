//go:build mutation

// Package mutator injects known faults into the lease protocol in builds with
// the tag mutation, so that tests can assert that the checks detect each fault.
package mutator

import "sync/atomic"

var active atomic.Int64

// Activate makes one fault the active one.
func Activate(f Fault) { active.Store(int64(f)) }

// Active reports whether a fault is active.
func Active(f Fault) bool { return Fault(active.Load()) == f }
