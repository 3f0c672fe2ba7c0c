// Package shedder decides which connections of a listener are closed: those that exceed a time limit, and,
// when memory or descriptors are short, those that make the least progress for what they hold.
package shedder

import "time"

// Phase is what a connection is waiting for.
type Phase int

// Phases of a connection.
const (
	Idle    Phase = iota // for the first byte of a request
	Head                 // for the rest of a head
	Body                 // for more of a body
	Running              // for the node; the client is not at fault
	Answer               // for the client to read
)

// Reason is why a connection is closed, or why a request is refused; empty if it is not.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonIdle     Reason = "idle"
	ReasonHeadTime Reason = "head-time"
	ReasonHeadSize Reason = "head-size"
	ReasonBody     Reason = "slow-body"
	ReasonAnswer   Reason = "slow-reader"
	ReasonShed     Reason = "shed"
	ReasonMemory   Reason = "memory"
	ReasonConns    Reason = "connections"
)

// Limits are the limits on each connection.
type Limits struct {
	HeadBytes int
	HeadTime  time.Duration
	IdleTime  time.Duration
}

const (
	// rateWindow is the time of waiting over which the rate of a body or an answer is measured.
	rateWindow = 10 * time.Second
	// minRate is the least rate of a body or an answer, in bytes per second.
	minRate = 1 << 10
	// headSlack is how much longer than its limit a head may take, for the way of its packets.
	headSlack = 2 * time.Second
	// idleSlackDivisor sets how much longer than its limit a connection may be idle, so that it is
	// not closed while a client uses it once more.
	idleSlackDivisor = 8
)

// Reading is the state of a connection at one moment.
type Reading struct {
	Phase Phase
	// Request counts the requests on the connection.
	Request uint64
	// Moved counts the bytes that were read from and written to the connection.
	Moved int64
}

// Watch measures the time that a connection spends in its phases.
type Watch struct {
	seen bool
	// last is the last reading at which the connection waited for the client.
	last Reading
	// waited is the time in the phase, or for bodies and answers, in the present window.
	waited time.Duration
	// moved is Moved at the start of the window.
	moved int64
}

// Waited returns for how long the connection has been in the phase of a reading, or for bodies and answers,
// in the present window.
func (w *Watch) Waited(r Reading) time.Duration {
	if r.Request != w.last.Request || r.Phase != w.last.Phase {
		return 0
	}
	return w.waited
}

// Moved returns the bytes that moved in this time.
func (w *Watch) Moved(r Reading) int64 { return r.Moved - w.moved }

// Observe records a reading some time after the last one, and returns why the connection is to be closed.
func (w *Watch) Observe(r Reading, elapsed time.Duration, l Limits) Reason {
	if w.seen && r.Phase == Running && r.Request == w.last.Request { // perhaps between two reads of a body
		return ReasonNone
	}
	if !w.seen || r.Request != w.last.Request || r.Phase != w.last.Phase {
		w.seen, w.last, w.waited, w.moved = true, r, 0, r.Moved
		return ReasonNone
	}
	w.waited += elapsed
	switch r.Phase {
	case Idle:
		return exceeds(w.waited, l.IdleTime+l.IdleTime/idleSlackDivisor, ReasonIdle)
	case Head:
		return exceeds(w.waited, l.HeadTime+headSlack, ReasonHeadTime)
	case Body:
		return w.checkRate(r, ReasonBody)
	default:
		return w.checkRate(r, ReasonAnswer)
	}
}

// checkRate returns the reason if a whole window had less than the least rate.
func (w *Watch) checkRate(r Reading, reason Reason) Reason {
	if w.waited < rateWindow {
		return ReasonNone
	}
	slow := float64(r.Moved-w.moved) < minRate*w.waited.Seconds()
	w.waited, w.moved = 0, r.Moved
	if slow {
		return reason
	}
	return ReasonNone
}

func exceeds(waited, limit time.Duration, r Reason) Reason {
	if waited > limit {
		return r
	}
	return ReasonNone
}

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonIdle, ReasonHeadTime, ReasonHeadSize, ReasonBody, ReasonAnswer, ReasonShed, ReasonMemory, ReasonConns}
}
