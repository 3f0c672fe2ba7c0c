// Package assigner holds the assignment of a cell: which backend server owns
// which slice of each divided pool, and the rules by which that changes.
package assigner

// Epoch numbers the terms of coordinators; it only grows.
type Epoch uint64

// Token is a fencing token. Tokens of a later epoch are above all tokens of
// earlier ones, so a coordinator need not know what its predecessors gave out.
type Token uint64

const sequenceBits = 24

// MaxSequence is the number of tokens that one epoch can give out.
const MaxSequence = 1<<sequenceBits - 1

// NewToken returns the token of a sequence number within an epoch.
func NewToken(epoch Epoch, sequence uint32) Token {
	return Token(uint64(epoch)<<sequenceBits | uint64(sequence&MaxSequence))
}

// Epoch returns the epoch in which the token was given out.
func (t Token) Epoch() Epoch { return Epoch(t >> sequenceBits) }
