// Package hasher maps keys to the 64-bit hash space that is divided into slices.
package hasher

import "github.com/cespare/xxhash/v2"

// Key returns the hash of a key.
func Key(key []byte) uint64 {
	return xxhash.Sum64(key)
}

// KeyString returns the hash of a key given as a string.
func KeyString(key string) uint64 {
	return xxhash.Sum64String(key)
}
