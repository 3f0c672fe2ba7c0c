package forwarder

import (
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// minLateHeartbeats is how many heartbeats in a row a backend server has sent that turns out
// to be the current one. Those of a former start that were held up arrive at about one time.
const minLateHeartbeats = 3

// lateHeartbeats are heartbeats of one start, in ascending order, that count as late.
type lateHeartbeats struct {
	last  descriptor.Heartbeat
	count int
}

// isLate reports whether a heartbeat was sent before the last one that was accepted. A start
// time or a sequence number may be wrong, though, and then all that follow it seem late. So
// whoever goes on sending is the backend server, if it is the only one for long enough. The
// caller holds f.mu.
func (f *Forwarder) isLate(h descriptor.Heartbeat, now timer.Instant) bool {
	isSame := f.lastHeartbeat.SameStart(h.ID, h.StartedAtMillis)
	if h.StartedAtMillis >= f.lastHeartbeat.StartedAtMillis && (!isSame || h.Sequence >= f.lastHeartbeat.Sequence) {
		f.late = lateHeartbeats{}
		return false
	}
	if !f.late.last.SameStart(h.ID, h.StartedAtMillis) || h.Sequence <= f.late.last.Sequence {
		f.late.count = 0
	}
	f.late.last = h
	f.late.count++
	silence := (maxMissedHeartbeats - 1) * f.heartbeatInterval
	if !isSame {
		// Another start counts as holding no keys, so what the last one was granted must
		// have ended. It is granted nothing once it counts as down.
		silence = maxMissedHeartbeats*f.heartbeatInterval + f.granter.LongestHold()
	}
	if f.late.count < minLateHeartbeats || now.Sub(f.lastHeartbeatAt) <= silence {
		return true
	}
	f.late = lateHeartbeats{}
	f.logger.Warn().Str("server", h.ID).Int64("born", h.StartedAtMillis).Int64("sequence", h.Sequence).
		Str("formerServer", f.lastHeartbeat.ID).Int64("formerBorn", f.lastHeartbeat.StartedAtMillis).Int64("formerSequence", f.lastHeartbeat.Sequence).
		Msg("backend server goes on with an earlier start or sequence, the former heartbeat was wrong")
	return false
}
