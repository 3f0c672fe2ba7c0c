package admitter

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// burstWindow is the time whose requests a rate limit admits at once after a pause.
	burstWindow = 250 * time.Millisecond
	// minRateLimit is the lowest limit, in requests per second. Only a response tells when
	// a limit has ended, so a limit of zero must let some requests through.
	minRateLimit = 0.2
	// A backend server tolerates half more than its limit, and five requests, in a
	// limitWindow. The window also covers what it got before it named the limit.
	limitWindow     = 4 * time.Second
	windowTolerance = 1.4
	windowSlack     = 4
)

// rateLimit is a token bucket; a request takes one token. The zero value limits nothing.
type rateLimit struct {
	rate      float64 // tokens per second; zero without a limit
	tokens    float64
	updatedAt timer.Instant
}

// set sets the limit in requests per second. A new limit starts without tokens: the backend
// server is already busy with the requests sent before.
func (l *rateLimit) set(rate float64, now timer.Instant) {
	rate = max(rate, minRateLimit)
	if l.rate == 0 {
		*l = rateLimit{rate: rate, updatedAt: now}
		return
	}
	l.update(now)
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

// clear removes the limit.
func (l *rateLimit) clear() { *l = rateLimit{} }

func (l *rateLimit) active() bool { return l.rate > 0 }

func (l *rateLimit) burst() float64 { return max(1, l.rate*burstWindow.Seconds()) }

func (l *rateLimit) update(now timer.Instant) {
	if l.updatedAt.Before(now) {
		l.tokens = min(l.burst(), l.tokens+l.rate*now.Sub(l.updatedAt).Seconds())
		l.updatedAt = now
	}
}

// perWindow returns the most requests in a limitWindow.
func (l *rateLimit) perWindow() int {
	return int(l.rate*limitWindow.Seconds()*windowTolerance) + windowSlack
}

// take takes the token of a request that starts.
func (l *rateLimit) take(now timer.Instant) {
	if l.active() {
		l.update(now)
		l.tokens--
	}
}

// wait returns the time until n requests may have started after those in the log.
func (l *rateLimit) wait(n int, starts *startLog, now timer.Instant) time.Duration {
	if !l.active() {
		return 0
	}
	l.update(now)
	paced := max(0, float64(n)-l.tokens)
	following := float64(n - 1)
	return max(l.seconds(paced), starts.wait(l.perWindow(), limitWindow, now)+l.seconds(following))
}

// seconds returns the time in which the limit admits a number of requests.
func (l *rateLimit) seconds(requests float64) time.Duration {
	return time.Duration(requests / l.rate * float64(time.Second))
}
