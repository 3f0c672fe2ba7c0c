package forwarder

import (
	"net/http"
	"time"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// limitReportInterval is the time between log lines about a rate limit in force.
const limitReportInterval = time.Second

// serverNotice is what the backend server last said about itself in a response.
type serverNotice struct {
	descriptor.ServerNotice

	// heard is set once a response of the backend server has arrived.
	heard bool
	// namedAt is when the last response that named the limit in force arrived.
	namedAt timer.Instant
	// reportedAt is when the limit was last logged, and sent the number of requests sent to
	// the backend server since then.
	reportedAt timer.Instant
	sent       int
}

// update applies a response to a request that was sent at an instant. Responses overtake
// each other: only one to a request sent after the limit was last named may raise or end
// it. A server that leaves does not come back.
func (n *serverNotice) update(next descriptor.ServerNotice, sent, now timer.Instant) {
	if n.Limited && sent.Before(n.namedAt) && (!next.Limited || next.RateLimit > n.RateLimit) {
		next.Limited, next.RateLimit = n.Limited, n.RateLimit
	} else if next.Limited {
		n.namedAt = now
	}
	next.Leaving = next.Leaving || n.Leaving
	n.ServerNotice = next
}

// recallNotice applies what another node knows of the backend server, unless this node has
// heard from the server itself.
func (f *Forwarder) recallNotice(known dispatcher.Notice) {
	if known.Leaving {
		f.markLeaving(partitioner.Server{ID: known.Server, StartedAtMillis: known.StartedAtMillis})
	}
	if !known.Limited {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notice.heard || f.notice.Limited || !f.lastHeartbeat.SameStart(known.Server, known.StartedAtMillis) {
		return
	}
	now := f.clock.Now()
	f.notice.update(known.ServerNotice, now, now)
	f.applyRateLimit(now)
	f.logger.Info().Str("server", known.Server).Float64("limit", known.RateLimit).Msg("rate limit of the backend server learned from another node")
}

// currentNotice returns what the backend server last said about itself, for other nodes.
func (f *Forwarder) currentNotice() dispatcher.Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return dispatcher.Notice{ServerNotice: f.notice.ServerNotice, Server: f.lastHeartbeat.ID, StartedAtMillis: f.lastHeartbeat.StartedAtMillis}
}

// readNotice applies what a response says about the backend server s, to which its request
// was sent at an instant.
func (f *Forwarder) readNotice(response *exchanger.Response, s partitioner.Server, sent timer.Instant) {
	if response.Status == http.StatusMisdirectedRequest {
		return // may come from another server at the address
	}
	n, err := f.codec.Notice(response.Header)
	if err != nil {
		f.logger.Warn().Err(err).Str("server", s.ID).Msg("cannot decode the rate limit of the backend server")
		return
	}
	if n.Leaving {
		f.markLeaving(s)
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastHeartbeat.SameStart(s.ID, s.StartedAtMillis) {
		return // the backend server has restarted since
	}
	before := f.notice.ServerNotice
	f.notice.update(n, sent, now)
	f.notice.heard = true
	if n = f.notice.ServerNotice; n == before {
		return
	}
	f.applyRateLimit(now)
	f.logger.Info().Str("server", s.ID).Bool("limited", n.Limited).Float64("limit", n.RateLimit).
		Bool("leaving", n.Leaving).Msg("backend server's notice changed")
}

// applyRateLimit makes the admitter keep the limit that the backend server names. The caller
// holds f.mu.
func (f *Forwarder) applyRateLimit(now timer.Instant) {
	if f.notice.Limited {
		f.admitter.SetRateLimit(f.notice.RateLimit, now)
	} else {
		f.admitter.ClearRateLimit(now)
	}
}

// countSent counts a request sent to the backend server.
func (f *Forwarder) countSent() {
	f.mu.Lock()
	f.notice.sent++
	f.mu.Unlock()
	f.sent.Add(1)
}

// reportLimit logs a rate limit in force with the requests sent under it.
func (f *Forwarder) reportLimit(now timer.Instant) {
	f.mu.Lock()
	n, elapsed := f.notice, now.Sub(f.notice.reportedAt)
	due := elapsed >= limitReportInterval
	if due {
		f.notice.reportedAt, f.notice.sent = now, 0
	}
	f.mu.Unlock()
	if due && n.Limited {
		running, waiting := f.admitter.Counts()
		f.logger.Info().Str("server", f.Server().ID).Float64("limit", n.RateLimit).Int("sent", n.sent).Dur("elapsed", elapsed).
			Int("running", running).Int("waiting", waiting).Msg("backend server limits its rate")
	}
}

// Notice returns what the backend server last said about itself, and the number of
// requests sent to it.
func (f *Forwarder) Notice() (n descriptor.ServerNotice, sent uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notice.ServerNotice, f.sent.Load()
}
