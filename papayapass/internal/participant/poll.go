package participant

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Times of reading what operators wrote. A watch may go silent while changes are
// made, and forget them; so the coordinator reads, and tells all others.
const (
	// pollShare is the part of the time within which a configuration must be in force
	// that passes between two readings; with a call's time-out and a beat it stays
	// under that time.
	pollShare = 0.35
	// pollTimeoutShare is the part of the same time that bounds one call.
	pollTimeoutShare = 0.45
	// pollCheckInterval is how often a node looks whether it must read itself.
	pollCheckInterval = 100 * time.Millisecond
	// keysServedShare is the part of the bound for zones taken out in which their keys are
	// still served; readings and slow nodes take up to a third of it.
	keysServedShare = 0.5
	// freshnessShare is the part of the same time that the coordinator's reading, and its
	// word of it, may be old for a node to rely on it.
	freshnessShare = 0.5
)

// pollInterval is the time between two readings.
func (b *Bounds) pollInterval() time.Duration { return scale(b.ApplyTimeout, pollShare) }

// pollTimeout bounds one call of a reading.
func (b *Bounds) pollTimeout() time.Duration { return scale(b.ApplyTimeout, pollTimeoutShare) }

// freshness is how old a reading may be for a node to rely on it.
func (b *Bounds) freshness() time.Duration { return scale(b.ApplyTimeout, freshnessShare) }

func scale(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// desiredState is what operators want, as read from the store at one moment.
type desiredState struct {
	readAt timer.Instant // of the oldest part, by this node's clock
	// zonesRevision orders the lists of zones.
	zonesRevision uint64
	zonesOut      []string
}

// pollStore reads what operators wrote while this node coordinates, or while no
// coordinator tells it.
func (p *Participant) pollStore(ctx context.Context) error {
	next := p.timers.Now()
	for ctx.Err() == nil {
		if now := p.timers.Now(); next <= now && p.mustReadStore() {
			next = now.Add(p.bounds.Load().pollInterval())
			p.readStore(ctx)
		}
		pause(ctx, pollCheckInterval)
	}
	return nil
}

// mustReadStore says whether this node mustReadStore the store itself.
func (p *Participant) mustReadStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overseer != nil || p.timers.Now().Sub(p.freshReplyAt) > p.bounds.Load().freshness()
}

func (p *Participant) readStore(ctx context.Context) {
	began := p.timers.Now()
	done := p.readConfiguration(ctx) && p.readZones(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if done {
		p.desired.readAt = began
		return
	}
	if p.desired.readAt > 0 {
		p.notify() // the other nodes must read themselves
	}
	p.desired.readAt = 0
}

func (p *Participant) readConfiguration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.bounds.Load().pollTimeout())
	defer cancel()
	o, err := p.store.Get(ctx, p.layout.ConfigurationKind, p.layout.ConfigurationName)
	if errors.Is(err, descriptor.ErrNotFound) {
		return true
	}
	if err != nil {
		p.logger.Warn().Err(err).Msg("the configuration cannot be read")
		return false
	}
	if o.Revision == p.configurationRevision.Load() {
		return true
	}
	cfg, err := p.layout.Decode(o.Spec)
	if err != nil {
		p.logger.Warn().Err(err).Uint64("revision", o.Revision).Msg("configuration cannot be decoded, the old one stays")
		return true
	}
	p.configurationRevision.Store(o.Revision)
	p.applyConfiguration(cfg, "store")
	return true
}

func (p *Participant) readZones(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.bounds.Load().pollTimeout())
	defer cancel()
	list, revision, err := p.store.List(ctx, p.layout.ZonesOutKind)
	if err != nil {
		p.logger.Warn().Err(err).Msg("the zones out of service cannot be read")
		return false
	}
	zones := make([]string, 0, len(list))
	for _, o := range list {
		zones = append(zones, o.Name)
	}
	sort.Strings(zones)
	p.setZones(zones, revision)
	return true
}

// setZones takes the zones that operators took out, unless a later list is known.
func (p *Participant) setZones(zones []string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision < p.desired.zonesRevision {
		return
	}
	wasOut := (*p.zonesOut.Load())[p.self.Zone]
	changed := len(zones) != len(p.desired.zonesOut)
	for i := 0; !changed && i < len(zones); i++ {
		changed = zones[i] != p.desired.zonesOut[i]
	}
	first := p.desired.zonesRevision == 0
	p.desired.zonesRevision, p.desired.zonesOut = revision, zones
	if !changed {
		return
	}
	out := make(map[string]bool, len(zones))
	for _, z := range zones {
		out[z] = true
	}
	if wasOut && !out[p.self.Zone] {
		p.forwarder.ZoneReturned()
	}
	if !first && out[p.self.Zone] && !wasOut {
		p.keysServedUntil.Store(int64(p.timers.Now().Add(time.Duration(keysServedShare * float64(p.bounds.Load().ZoneOutTimeout)))))
	}
	p.zonesOut.Store(&out)
	p.logger.Info().Strs("zones", zones).Uint64("revision", revision).Bool("ownZone", out[p.self.Zone]).Msg("zones out of service")
	p.notify()
}

// notify lets replies that wait for a change go. The caller holds p.mu.
func (p *Participant) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fillReply adds what operators want to a reply. The caller holds p.mu.
func (p *Participant) fillReply(r *overseer.HeartbeatReply, b overseer.Heartbeat) {
	r.ZonesOut, r.ZonesRevision = p.desired.zonesOut, p.desired.zonesRevision
	r.ZonesFresh = p.desired.readAt > 0 && p.timers.Now().Sub(p.desired.readAt) <= p.bounds.Load().freshness()
	if cfg := p.Configuration(); cfg != nil && cfg.Version > b.ConfigurationVersion {
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
