package overseer

import (
	"cmp"
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	// suspicionDuration is how long a fingerprint stays suspected or cleared, and
	// quarantineDuration how long it stays quarantined.
	suspicionDuration  = time.Minute
	quarantineDuration = 10 * time.Minute
	// maxSuspects limits the suspects in a table.
	maxSuspects = 128
)

// suspects is what the coordinator knows of requests that may end backend servers, by
// fingerprint.
type suspects map[uint64]suspect

type suspect struct {
	state partitioner.SuspectState
	since timer.Instant
}

// newSuspects returns the suspects of the table with which a term starts.
func newSuspects(list []partitioner.Suspect, now timer.Instant) suspects {
	s := make(suspects)
	s.merge(list, now)
	return s
}

// merge adds what a node reports.
func (s suspects) merge(list []partitioner.Suspect, now timer.Instant) {
	for _, r := range list {
		if s[r.Fingerprint].state < r.State {
			s[r.Fingerprint] = suspect{r.State, now}
		}
	}
}

// list returns the suspects for the next table and drops those that have expired or are too
// many: cleared ones first, then the oldest, quarantined ones last.
func (s suspects) list(now timer.Instant) []partitioner.Suspect {
	if len(s) == 0 {
		return nil
	}
	var out []partitioner.Suspect
	for f, r := range s {
		limit := suspicionDuration
		if r.state == partitioner.Quarantined {
			limit = quarantineDuration
		}
		if now.Sub(r.since) > limit {
			delete(s, f)
			continue
		}
		out = append(out, partitioner.Suspect{Fingerprint: f, State: r.state})
	}
	slices.SortFunc(out, func(a, b partitioner.Suspect) int {
		return cmp.Or(cmp.Compare(b.State%partitioner.Cleared, a.State%partitioner.Cleared),
			cmp.Compare(s[b.Fingerprint].since, s[a.Fingerprint].since), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, r := range out[min(len(out), maxSuspects):] {
		delete(s, r.Fingerprint)
	}
	out = out[:min(len(out), maxSuspects)]
	slices.SortFunc(out, func(a, b partitioner.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// unknownTo returns the suspects that a table does not name in their present state.
func (s suspects) unknownTo(t *partitioner.Table) []partitioner.Suspect {
	var out []partitioner.Suspect
	for f, r := range s {
		if t.SuspectState(f) < r.state {
			out = append(out, partitioner.Suspect{Fingerprint: f, State: r.state})
		}
	}
	return out
}
