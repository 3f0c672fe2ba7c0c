package forwarder

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/fingerprinter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	// disconnectGap is the longest time between the disconnects of one end. They happen at
	// once; a busy node reads them one after the other.
	disconnectGap = 250 * time.Millisecond
	// endSettleTime is the time after the last disconnect at which an end is logged.
	endSettleTime = 100 * time.Millisecond
	// maxCutOffLogged limits the requests in the log line of an end, and maxAbandonedLogged
	// those among them that were abandoned before.
	maxCutOffLogged    = 16
	maxAbandonedLogged = 4
	// abandonedAge is how long an abandoned request may go on at the backend server.
	abandonedAge = time.Second
)

// cutOff is a request whose exchange ended because the backend server closed the connection,
// or because the node abandoned it.
type cutOff struct {
	id          string
	fingerprint fingerprinter.Fingerprint
	sent, ended timer.Instant
	abandoned   bool
}

// MarshalZerologObject adds the request to a log line.
func (c cutOff) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", c.id).Stringer("fingerprint", c.fingerprint).Dur("elapsed", c.ended.Sub(c.sent))
	if c.abandoned {
		e.Bool("abandoned", true)
	}
}

// ending collects the requests that one start of the backend server cut off together. The
// server may only have cut off these responses; a refused connection or the next start
// confirms that it has ended.
type ending struct {
	id              string
	startedAtMillis int64
	// latest holds the requests that were sent last, in this order, and count the number of
	// all.
	latest []cutOff
	count  int
	// abandoned holds the requests that the node abandoned last. They may still run.
	abandoned []cutOff
	// lastAt is when the last request was cut off.
	lastAt timer.Instant
	// cause is how the end was confirmed, or empty.
	cause string
}

// add records a request that the start of a backend server cut off.
func (e *ending) add(id string, startedAtMillis int64, c cutOff) {
	if e.id != id || e.startedAtMillis != startedAtMillis || c.ended.Sub(e.lastAt) > disconnectGap {
		*e = ending{id: id, startedAtMillis: startedAtMillis, abandoned: e.abandoned}
	}
	e.count++
	e.lastAt = c.ended
	i, _ := slices.BinarySearchFunc(e.latest, c, func(a, b cutOff) int { return int(b.sent - a.sent) })
	e.latest = slices.Insert(e.latest, i, c)
	e.latest = e.latest[:min(len(e.latest), maxCutOffLogged)]
}

// abandon records a request that the node abandoned.
func (e *ending) abandon(c cutOff) {
	c.abandoned = true
	e.abandoned = append(e.abandoned[max(0, len(e.abandoned)+1-maxAbandonedLogged):], c)
}

// answered records a response to a request that was sent at an instant: a server that
// responds to a later request has not ended.
func (e *ending) answered(id string, startedAtMillis int64, sent timer.Instant) {
	if e.id == id && e.startedAtMillis == startedAtMillis && e.cause == "" && e.lastAt.Before(sent) {
		*e = ending{abandoned: e.abandoned}
	}
}

// confirm records that the backend server h has ended. What it cut off longer ago than
// maxAge has nothing to do with its end.
func (e *ending) confirm(h descriptor.Heartbeat, cause string, now timer.Instant, maxAge time.Duration) {
	switch {
	case !h.SameStart(e.id, e.startedAtMillis) || now.Sub(e.lastAt) > maxAge:
		*e = ending{id: h.ID, startedAtMillis: h.StartedAtMillis, lastAt: now, cause: cause, abandoned: e.abandoned}
	case e.cause == "":
		e.cause = cause
	}
}

// takeSettled returns and clears a confirmed end that cut off requests, once no more of
// them are expected.
func (e *ending) takeSettled(now timer.Instant) (ending, bool) {
	if e.cause == "" || e.count == 0 || now.Sub(e.lastAt) < endSettleTime {
		return ending{}, false
	}
	settled := *e
	*e = ending{}
	for _, c := range settled.abandoned {
		if settled.lastAt.Sub(c.ended) <= abandonedAge {
			settled.latest = append(settled.latest, c)
		}
	}
	return settled, true
}

// addFailure records a call sent to the backend server s at an instant that got no whole
// response, since the server closed the connection or the node abandoned the call.
func (f *Forwarder) addFailure(c *dispatcher.Call, s partitioner.Server, sent timer.Instant, disconnected bool) {
	r := cutOff{id: c.ID, fingerprint: c.Fingerprint(), sent: sent, ended: f.clock.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if disconnected {
		f.ending.add(s.ID, s.StartedAtMillis, r)
	} else {
		f.ending.abandon(r)
	}
}

// addAnswer records that the backend server s responded to a call that was sent at an
// instant.
func (f *Forwarder) addAnswer(s partitioner.Server, sent timer.Instant) {
	f.mu.Lock()
	f.ending.answered(s.ID, s.StartedAtMillis, sent)
	f.mu.Unlock()
}

// reportEnd logs the end of a backend server that cut off requests.
func (f *Forwarder) reportEnd(now timer.Instant) {
	f.mu.Lock()
	e, ok := f.ending.takeSettled(now)
	f.mu.Unlock()
	if !ok {
		return
	}
	f.ends.Add(1)
	requests := zerolog.Arr()
	for _, c := range e.latest {
		if c.abandoned && f.quarantine.Suspect(uint64(c.fingerprint)) { // it may have gone on there
			f.node.TriggerHeartbeat()
		}
		requests.Object(c)
	}
	f.logger.Warn().Str("server", e.id).Int64("born", e.startedAtMillis).Str("cause", e.cause).Int("running", e.count).
		Array("requests", requests).Msg("backend server ended while requests were running")
}

// Ends returns the number of backend servers that ended while requests were running.
func (f *Forwarder) Ends() uint64 { return f.ends.Load() }
