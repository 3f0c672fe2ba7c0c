package dispatcher

import (
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// rejectEntrance responds to a request that does not enter. Its body is not read.
func (d *Dispatcher) rejectEntrance(w http.ResponseWriter, e entrance, route *descriptor.Route, arrived timer.Instant) {
	if e.status == http.StatusServiceUnavailable {
		writeUnavailable(w, e.status, absentServerRetryAfter)
	} else {
		w.WriteHeader(e.status)
	}
	d.counter.ObserveRequest(route.Name, NotRun.String(), string(e.reason), e.status, d.clock.Now().Sub(arrived))
}

// rejectBody responds to a request whose body could not be read; left is the time that it had.
func (d *Dispatcher) rejectBody(w http.ResponseWriter, err error, left time.Duration) {
	var large *http.MaxBytesError
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.As(err, &large) || errors.Is(err, budgeter.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, budgeter.ErrExhausted):
		d.logger.Warn().Err(err).Msg("request rejected, its body does not fit into the memory for bodies")
		writeUnavailable(w, http.StatusServiceUnavailable, min(absentServerRetryAfter, left/retryAfterDivisor))
	case errors.Is(err, errStreams):
		d.logger.Warn().Err(err).Msg("request rejected, its body cannot be kept in memory")
		writeUnavailable(w, http.StatusServiceUnavailable, min(streamRetryAfter, left/retryAfterDivisor))
	case errors.Is(err, os.ErrDeadlineExceeded): // the connection was cut while the body was read
		w.WriteHeader(http.StatusRequestTimeout)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (d *Dispatcher) respond(w http.ResponseWriter, c *Call, res Result, arrived timer.Instant, attempts *attemptLog) {
	now := d.clock.Now()
	left := c.Deadline.Sub(now)
	status := 0
	switch res.Outcome {
	case Answered:
		status = res.Response.Status
		writeResponse(w, res.Response)
	case NotRun:
		status = http.StatusServiceUnavailable
		if res.Reason == ReasonQuota {
			status = http.StatusTooManyRequests
		}
		retry := min(max(res.Retry, minRetryDelay(res.Reason)), max(left, minRetryAfter)/retryAfterDivisor)
		writeUnavailable(w, status, retry)
	default:
		status = unknownStatus(c, left)
		w.WriteHeader(status)
	}
	d.counter.ObserveRequest(c.Route, res.Outcome.String(), string(res.Reason), status, now.Sub(arrived))
	if status == http.StatusTooManyRequests && res.Outcome == NotRun {
		return // a customer far beyond its quota would fill the log; the summaries count them
	}
	if res.Outcome != Answered || status >= http.StatusInternalServerError {
		e := d.logger.Info().Str("request", c.ID).Str("route", c.Route).Str("service", c.Service).Uint16("key", c.Key).Str("customer", c.Customer).
			Stringer("outcome", res.Outcome).Str("reason", string(res.Reason)).Int("status", status).
			Str("server", string(attempts.lastNode)).Int("asked", attempts.tries).Int("reached", attempts.sent).
			Dur("elapsed", now.Sub(arrived)).Dur("left", left)
		if attempts.disconnected > 0 {
			e.Int("disconnected", attempts.disconnected).Stringer("fingerprint", c.Fingerprint())
		}
		e.Msg("request failed")
	}
}

// unknownStatus returns the status of a call whose outcome is unknown.
func unknownStatus(c *Call, left time.Duration) int {
	var large *http.MaxBytesError
	switch {
	case c.Stream != nil && errors.As(c.Stream.Err(), &large):
		return http.StatusRequestEntityTooLarge
	case left <= 0:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// minRetryDelay returns the shortest Retry-After for a reason. Most customers retry only
// once, so it must not be too short.
func minRetryDelay(r Reason) time.Duration {
	switch r {
	case ReasonUnreachable, ReasonNotOwner, ReasonNotHeld, ReasonNoServer, ReasonStopping, ReasonZoneOut, ReasonQuarantined, ReasonConnections:
		return absentServerRetryAfter
	default:
		return minRetryAfter
	}
}

// writeUnavailable responds that a request has not run, and when to retry.
func writeUnavailable(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	w.WriteHeader(status)
}
