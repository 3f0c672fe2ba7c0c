package dispatcher

import (
	"context"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// attemptLog records the tries of a call.
type attemptLog struct {
	start timer.Instant
	// sent counts the tries that sent the call to a backend server, and disconnected those
	// of them in which the backend server closed the connection.
	sent, disconnected int
	// tries counts all tries; lastNode is the node of the last one.
	tries    int
	lastNode partitioner.NodeID
	// ownerWaits counts the waits for the table to name the owner.
	ownerWaits int
}

// ownerWait returns the time until the next try of a key without a known owner.
func (l *attemptLog) ownerWait() time.Duration {
	l.ownerWaits++
	return min(ownerRetryInterval<<min(l.ownerWaits-1, 8), maxOwnerRetryInterval)
}

// serve calls a node's server and records the try.
func (l *attemptLog) serve(ctx context.Context, s Server, id partitioner.NodeID, c *Call) Result {
	l.tries++
	l.lastNode = id
	res := s.Serve(ctx, c)
	if res.Sent {
		l.sent++
	}
	if res.Disconnected {
		l.disconnected++
	}
	return res
}
