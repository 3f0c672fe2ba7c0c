package admitter

import (
	"cmp"
	"math"
	"time"
)

const (
	// turnDivisor is the part of their share of the offered requests that those of a less urgent customer
	// priority keep of the starts at a full backend server.
	turnDivisor = 3
	// turnSmoothing is the weight of an offered request in that share.
	turnSmoothing = 0.02
	// maxTurns limits the turns saved up while no request waits for one.
	maxTurns = 2
	// turnClasses is the number of customer priorities with turns of their own; the last one has those of
	// all less urgent priorities.
	turnClasses = 16
)

// turns gives some starts to the oldest requests of less urgent customers than the most urgent one that
// waits, so that these do not shut the others out. Nested calls give no turns: they end running requests.
type turns struct {
	// share is the smoothed share of each class in the offered requests.
	share [turnClasses]float64
	// saved is the number of turns due to each class.
	saved [turnClasses]float64
}

// turnClass returns the class of a request in turns.
func (r Request) turnClass() int { return min(max(r.CustomerPriority, 0), turnClasses-1) }

// observe counts an offered request while others wait.
func (u *turns) observe(q queue, r Request) {
	if len(q) == 0 || r.Nested {
		return
	}
	for class := range u.share {
		u.share[class] *= 1 - turnSmoothing
	}
	u.share[r.turnClass()] += turnSmoothing
}

// next returns the index of the request to start.
func (u *turns) next(q queue) int {
	if q[0].Nested {
		return 0
	}
	urgent, next := q[0].turnClass(), 0
	for class := urgent + 1; class < turnClasses; class++ {
		u.saved[class] = min(u.saved[class]+u.share[class]/turnDivisor, maxTurns)
	}
	for i, t := range q {
		if class := t.turnClass(); !t.Nested && class > urgent && u.saved[class] >= 1 && (next == 0 || t.arrived < q[next].arrived) {
			next = i
		}
	}
	if next > 0 {
		u.saved[q[next].turnClass()]--
	}
	return next
}

// startsUntil returns the number of starts up to the n-th turn of a class.
func (u *turns) startsUntil(class, n int) int {
	return int(max(1, math.Ceil((float64(n)-u.saved[class])*turnDivisor/max(u.share[class], turnSmoothing))))
}

// within returns how many of the waiting requests of a class get turns within a number of starts.
func (u *turns) within(class, starts, waiting int) int {
	return min(waiting, int(u.saved[class]+float64(starts)*u.share[class]/turnDivisor))
}

// waitingByClass counts the customers' requests that wait. The most urgent class of them is turnClasses if
// there are none.
func (q queue) waitingByClass() (counts [turnClasses]int, urgent int) {
	urgent = turnClasses
	for _, t := range q {
		if !t.Nested {
			counts[t.turnClass()]++
			urgent = min(urgent, t.turnClass())
		}
	}
	return counts, urgent
}

// workUntil returns the number of starts up to that of a request, and their work.
func (a *Admitter) workUntil(t *Ticket) (starts int, work time.Duration) {
	mean := a.allWork.Value()
	starts, work = 1, mean
	for _, q := range a.queue {
		if !t.before(q) {
			starts++
			work += cmp.Or(a.mean(q.Kind), mean)
		}
	}
	if t.Nested {
		return starts, work
	}
	waiting, urgent := a.queue.waitingByClass()
	own, taken := t.turnClass(), 0
	for class := own + 1; class < turnClasses; class++ {
		taken += a.turns.within(class, starts, waiting[class])
	}
	starts, work = starts+taken, work+time.Duration(taken)*mean
	if own <= urgent {
		return starts, work
	}
	if turn := a.turns.startsUntil(own, 1+waiting[own]); turn < starts {
		return turn, time.Duration(turn) * mean
	}
	return starts, work
}

// turnWait returns the wait that a request may have beyond its objective: the predicted one if it is the
// next of its class to get a turn, else none. A slow backend server gives no turn within the objective.
func (a *Admitter) turnWait(t *Ticket, wait time.Duration) time.Duration {
	waiting, urgent := a.queue.waitingByClass()
	if own := t.turnClass(); !t.Nested && own > urgent && waiting[own] == 0 {
		return wait
	}
	return 0
}
