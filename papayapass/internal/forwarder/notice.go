package forwarder

import (
	"net/http"
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// limitReportInterval is the time between log lines about a rate limit in force.
const limitReportInterval = time.Second

// serverNotice is what the backend server last said about itself in a response.
type serverNotice struct {
	descriptor.ServerNotice

	// reportedAt is when the limit was last logged, and sent the number of requests sent to
	// the backend server since then.
	reportedAt timer.Instant
	sent       int
}

// readNotice records what a response says about the backend server.
func (f *Forwarder) readNotice(h http.Header) {
	n, err := f.codec.Notice(h)
	if err != nil {
		f.logger.Warn().Err(err).Str("server", f.Server().ID).Msg("cannot decode the rate limit of the backend server")
		return
	}
	f.mu.Lock()
	changed := n != f.notice.ServerNotice
	f.notice.ServerNotice = n
	f.mu.Unlock()
	if changed {
		f.logger.Info().Str("server", f.Server().ID).Bool("limited", n.Limited).Float64("limit", n.RateLimit).
			Bool("leaving", n.Leaving).Msg("backend server's notice changed")
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
