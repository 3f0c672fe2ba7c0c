// Package validator decides whether data from outside the product, decoded by a platform
// adapter, can be used. What it rejects is logged and changes nothing.
package validator

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

const (
	// maxNameBytes is the longest name of an availability zone or of a backend server.
	maxNameBytes = 253
	// maxSlots is the largest number of slots of a backend server. Sums over a deployment,
	// multiplied by the number of keys, stay far from an overflow.
	maxSlots = 1 << 16
	// maxStartMillis is the latest start time of a backend server, in Unix milliseconds: in
	// the year 2109. The clock is not used, since it may be wrong.
	maxStartMillis = 1 << 42
	// maxWarmUp is the longest time that a backend server may still take to warm up.
	maxWarmUp = 24 * time.Hour
	// maxCounter is the highest epoch, version or token of a stored table, so that there is
	// always a next one.
	maxCounter = 1 << 62
	// maxHandoverBytes is the largest handover value. The response to a heartbeat must hold
	// it, and the table has one for each range without an owner.
	maxHandoverBytes = 1024
	// maxExcerptBytes limits text from outside in a log line.
	maxExcerptBytes = 256
)

// Name returns an error for text that cannot be the name of an availability zone or the id
// of a backend server. Such names are copied into headers, tables and log lines.
func Name(s string) error {
	switch {
	case s == "":
		return errors.New("empty name")
	case len(s) > maxNameBytes:
		return errors.Newf("name of %d bytes begins with %q, at most %d are allowed", len(s), Excerpt(s), maxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return unicode.IsControl(r) || unicode.IsSpace(r) }):
		return errors.Newf("name %q has a space or a control character", s)
	default:
		return nil
	}
}

// Heartbeat returns an error for a heartbeat that no backend server can have sent. One with a
// start time in the future would make all later heartbeats count as those of an earlier start.
func Heartbeat(h descriptor.Heartbeat) error {
	if err := Name(h.ID); err != nil {
		return errors.Wrap(err, "id")
	}
	switch {
	case h.Slots <= 0 || h.Slots > maxSlots:
		return errors.Newf("%d slots, not 1 to %d", h.Slots, maxSlots)
	case h.StartedAtMillis < 0 || h.StartedAtMillis > maxStartMillis:
		return errors.Newf("start time %d ms, not 0 to %d", h.StartedAtMillis, maxStartMillis)
	case h.WarmUpRemaining < 0 || h.WarmUpRemaining > maxWarmUp:
		return errors.Newf("warm-up of %s, not up to %s", h.WarmUpRemaining, maxWarmUp)
	case h.Keys == nil:
		return nil
	}
	for _, r := range h.Keys.Released {
		if err := Handover(r.Handover); err != nil {
			return errors.Wrapf(err, "released keys %d to %d", r.First, r.Last)
		}
	}
	return nil
}

// Table returns an error for a stored table that no coordinator can have written. The planner
// relies on members in order and on ranges that cover each key once.
func Table(t *partitioner.Table) error {
	if t.Epoch == 0 || max(t.Epoch, t.Version, t.LastToken) > maxCounter {
		return errors.Newf("epoch %d, version %d or last token %d out of range", t.Epoch, t.Version, t.LastToken)
	}
	for i, m := range t.Members {
		if i > 0 && t.Members[i-1].ID >= m.ID {
			return errors.Newf("member %q is not in order", Excerpt(string(m.ID)))
		}
		if m.Server.Slots < 0 || m.Server.Slots > maxSlots {
			return errors.Newf("member %q has %d slots, not 0 to %d", Excerpt(string(m.ID)), m.Server.Slots, maxSlots)
		}
	}
	if _, ok := t.Member(t.Coordinator); !ok {
		return errors.Newf("coordinator %q is not a member", Excerpt(string(t.Coordinator)))
	}
	services := make(map[string]bool)
	for _, d := range t.Divisions {
		if services[d.Service] {
			return errors.Newf("service %q is divided twice", Excerpt(d.Service))
		}
		services[d.Service] = true
		if err := division(d, t.LastToken); err != nil {
			return errors.Wrapf(err, "service %q", Excerpt(d.Service))
		}
	}
	return quotaShards(t)
}

// quotaShards returns an error unless a table has all shards in order, or none.
func quotaShards(t *partitioner.Table) error {
	if n := len(t.QuotaShards); n != 0 && n != partitioner.QuotaGroups*partitioner.QuotaShardsPerGroup {
		return errors.Newf("%d quota shards, not %d", n, partitioner.QuotaGroups*partitioner.QuotaShardsPerGroup)
	}
	for i, s := range t.QuotaShards {
		if s.Group*partitioner.QuotaShardsPerGroup+s.Index != i || s.Index < 0 || s.Index >= partitioner.QuotaShardsPerGroup {
			return errors.Newf("quota shard %d of group %d is not in order", s.Index, s.Group)
		}
		if s.Token > t.LastToken {
			return errors.Newf("quota shard %d of group %d has token %d, above the last one, %d", s.Index, s.Group, s.Token, t.LastToken)
		}
	}
	return nil
}

func division(d partitioner.Division, lastToken uint64) error {
	next := 0
	for _, r := range d.Ranges {
		if int(r.First) != next || r.Last < r.First {
			return errors.Newf("range %d to %d follows key %d", r.First, r.Last, next-1)
		}
		if r.Token > lastToken {
			return errors.Newf("range %d to %d has token %d, above the last one, %d", r.First, r.Last, r.Token, lastToken)
		}
		next = int(r.Last) + 1
	}
	if next != partitioner.KeyCount {
		return errors.Newf("ranges end at key %d", next-1)
	}
	return nil
}

// Handover returns an error for a handover value that is too large to be passed on.
func Handover(s string) error {
	if len(s) > maxHandoverBytes {
		return errors.Newf("handover value of %d bytes, at most %d are allowed", len(s), maxHandoverBytes)
	}
	return nil
}

// Excerpt returns the beginning of text from outside, for a log line.
func Excerpt(s string) string {
	if len(s) <= maxExcerptBytes {
		return s
	}
	return s[:maxExcerptBytes] + "..."
}
