package participant

import (
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
)

// revocationReserve is the fraction of the revocation bound that is left unused, since the clocks of the
// coordinator and of this node may differ in rate.
const revocationReserve = 0.05

// configurationReading is one reading of the configuration in the store.
type configurationReading struct {
	started timer.Instant
	ended   timer.Instant
	era     uint64
	version uint64
}

// configurationAge knows up to which instant no configuration can have been acknowledged that is newer
// than the one in force. It is pure: callers pass the time.
type configurationAge struct {
	mu    sync.Mutex
	known bool
	asOf  timer.Instant
	// era is the highest era of the store in a reading, and newest the newest version read in it. What a
	// restore lost may be missing in the store until settledAt, when operators have written it again.
	era       uint64
	newest    uint64
	hasRead   bool
	settledAt timer.Instant
}

// read takes a reading; inForce is the version in force after it, and before it the one before.
//
// Within an era, versions only rise. A reading of an older version than the one in force is stale, and
// tells nothing. After a restore, the store holds an older version, or the one in force while a newer one
// was lost: readings count when operators had the time to write that again, or when they show a version
// that is newer than the one in force, which somebody has written since.
func (a *configurationAge) read(r configurationReading, before, inForce uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.era < a.era {
		return
	}
	if (a.hasRead && r.era > a.era) || (!a.hasRead && r.version < before) {
		a.settledAt, a.newest = r.ended.Add(restoreSettleTime), 0
	}
	isStale := r.version < a.newest
	a.era, a.newest, a.hasRead = r.era, max(a.newest, r.version), true
	isSettling := r.started < a.settledAt
	// After a restore, an older version stays in the store if nobody writes a newer one.
	wasRestored := a.settledAt > 0
	if isStale || inForce < r.version || (isSettling && r.version <= before) || (r.version < inForce && !wasRestored) {
		return
	}
	a.advance(r.started)
}

// hear takes what the coordinator knows: the age that the configuration of a version had at most, counted
// at this node from when it asked.
func (a *configurationAge) hear(asked timer.Instant, age time.Duration, version, inForce uint64) {
	if age < 0 || version == 0 || inForce < version {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(asked.Add(-age))
}

// advance moves the knowledge forward. The caller holds a.mu.
func (a *configurationAge) advance(asOf timer.Instant) {
	if !a.known || asOf > a.asOf {
		a.known, a.asOf = true, asOf
	}
}

// age returns the greatest age of the configuration in force; the result is false if it is not known.
func (a *configurationAge) age(now timer.Instant) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.asOf), a.known
}

// ConfigurationFreshness returns the freshness of the configuration in force.
func (p *Participant) ConfigurationFreshness() dispatcher.Freshness {
	age, known := p.age.age(p.timers.Now())
	fresh := freshness(age, known, p.bounds.Load())
	if cfg := p.Configuration(); cfg != nil && cfg.RequiresKeys() {
		if before := dispatcher.Freshness(p.lastFreshness.Swap(int32(fresh))); before != fresh {
			p.logger.Info().Stringer("freshness", fresh).Stringer("before", before).Dur("age", age).Bool("known", known).Uint64("version", cfg.Version).
				Msg("age of the configuration changes which keys are accepted")
		}
	}
	return fresh
}

// fillAge adds the age of this node's configuration to a reply, where keys depend on it.
func (p *Participant) fillAge(r *overseer.HeartbeatReply) {
	age, known := p.age.age(p.timers.Now())
	if cfg := p.Configuration(); known && cfg != nil && cfg.RequiresKeys() {
		r.ConfigurationAge, r.ConfigurationVersion = age, cfg.Version
	}
}

// versionInForce returns the version of the configuration in force, or zero.
func (p *Participant) versionInForce() uint64 {
	if cfg := p.Configuration(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// freshness returns what may be decided with a configuration. Without a revocation bound, its keys are
// accepted at any age.
func freshness(age time.Duration, known bool, b *Bounds) dispatcher.Freshness {
	switch {
	case known && age <= b.ApplyTimeout && (b.Revocation == 0 || age <= b.maxAge()):
		return dispatcher.Current
	case b.Revocation == 0 || (known && age <= b.maxAge()):
		return dispatcher.Usable
	default:
		return dispatcher.Outdated
	}
}

// maxAge is the greatest age of a configuration whose keys are accepted.
func (b *Bounds) maxAge() time.Duration { return scale(b.Revocation, 1-revocationReserve) }
