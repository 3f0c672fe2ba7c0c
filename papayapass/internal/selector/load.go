package selector

import (
	"cmp"
	"time"

	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	// maxReportAge is the age up to which the requests and the warm-up of a report count.
	maxReportAge = 3 * time.Second
	// maxIdle is how long a backend server of a shared pool may get no requests because of an old mean.
	maxIdle = 15 * time.Second
	// defaultMeanDuration is the assumed mean duration at a backend server without a report, or if
	// none of its pool has ended a request.
	defaultMeanDuration = 100 * time.Millisecond
	// busySlowdown is the fraction by which requests take longer at a backend server with
	// all slots busy.
	busySlowdown = 0.5
	// warmUpSlowdown is the factor of the cost of a server that is warming up: it accepts only a low rate.
	warmUpSlowdown = 3.0
)

// Load is the load of a backend server of a shared pool, as last reported.
type Load struct {
	overseer.ServerLoad

	UsedAt, ReportedAt timer.Instant
	// InFlight is the number of requests of this node that were in flight there at the report.
	InFlight int
}

// lowestMean returns the lowest mean duration of the backend servers that have ended requests, or
// defaultMeanDuration if none has.
func lowestMean(pool []Candidate) time.Duration {
	lowest := time.Duration(0)
	for i := range pool {
		if mean := pool[i].Load.MeanDuration; mean > 0 && (lowest == 0 || mean < lowest) {
			lowest = mean
		}
	}
	return cmp.Or(lowest, defaultMeanDuration)
}

// weight returns the weight of what the load says about the next request. Without requests a backend
// server shows no change, so it must get one before long.
func (l Load) weight(now timer.Instant) float64 {
	idle := now.Sub(l.UsedAt)
	if idle >= maxIdle {
		return 0
	}
	return estimator.Weight(idle)
}

// isCurrent reports whether the requests and the warm-up of the report still count.
func (l Load) isCurrent(now timer.Instant) bool {
	return l.Node != "" && now.Sub(l.ReportedAt) <= maxReportAge
}

// expectedMean returns the mean duration to expect of the next request.
func (l Load) expectedMean(lowest time.Duration, now timer.Instant) time.Duration {
	switch {
	case l.Node == "":
		return max(defaultMeanDuration, lowest)
	case l.MeanDuration == 0:
		return lowest
	}
	return estimator.Expected(l.MeanDuration, lowest, l.weight(now))
}

// estimate is what is expected of a backend server now.
type estimate struct {
	// mean is how long a request takes there on average, in nanoseconds.
	mean float64
	// busy and usable are the slots that requests take, or wait for, and that they can use.
	busy, usable float64
	warmingUp    bool
}

// estimate returns what is expected of a backend server with slots, where this node has inFlight requests.
func (l Load) estimate(inFlight, slots int, lowest time.Duration, now timer.Instant) estimate {
	all := float64(max(slots, 1))
	e := estimate{
		mean: float64(l.expectedMean(lowest, now)), busy: float64(inFlight), usable: all - l.weight(now)*(all-l.Slots(int(all))),
	}
	if l.isCurrent(now) {
		sent := max(0, inFlight-l.InFlight)
		e.busy, e.warmingUp = max(e.busy, float64(l.Running+l.Waiting+sent)), l.WarmingUp
	}
	return e
}

// isFree reports whether a slot is free.
func (e estimate) isFree() bool { return e.busy < e.usable }

// free returns how many slots are free, but at least minFree of them.
func (e estimate) free() float64 {
	free := max(e.usable-e.busy, minFree*e.usable)
	if e.warmingUp {
		free /= warmUpSlowdown
	}
	return free
}

// duration returns how long a request is expected to take, in nanoseconds.
func (e estimate) duration() float64 {
	use := min(e.busy/e.usable, 1)
	d := e.mean * (1 + busySlowdown*use*use + max(0, e.busy+1-e.usable)/e.usable)
	if e.warmingUp {
		d *= warmUpSlowdown
	}
	return d
}
