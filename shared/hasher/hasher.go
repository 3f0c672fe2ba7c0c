// Package hasher maps keys to points of the hash space that slices divide.
package hasher

import "github.com/cespare/xxhash/v2"

// Key returns the point of a key in the 64-bit hash space.
func Key(key []byte) uint64 {
	return xxhash.Sum64(key)
}

// KeyString returns the point of a key given as a string.
func KeyString(key string) uint64 {
	return xxhash.Sum64String(key)
}
