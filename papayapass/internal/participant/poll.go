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
	// pollCheck is how often a node looks whether it must read itself.
	pollCheck = 100 * time.Millisecond
	// keysShare is the part of the bound for zones taken out in which their keys are
	// still served; readings and slow nodes take up to a third of it.
	keysShare = 0.5
	// freshShare is the part of the same time that the coordinator's reading, and its
	// word of it, may be old for a node to rely on it.
	freshShare = 0.5
)

// pollInterval is the time between two readings.
func (b *Bounds) pollInterval() time.Duration { return share(b.ApplyTimeout, pollShare) }

// pollTimeout bounds one call of a reading.
func (b *Bounds) pollTimeout() time.Duration { return share(b.ApplyTimeout, pollTimeoutShare) }

// freshness is how old a reading may be for a node to rely on it.
func (b *Bounds) freshness() time.Duration { return share(b.ApplyTimeout, freshShare) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// wishes is what operators want, as read from the store at one moment.
type wishes struct {
	readAt timer.Instant // of the oldest part, by this node's clock
	// zonesRevision orders the lists of zones.
	zonesRevision uint64
	zonesOut      []string
}

// poll reads what operators wrote while this node coordinates, or while no
// coordinator tells it.
func (c *Participant) poll(ctx context.Context) error {
	next := c.timers.Now()
	for ctx.Err() == nil {
		if now := c.timers.Now(); next <= now && c.reads() {
			next = now.Add(c.bounds.Load().pollInterval())
			c.read(ctx)
		}
		pause(ctx, pollCheck)
	}
	return nil
}

// reads says whether this node reads the store itself.
func (c *Participant) reads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer != nil || c.timers.Now().Sub(c.coveredAt) > c.bounds.Load().freshness()
}

func (c *Participant) read(ctx context.Context) {
	began := c.timers.Now()
	done := c.readConfiguration(ctx) && c.readZones(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.wishes.readAt = began
		return
	}
	if c.wishes.readAt > 0 {
		c.notify() // the other nodes must read themselves
	}
	c.wishes.readAt = 0
}

func (c *Participant) readConfiguration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.bounds.Load().pollTimeout())
	defer cancel()
	o, err := c.store.Get(ctx, c.objects.ConfigurationKind, c.objects.ConfigurationName)
	if errors.Is(err, descriptor.ErrNotFound) {
		return true
	}
	if err != nil {
		c.logger.Warn().Err(err).Msg("the configuration cannot be read")
		return false
	}
	if o.Revision == c.configurationRevision.Load() {
		return true
	}
	cfg, err := c.objects.Decode(o.Spec)
	if err != nil {
		c.logger.Warn().Err(err).Uint64("revision", o.Revision).Msg("configuration cannot be decoded, the old one stays")
		return true
	}
	c.configurationRevision.Store(o.Revision)
	c.apply(cfg, "store")
	return true
}

func (c *Participant) readZones(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.bounds.Load().pollTimeout())
	defer cancel()
	list, revision, err := c.store.List(ctx, c.objects.ZonesOutKind)
	if err != nil {
		c.logger.Warn().Err(err).Msg("the zones out of service cannot be read")
		return false
	}
	zones := make([]string, 0, len(list))
	for _, o := range list {
		zones = append(zones, o.Name)
	}
	sort.Strings(zones)
	c.setZones(zones, revision)
	return true
}

// setZones takes the zones that operators took out, unless a later list is known.
func (c *Participant) setZones(zones []string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.wishes.zonesRevision {
		return
	}
	wasOut := (*c.zonesOut.Load())[c.self.Zone]
	changed := len(zones) != len(c.wishes.zonesOut)
	for i := 0; !changed && i < len(zones); i++ {
		changed = zones[i] != c.wishes.zonesOut[i]
	}
	first := c.wishes.zonesRevision == 0
	c.wishes.zonesRevision, c.wishes.zonesOut = revision, zones
	if !changed {
		return
	}
	out := make(map[string]bool, len(zones))
	for _, z := range zones {
		out[z] = true
	}
	if wasOut && !out[c.self.Zone] {
		c.attendant.ZoneReturned()
	}
	if !first && out[c.self.Zone] && !wasOut {
		c.keysUntil.Store(int64(c.timers.Now().Add(time.Duration(keysShare * float64(c.bounds.Load().ZoneOutTimeout)))))
	}
	c.zonesOut.Store(&out)
	c.logger.Info().Strs("zones", zones).Uint64("revision", revision).Bool("ownZone", out[c.self.Zone]).Msg("zones out of service")
	c.notify()
}

// notify lets replies that wait for a change go. The caller holds c.mu.
func (c *Participant) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// tell adds what operators want to a reply. The caller holds c.mu.
func (c *Participant) tell(r *overseer.HeartbeatReply, b overseer.Heartbeat) {
	r.ZonesOut, r.ZonesRevision = c.wishes.zonesOut, c.wishes.zonesRevision
	r.ZonesFresh = c.wishes.readAt > 0 && c.timers.Now().Sub(c.wishes.readAt) <= c.bounds.Load().freshness()
	if cfg := c.Configuration(); cfg != nil && cfg.Version > b.ConfigurationVersion {
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
