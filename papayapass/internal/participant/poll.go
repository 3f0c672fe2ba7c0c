package participant

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

// Times for reading the configuration and the zones out of service. The store's watches
// can go silent and lose changes, so the coordinator polls and forwards what it read.
const (
	// pollShare is the poll interval as a fraction of ApplyTimeout. Together with a call's
	// time-out and a heartbeat it stays below ApplyTimeout.
	pollShare = 0.35
	// pollTimeoutShare is the time-out of one call as a fraction of ApplyTimeout.
	pollTimeoutShare = 0.45
	// keysServedShare is the fraction of ZoneOutTimeout in which the keys of the zone are
	// still served. Polling and slow nodes take up to a third of it.
	keysServedShare = 0.5
	// freshnessShare is the greatest age, as a fraction of ApplyTimeout, of the
	// coordinator's reading and of the reply that confirms it.
	freshnessShare = 0.5
	// firstReadDelay is how long a node that starts waits for the coordinator's reading
	// before it reads the configuration itself.
	firstReadDelay = 400 * time.Millisecond
	// restoreSettleTime is how long operators may take to write again what a restore of the
	// store has lost.
	restoreSettleTime = 5 * time.Second
	// maxStoreBackoff is the number of failed calls in a row up to which the time until the
	// next one doubles.
	maxStoreBackoff = 2
)

// storeBackoff counts the store's failures in a row, so that a store that is down gets
// fewer calls from a large fleet, all of which nodes would otherwise try it each second.
type storeBackoff struct{ failures atomic.Int32 }

// record records whether a call succeeded.
func (b *storeBackoff) record(err error) {
	if err == nil || errors.Is(err, descriptor.ErrNotFound) || errors.Is(err, descriptor.ErrConflict) {
		b.failures.Store(0)
		return
	}
	b.failures.Store(min(b.failures.Load()+1, maxStoreBackoff))
}

// stretch returns the time until the next call instead of the usual one.
func (b *storeBackoff) stretch(usual time.Duration) time.Duration { return usual << b.failures.Load() }

// pollInterval is the time between two readings.
func (b *Bounds) pollInterval() time.Duration { return scale(b.ApplyTimeout, pollShare) }

// pollTimeout limits one call of a reading.
func (b *Bounds) pollTimeout() time.Duration { return scale(b.ApplyTimeout, pollTimeoutShare) }

// freshness is the greatest age at which a reading still counts.
func (b *Bounds) freshness() time.Duration { return scale(b.ApplyTimeout, freshnessShare) }

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// readVersion is the version of the configuration that was read in a state of the store.
type readVersion struct {
	descriptor.StoreState

	version uint64
}

// desiredState is the state that operators asked for, as read from the store.
type desiredState struct {
	readAt timer.Instant // start of the reading, by this node's clock; zero if it failed
	// zonesRead orders the lists of zones.
	zonesRead descriptor.StoreState
	zonesOut  []string
	// zonesKept are out of service until keptUntil, though the list of a restored store does
	// not have them.
	zonesKept []string
	keptUntil timer.Instant
}

// pollStore reads the store while this node is the coordinator, or while no coordinator
// sends fresh readings.
func (p *Participant) pollStore(ctx context.Context) error {
	for ctx.Err() == nil {
		due := p.nextReadIn()
		if due <= 0 {
			start := p.timers.Now()
			p.readStore(ctx)
			pause(ctx, p.readPause(p.timers.Now().Sub(start)))
			continue
		}
		t := time.NewTimer(due)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-p.staleReply:
		}
		t.Stop()
	}
	return nil
}

// readPause returns the pause after a reading that took some time, whether it failed or not.
func (p *Participant) readPause(took time.Duration) time.Duration {
	return p.bounds.Load().pollInterval() - took
}

// nextReadIn returns the time until this node must read the store itself, unless a reply
// with a fresh reading arrives before.
func (p *Participant) nextReadIn() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overseer != nil {
		return 0
	}
	return p.bounds.Load().freshness() - p.timers.Now().Sub(p.freshReplyAt)
}

func (p *Participant) readStore(ctx context.Context) {
	start := p.timers.Now()
	done := p.readConfiguration(ctx) && p.readZones(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if done {
		p.desired.readAt = start
		return
	}
	if p.desired.readAt > 0 {
		p.notify() // the other nodes must read the store themselves
	}
	p.desired.readAt = 0
}

func (p *Participant) readConfiguration(ctx context.Context) bool {
	reading, before := configurationReading{started: p.timers.Now()}, p.versionInForce()
	ctx, cancel := context.WithTimeout(ctx, p.bounds.Load().pollTimeout())
	defer cancel()
	o, err := p.store.Get(ctx, p.layout.ConfigurationKind, p.layout.ConfigurationName)
	if errors.Is(err, descriptor.ErrNotFound) {
		return true
	}
	if errors.Is(err, descriptor.ErrMalformed) {
		p.logRejected(p.layout.ConfigurationKind, []error{err})
		return true // the store works, and zones are still read from it
	}
	if err != nil {
		p.logger.Warn().Err(err).Msg("the configuration cannot be read")
		return false
	}
	read := descriptor.StoreState{Era: o.Era, Revision: o.Revision}
	reading.ended, reading.era = p.timers.Now(), o.Era
	if last := p.lastRead.Load(); last != nil && last.StoreState == read {
		reading.version = last.version
		p.age.read(reading, before, p.versionInForce())
		return true
	}
	cfg, err := p.decodeConfiguration(o.Spec)
	if err != nil {
		p.logRejected(p.layout.ConfigurationKind, []error{errors.Wrapf(err, "revision %d", o.Revision)})
		return true // the previous one stays in force
	}
	p.logRejected(p.layout.ConfigurationKind, nil)
	p.lastRead.Store(&readVersion{read, cfg.Version})
	p.applyConfiguration(cfg, "store")
	reading.version = cfg.Version
	p.age.read(reading, before, p.versionInForce())
	return true
}

func (p *Participant) readZones(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.bounds.Load().pollTimeout())
	defer cancel()
	list, err := p.store.List(ctx, p.layout.ZonesOutKind)
	if err != nil {
		p.logger.Warn().Err(err).Msg("cannot read the zones out of service")
		return false
	}
	p.observeEra(list.State.Era)
	zones := make([]string, 0, len(list.Objects))
	for _, o := range list.Objects {
		if err := validator.Name(o.Name); err != nil {
			list.Rejected = append(list.Rejected, err)
			continue
		}
		zones = append(zones, o.Name)
	}
	p.logRejected(p.layout.ZonesOutKind, list.Rejected)
	sort.Strings(zones)
	p.setZones(zones, list.State)
	return true
}

// setZones sets the zones that operators took out of service, unless a later list is
// known.
func (p *Participant) setZones(zones []string, read descriptor.StoreState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if read.Before(p.desired.zonesRead) {
		return
	}
	now, before := p.timers.Now(), *p.zonesOut.Load()
	first := p.desired.zonesRead == descriptor.StoreState{}
	if !first && read.Era > p.desired.zonesRead.Era {
		p.desired.zonesKept, p.desired.keptUntil = slices.Sorted(maps.Keys(before)), now.Add(restoreSettleTime)
	}
	p.desired.zonesRead, p.desired.zonesOut = read, zones
	out := make(map[string]bool, len(zones))
	for _, z := range zones {
		out[z] = true
	}
	if now < p.desired.keptUntil {
		for _, z := range p.desired.zonesKept {
			out[z] = true
		}
	}
	if maps.Equal(before, out) {
		return
	}
	wasOut := before[p.self.Zone]
	if wasOut && !out[p.self.Zone] {
		p.forwarder.ZoneReturned()
	}
	if !first && out[p.self.Zone] && !wasOut {
		p.keysServedUntil.Store(int64(now.Add(time.Duration(keysServedShare * float64(p.bounds.Load().ZoneOutTimeout)))))
	}
	p.zonesOut.Store(&out)
	p.logger.Info().Strs("zones", zones).Strs("kept", p.desired.zonesKept).Uint64("era", read.Era).Uint64("revision", read.Revision).
		Bool("ownZone", out[p.self.Zone]).Msg("zones out of service")
	p.notify()
}

// notify releases the replies that wait for a change. The caller holds p.mu.
func (p *Participant) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fillReply adds the desired state to a reply. The caller holds p.mu.
func (p *Participant) fillReply(r *overseer.HeartbeatReply, h overseer.Heartbeat) {
	r.ZonesOut, r.ZonesEra, r.ZonesRevision = p.desired.zonesOut, p.desired.zonesRead.Era, p.desired.zonesRead.Revision
	p.fillAge(r)
	r.StoreFresh = p.desired.readAt > 0 && p.timers.Now().Sub(p.desired.readAt) <= p.bounds.Load().freshness()
	if cfg := p.Configuration(); cfg != nil && cfg.Version > h.ConfigurationVersion {
		r.Configuration = cfg.Source
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
