package shedder

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minWait is how long a connection must have waited for its client before it may be shed, so that
	// many honest clients that come at the same time are not taken for a crowd.
	minWait = time.Second
	// honestRate is the rate of a body or an answer, in bytes per second, at which a connection is never shed.
	honestRate = 16 << 10
)

// Candidate is a connection of a listener whose memory or descriptors are short.
type Candidate struct {
	Phase Phase
	// Served is set if an earlier request on the connection was answered.
	Served bool
	// Held is what the connection holds of what is short.
	Held int64
	// Moved is the number of bytes of its body or answer while it waited for its client.
	Moved  int64
	Waited time.Duration
}

// Choose returns the indexes of the connections to close, in order, so that at least need is set free if
// that is possible. Connections that wait for the node, that move data or that have just come stay.
// Those with an answered request that are idle go last.
func Choose(list []Candidate, need int64) []int {
	var order []int
	for i, c := range list {
		if c.mayBeShed() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return list[a].compare(list[b]) })
	for n, i := range order {
		if need <= 0 {
			return order[:n]
		}
		need -= list[i].Held
	}
	return order
}

func (c Candidate) mayBeShed() bool {
	return c.Phase != Running && c.Held > 0 && c.Waited >= minWait && c.rate() < honestRate
}

// rate returns the rate at which data moves, in bytes per second.
func (c Candidate) rate() float64 { return float64(c.Moved) / max(c.Waited.Seconds(), 1) }

// compare orders candidates by their progress for what they hold; without progress, by what they hold
// and for how long.
func (c Candidate) compare(other Candidate) int {
	return cmp.Or(
		cmp.Compare(c.courtesy(), other.courtesy()),
		cmp.Compare(c.rate()/float64(c.Held), other.rate()/float64(other.Held)),
		cmp.Compare(float64(other.Held)*other.Waited.Seconds(), float64(c.Held)*c.Waited.Seconds()),
	)
}

// courtesy is 1 for idle connections of clients that have behaved.
func (c Candidate) courtesy() int {
	if c.Phase == Idle && c.Served {
		return 1
	}
	return 0
}
