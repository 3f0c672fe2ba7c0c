// Package quarantiner keeps requests that end the backend servers that run them away from
// further ones. It knows requests by their fingerprints and is pure: the caller tells it how
// runs ended, and exchanges what is known with other nodes.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	// unpublishedDuration is how long a suspect that the table does not name is kept.
	unpublishedDuration = time.Minute
	// maxRecords limits the fingerprints known to a node. The oldest suspects that the table
	// does not name go first.
	maxRecords = 512
)

// Quarantine is what a node knows of suspects.
type Quarantine struct {
	clock timer.Clock
	// watched counts the fingerprints that are suspected or quarantined.
	watched atomic.Int32

	mu        sync.Mutex
	records   map[uint64]*record
	published []partitioner.Suspect
}

type record struct {
	state partitioner.SuspectState
	since timer.Instant
	// inTable is set if the newest table names the fingerprint.
	inTable bool
	// runEnded is closed when the only run of the fingerprint at this node ends; nil without
	// a run.
	runEnded chan struct{}
}

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine(clock timer.Clock) *Quarantine {
	return &Quarantine{clock: clock, records: make(map[uint64]*record)}
}

// IsActive reports whether there is any fingerprint to look for.
func (q *Quarantine) IsActive() bool { return q.watched.Load() > 0 }

// Rejects reports whether requests with a fingerprint are quarantined.
func (q *Quarantine) Rejects(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[fingerprint]
	return ok && r.state == partitioner.Quarantined
}

// Watches reports whether requests with a fingerprint are suspected or quarantined.
func (q *Quarantine) Watches(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[fingerprint]
	return ok && r.state != partitioner.Cleared
}

// Verdict is how a request may run.
type Verdict int

// Verdicts.
const (
	// Run means that the request is not suspected.
	Run Verdict = iota
	// RunObserved means that it is suspected. The caller must call EndObserved.
	RunObserved
	// Wait means that another one with the same fingerprint is running.
	Wait
	// Reject means that it must not run.
	Reject
)

// Admit returns how a request may run now, and the end of the other run for Wait. isSuspect is
// set if the request is known to have ended a backend server.
//
// At most one suspected request of a fingerprint runs at a time, so a request that comes often
// ends one backend server at the most before it is quarantined.
func (q *Quarantine) Admit(fingerprint uint64, isSuspect bool) (Verdict, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[fingerprint]
	if !ok && isSuspect {
		q.raise(fingerprint, partitioner.Suspected)
		r, ok = q.records[fingerprint]
	}
	switch {
	case !ok || r.state == partitioner.Cleared:
		return Run, nil
	case r.state == partitioner.Quarantined:
		return Reject, nil
	case r.runEnded != nil:
		return Wait, r.runEnded
	default:
		r.runEnded = make(chan struct{})
		return RunObserved, nil
	}
}

// EndObserved ends a run that Admit observed; serverEnded is set if the backend server ended
// while the request ran. It reports whether the fingerprint is quarantined from now on.
func (q *Quarantine) EndObserved(fingerprint uint64, serverEnded bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, ok := q.records[fingerprint]; ok && r.runEnded != nil {
		close(r.runEnded)
		r.runEnded = nil
	}
	return serverEnded && q.raise(fingerprint, partitioner.Quarantined)
}

// Suspect records that a backend server ended while a request that was not observed ran there.
// It reports whether this is new.
func (q *Quarantine) Suspect(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.raise(fingerprint, partitioner.Suspected)
}

// Clear records that a backend server ran a request to its end. It reports whether this ended
// a suspicion.
func (q *Quarantine) Clear(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.records[fingerprint]; !ok {
		return false
	}
	return q.raise(fingerprint, partitioner.Cleared)
}

// raise sets the state of a fingerprint unless it is as high already. The caller holds q.mu.
func (q *Quarantine) raise(fingerprint uint64, state partitioner.SuspectState) bool {
	r, ok := q.records[fingerprint]
	if !ok {
		q.makeRoom()
		r = &record{}
		q.records[fingerprint] = r
	}
	if r.state >= state {
		return false
	}
	r.state, r.since = state, q.clock.Now()
	q.count()
	return true
}

// makeRoom drops the suspects that have expired, and the oldest ones if there are too many.
// The caller holds q.mu.
func (q *Quarantine) makeRoom() {
	now := q.clock.Now()
	var unpublished []uint64
	for f, r := range q.records {
		if r.inTable || r.runEnded != nil {
			continue
		}
		if now.Sub(r.since) > unpublishedDuration {
			delete(q.records, f)
			continue
		}
		unpublished = append(unpublished, f)
	}
	if len(q.records) < maxRecords || len(unpublished) == 0 {
		return
	}
	delete(q.records, slices.MinFunc(unpublished, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(q.records[a].since, q.records[b].since), cmp.Compare(a, b))
	}))
}

func (q *Quarantine) count() {
	n := int32(0)
	for _, r := range q.records {
		if r.state != partitioner.Cleared {
			n++
		}
	}
	q.watched.Store(n)
}

// Merge adds the suspects that another node knows.
func (q *Quarantine) Merge(list []partitioner.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range list {
		q.raise(s.Fingerprint, s.State)
	}
}

// ApplyTable applies the suspects of the newest table. Those that an earlier table named and
// this one does not have expired.
func (q *Quarantine) ApplyTable(list []partitioner.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.Equal(list, q.published) {
		return
	}
	for _, s := range q.published {
		if r, ok := q.records[s.Fingerprint]; ok {
			r.inTable = false
		}
	}
	for _, s := range list {
		q.raise(s.Fingerprint, s.State)
		q.records[s.Fingerprint].inTable = true
	}
	for _, s := range q.published {
		if r, ok := q.records[s.Fingerprint]; ok && !r.inTable && r.runEnded == nil {
			delete(q.records, s.Fingerprint)
		}
	}
	q.published = list
	q.count()
}

// Unpublished returns what this node knows and the newest table does not say.
func (q *Quarantine) Unpublished() []partitioner.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	now := q.clock.Now()
	known := make(map[uint64]partitioner.SuspectState, len(q.published))
	for _, s := range q.published {
		known[s.Fingerprint] = s.State
	}
	var out []partitioner.Suspect
	for f, r := range q.records {
		if known[f] < r.state && now.Sub(r.since) <= unpublishedDuration {
			out = append(out, partitioner.Suspect{Fingerprint: f, State: r.state})
		}
	}
	slices.SortFunc(out, func(a, b partitioner.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}
