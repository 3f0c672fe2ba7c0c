// Package assigner holds the ownership table of a cell, which says which
// backend server owns which slice of each divided pool, and plans its changes.
package assigner

// Epoch numbers the terms of coordinators; it only increases.
type Epoch uint64

// Token is a fencing token. All tokens of an epoch exceed those of earlier
// epochs, so a coordinator need not know the tokens of its predecessors.
type Token uint64

const sequenceBits = 24

// MaxSequence is the largest sequence number of a token within one epoch.
const MaxSequence = 1<<sequenceBits - 1

// NewToken returns the token with a sequence number in an epoch.
func NewToken(epoch Epoch, sequence uint32) Token {
	return Token(uint64(epoch)<<sequenceBits | uint64(sequence&MaxSequence))
}

// Epoch returns the epoch in which the token was issued.
func (t Token) Epoch() Epoch { return Epoch(t >> sequenceBits) }
