package accountant

import (
	"math"
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// maxTurn limits how far denied nodes are spread over time. Unless the next credit comes later,
	// a denied node asks again after this time at the latest.
	maxTurn = 250 * time.Millisecond
	// maxWait limits the wait that a denied node is told.
	maxWait = time.Minute
	// rounding is the tolerated error of sums of fractions of credits.
	rounding = 1e-6
)

// bucket is the token bucket of a customer in a shard.
type bucket struct {
	limit  limit
	level  float64
	filled timer.Instant
	// turn is when the node that was denied last is to ask again.
	turn timer.Instant
}

func (b *bucket) fill(now timer.Instant) {
	if b.filled < now {
		b.level = min(b.limit.capacity, b.level+b.limit.rate*now.Sub(b.filled).Seconds())
		b.filled = now
	}
}

// setLimit changes the limit. A lower capacity holds at once.
func (b *bucket) setLimit(l limit, now timer.Instant) {
	b.fill(now)
	b.limit, b.level = l, min(b.level, l.capacity)
}

// charge takes up to n credits. If there is none, it returns when to ask again: denied nodes get turns
// at the rate at which credits come.
func (b *bucket) charge(n int, now timer.Instant) (int, time.Duration) {
	b.fill(now)
	if granted := min(n, int(b.level+rounding)); granted > 0 {
		b.level = max(0, b.level-float64(granted))
		return granted, 0
	}
	wait := b.timeFor(1 - b.level)
	b.turn = min(max(now.Add(wait), b.turn.Add(b.timeFor(1))), now.Add(max(wait, maxTurn)))
	return 0, b.turn.Sub(now)
}

// timeFor returns the time in which a number of credits comes.
func (b *bucket) timeFor(credits float64) time.Duration {
	return time.Duration(min(math.Ceil(credits/b.limit.rate*float64(time.Second)), float64(maxWait)))
}
