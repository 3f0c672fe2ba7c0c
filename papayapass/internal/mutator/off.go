//go:build !mutation

// Package mutator injects known faults into the lease protocol in builds with
// the tag mutation, so that tests can assert that the checks detect each fault.
package mutator

// Active reports whether a fault is active. It always returns false in builds
// without the tag mutation, at no run-time cost.
func Active(Fault) bool { return false }
