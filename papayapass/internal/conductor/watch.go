package conductor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/shared/descriptor"
)

// Times of watching the store.
const (
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * time.Second
	// watchSlack is added to it for the answer.
	watchSlack = 2 * time.Second
	// listTimeout bounds a listing.
	listTimeout = 1500 * time.Millisecond
	// watchPause is the time between tries while the store is away.
	watchPause = 300 * time.Millisecond
	// relist is the longest time without a whole listing, as a watch may go silent.
	relist = 20 * time.Second
)

// watchConfiguration keeps the newest configuration in force.
func (c *Conductor) watchConfiguration(ctx context.Context) error {
	return c.watch(ctx, c.objects.ConfigurationKind, func(list []descriptor.Object) {
		for _, o := range list {
			c.readConfiguration(o)
		}
	}, func(e descriptor.Event) {
		if !e.Removed {
			c.readConfiguration(e.Object)
		}
	})
}

func (c *Conductor) readConfiguration(o descriptor.Object) {
	if o.Name != c.objects.ConfigurationName {
		return
	}
	cfg, err := c.objects.Decode(o.Spec)
	if err != nil {
		c.logger.Warn().Err(err).Uint64("revision", o.Revision).Msg("configuration cannot be read, the old one stays")
		return
	}
	c.apply(cfg, "store")
}

// watchZones follows which zones operators took out.
func (c *Conductor) watchZones(ctx context.Context) error {
	out := make(map[string]bool)
	publish := func() {
		zones := make(map[string]bool, len(out))
		for z := range out {
			zones[z] = true
		}
		c.zonesOut.Store(&zones)
		c.logger.Info().Int("out", len(zones)).Bool("ownZone", zones[c.self.Zone]).Msg("zones out of service")
		c.Kick()
	}
	return c.watch(ctx, c.objects.ZonesOutKind, func(list []descriptor.Object) {
		before := len(out)
		clear(out)
		for _, o := range list {
			out[o.Name] = true
		}
		if before+len(out) > 0 {
			publish()
		}
	}, func(e descriptor.Event) {
		if e.Removed {
			delete(out, e.Object.Name)
		} else {
			out[e.Object.Name] = true
		}
		publish()
	})
}

// watch lists a kind and follows its changes until the context ends.
func (c *Conductor) watch(ctx context.Context, kind string, listed func([]descriptor.Object), event func(descriptor.Event)) error {
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		list, revision, err := c.store.List(lctx, kind)
		cancel()
		if err != nil {
			c.logger.Warn().Err(err).Str("kind", kind).Msg("listing failed")
			pause(ctx, watchPause)
			continue
		}
		listed(list)
		c.follows(ctx, kind, revision, event)
	}
	return nil
}

// follows watches from a revision until the watch breaks.
func (c *Conductor) follows(ctx context.Context, kind string, revision uint64, event func(descriptor.Event)) {
	until := c.timers.Now().Add(relist)
	for ctx.Err() == nil && c.timers.Now() < until {
		wctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		events, next, err := c.store.Watch(wctx, kind, revision, watchWait)
		cancel()
		if err != nil {
			if !errors.Is(err, descriptor.ErrHistoryGone) {
				c.logger.Warn().Err(err).Str("kind", kind).Msg("watch broke")
				pause(ctx, watchPause)
			}
			return
		}
		for _, e := range events {
			event(e)
		}
		revision = max(revision, next)
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
