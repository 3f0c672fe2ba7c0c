package granter

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// method is how the backend server gets its keys: byCall or byHeartbeat.
type method interface{ sealed() }

// byCall grants and releases keys with calls to the backend server.
type byCall struct{}

// byHeartbeat grants and releases keys in the responses to heartbeats.
type byHeartbeat struct {
	// lastSequence is the sequence number of the newest heartbeat, or zero; lastAt is when
	// it arrived and lastReleased is what it reported as
	// released.
	lastSequence int64
	lastAt       timer.Instant
	lastReleased []descriptor.ReleasedRange
	// released holds the ranges reported as released and not granted since.
	released []descriptor.ReleasedRange
}

func (byCall) sealed()       {}
func (*byHeartbeat) sealed() {}

// SetMethod sets how the backend server gets its keys. Grants made the other way stay in
// doubt until they have ended.
func (g *Granter) SetMethod(m descriptor.GrantMethod) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isHeartbeat := g.method.(*byHeartbeat)
	switch {
	case m == descriptor.GrantByHeartbeat && !isHeartbeat:
		g.method = &byHeartbeat{}
	case m != descriptor.GrantByHeartbeat && isHeartbeat:
		g.method = byCall{}
		for _, h := range g.holdings {
			h.nextCallAt, h.callInFlight = 0, false
		}
	}
}

// NextGrantBy returns the instant by which keys that the node owns but does not hold yet
// are usually held; interval is the time between two heartbeats of the backend server.
func (g *Granter) NextGrantBy(interval time.Duration, now timer.Instant) timer.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m := g.method.(type) {
	case *byHeartbeat:
		return max(m.lastAt.Add(interval), now).Add(grantWait)
	default:
		return now.Add(grantWait)
	}
}
