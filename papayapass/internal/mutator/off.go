//go:build !mutation

// Package mutator plants known faults into the lease protocol in builds with
// the tag mutation, so that a test can assert that the checks catch each.
package mutator

// Active reports whether a fault is planted. It is false, and costs nothing, in
// builds without the tag mutation.
func Active(Fault) bool { return false }
