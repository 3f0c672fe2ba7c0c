// Package placer chooses the backend server of a shared pool for a request. It is pure:
// no sockets, no clock, and its random numbers come from the caller.
package placer

import "time"

const (
	// farShare is what a request in another zone costs on top of its expected time,
	// in parts of its latency objective: bytes between zones are paid for.
	farShare = 0.25
	// herding is the random part of a cost, so that nodes with the same view do not
	// all choose the same server.
	herding = 0.2
	// usualMean is assumed where no request has ended anywhere yet.
	usualMean = 100 * time.Millisecond
	// crowding is how much longer work takes at a backend server with all slots busy.
	crowding = 0.5
	// coldFactor is how much longer a request is expected to take at a cold backend
	// server, which bears only a trickle.
	coldFactor = 3
)

// Candidate is a backend server that may get a request.
type Candidate struct {
	Slots int
	// Far says that it is in another zone.
	Far bool
	// Known says that its load has been reported; without a report it is taken to be
	// like the others.
	Known bool
	// Running and Waiting are the requests there, and Mean is how long they take.
	Running, Waiting int
	Mean             time.Duration
	Cold             bool
	// InFlight is the number of requests that this node has on their way there.
	InFlight int
}

// Detour returns what it costs to send a request to another zone: as long a wait in the
// own zone is no worse.
func Detour(objective time.Duration) time.Duration {
	return time.Duration(farShare * float64(objective))
}

// Cheapest returns the index of the candidate with the least expected time, a detour
// included; it is negative when there is none. Random returns numbers from 0 to 1.
func Cheapest(list []Candidate, objective time.Duration, random func() float64) int {
	usual := average(list)
	best, bestCost := -1, 0.0
	for i, c := range list {
		if !c.Known {
			c.Mean, c.Running, c.Waiting = usual.Mean, usual.Running*c.Slots/usual.Slots, usual.Waiting*c.Slots/usual.Slots
		}
		cost := c.expected(usual.Mean) * (1 + herding*random())
		if c.Far {
			cost += float64(Detour(objective))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// average returns a candidate like all whose load is known.
func average(list []Candidate) Candidate {
	sum := Candidate{Slots: 1, Mean: usualMean}
	measured := 0
	for _, c := range list {
		if !c.Known {
			continue
		}
		sum.Slots += c.Slots
		sum.Running += c.Running
		sum.Waiting += c.Waiting
		if c.Mean > 0 {
			sum.Mean += (c.Mean - sum.Mean) / time.Duration(measured+1)
			measured++
		}
	}
	return sum
}

// expected returns how long a request takes there, in nanoseconds.
func (c Candidate) expected(usual time.Duration) float64 {
	mean := c.Mean
	if mean == 0 {
		mean = usual
	}
	n, slots := float64(max(c.Running+c.Waiting, c.InFlight)), float64(max(c.Slots, 1))
	use := min(n/slots, 1)
	t := float64(mean) * (1 + crowding*use*use + max(0, n+1-slots)/slots)
	if c.Cold {
		t *= coldFactor
	}
	return t
}
