package forwarder

import (
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	// maxLeaveNotices limits the notices that are kept; the oldest are dropped.
	maxLeaveNotices = 4
	// restartDelay is less than the time from a notice until the backend server can have
	// started again: it serves for a while before it exits.
	restartDelay = time.Second
	// leaveSettleTime is the time after a notice in which heartbeats that were held up arrive
	// and the backend server exits.
	leaveSettleTime = 30 * time.Second
)

// leaveNotice is a notice of a backend server that it leaves. It names no start, and the node
// may have heard no heartbeat of that start.
type leaveNotice struct {
	id string
	// at is when the notice arrived, timeOfDay the same in Unix milliseconds.
	at        timer.Instant
	timeOfDay int64
}

// includes reports whether the start that sent a heartbeat had left with the notice.
func (n leaveNotice) includes(h descriptor.Heartbeat) bool {
	return n.id == h.ID && h.StartedAtMillis < n.timeOfDay+restartDelay.Milliseconds()
}

// leaving is what is known of backend servers that leave.
type leaving struct {
	// now is set if the present start leaves.
	now bool
	// presumed is the notice by which it leaves if it was first heard after the notice, and
	// goesOn counts its heartbeats since leaveSettleTime after that.
	presumed leaveNotice
	goesOn   int
	// recalled is the backend server by the newest table, and left is one by a table that had
	// left.
	recalled, left partitioner.Server
	notices        []leaveNotice
}

// start applies the first heartbeat of a start.
func (l *leaving) start(h descriptor.Heartbeat) {
	l.now, l.presumed, l.goesOn = l.left.SameStart(h.ID, h.StartedAtMillis), leaveNotice{}, 0
	if i := slices.IndexFunc(l.notices, func(n leaveNotice) bool { return n.includes(h) }); i >= 0 && !l.now {
		l.now, l.presumed = true, l.notices[i]
	}
}

// goOn applies a further heartbeat of a start. One that only seemed to have left, since a clock
// had stepped, goes on sending. The result is true if it does not leave after all.
func (l *leaving) goOn(h descriptor.Heartbeat, now timer.Instant) bool {
	if l.presumed.id == "" || h.Draining || now.Sub(l.presumed.at) <= leaveSettleTime {
		return false
	}
	if l.goesOn++; l.goesOn < minLateHeartbeats {
		return false
	}
	l.notices = slices.DeleteFunc(l.notices, func(n leaveNotice) bool { return n == l.presumed })
	l.now, l.presumed = false, leaveNotice{}
	return true
}

// addNotice records that a backend server leaves. One that this process has not heard yet may be
// the one in the table.
func (l *leaving) addNotice(n leaveNotice) {
	l.notices = append(l.notices[max(0, len(l.notices)+1-maxLeaveNotices):], n)
	if l.recalled.ID == n.id {
		l.left = l.recalled
	}
}

// recall applies the backend server in a table. The result is true if it had left. Only the first
// table tells what the process does not know itself.
func (l *leaving) recall(s partitioner.Server, isFirst bool) bool {
	l.recalled = s
	hasLeft := (isFirst && s.Leaving && !s.NodeStopping) || slices.ContainsFunc(l.notices, func(n leaveNotice) bool { return n.id == s.ID })
	if hasLeft {
		l.left = s
	}
	return hasLeft
}

// RecallServer applies the backend server that a table names for this node; isFirst is set for the
// first table. If it had left, a heartbeat of it that was held up must not bring it back into use.
func (f *Forwarder) RecallServer(s partitioner.Server, isFirst bool) {
	if s.ID == "" {
		return
	}
	f.mu.Lock()
	hasLeft := f.leaving.recall(s, isFirst)
	isHeard := f.lastHeartbeat.ID != ""
	f.mu.Unlock()
	switch {
	case !hasLeft:
	case isHeard:
		f.markLeaving(s)
	default:
		f.granter.SetServer(f.Server())
	}
}

// Leave handles the notice of a backend server that it accepts no more requests. It holds for
// the start that sent it, also if that is heard later.
func (f *Forwarder) Leave(id string) {
	f.mu.Lock()
	f.leaving.addNotice(leaveNotice{id: id, at: f.clock.Now(), timeOfDay: f.timeOfDay()})
	isHeard := f.lastHeartbeat.ID != ""
	f.mu.Unlock()
	if s := f.Server(); s.ID == id && isHeard {
		f.markLeaving(s)
		return
	}
	f.logger.Info().Str("server", id).Msg("backend server leaves that sent no heartbeat")
	f.granter.SetServer(f.Server())
	f.node.TriggerHeartbeat()
}

// markLeaving takes the backend server s out of use, unless it has restarted since.
func (f *Forwarder) markLeaving(s partitioner.Server) {
	f.mu.Lock()
	changed := !f.leaving.now && f.lastHeartbeat.SameStart(s.ID, s.StartedAtMillis)
	f.leaving.now = f.leaving.now || changed
	f.mu.Unlock()
	if changed {
		f.logger.Info().Str("server", s.ID).Msg("backend server leaves")
		f.granter.SetServer(f.Server())
		f.node.TriggerHeartbeat()
	}
}
