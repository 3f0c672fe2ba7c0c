package keeper

import (
	"context"

	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/negotiator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// recordLink records the link on which a node last sent a message.
func (k *Keeper) recordLink(l *messenger.Link, m proto.Message) {
	switch m := m.(type) {
	case *wirepb.Beat:
		k.links[assigner.NodeID(m.GetNode())] = l
	case *wirepb.Claim:
		k.links[assigner.NodeID(m.GetCandidate())] = l
	}
}

// resetSilentLink closes the link to a coordinator that does not reply, so that
// the next heartbeat opens a new one. The link may be broken while the
// coordinator is up.
func (k *Keeper) resetSilentLink(now timer.Instant) {
	silence := now.Sub(k.negotiator.Holder().LastContact())
	if k.negotiator.Coordinator() != nil || silence < linkResetSilence || now.Sub(k.lastReset) < linkResetSilence {
		return
	}
	_, address := k.negotiator.Holder().Coordinator()
	if address == "" {
		return
	}
	k.lastReset = now
	if l := k.connector.ExistingLink(address); l != nil {
		k.logger.Warn().Str("peer", l.Peer().GetNode()).Msg("no reply from the coordinator, link closed")
		l.Close()
	}
}

// performAction performs one action and reports whether the table changed.
func (k *Keeper) performAction(ctx context.Context, a negotiator.Action, from *messenger.Link) bool {
	switch a := a.(type) {
	case negotiator.Reply:
		if from != nil {
			_ = from.SendControl(a.Message()) // the protocol resends lost messages
		}
	case negotiator.SendNode:
		k.sendNode(ctx, a)
	case negotiator.SendAddress:
		k.sendAddress(ctx, a.Address(), a.Message())
	case negotiator.Store:
		k.write(a.Table())
	case negotiator.LogEntry:
		k.logger.Info().Str("reason", a.Reason()).Uint64("epoch", uint64(a.Epoch())).Msg(a.Text())
	case negotiator.TableChanged:
		k.moves.compare(a.Before(), a.After(), k.restriction)
		return true
	}
	return false
}

// write passes a table to the writing goroutine. If writes of an earlier epoch
// still occupy it, the result of the new write counts as unknown and the write
// is repeated.
func (k *Keeper) write(t *assigner.Table) {
	select {
	case k.writes <- t:
	default:
		k.post(storedEvent{table: t, result: coordinator.StoreUnknown})
	}
}

// sendNode sends a coordinator's message to a node, on the link on which the
// node last sent a message.
func (k *Keeper) sendNode(ctx context.Context, a negotiator.SendNode) {
	if l, ok := k.links[a.To()]; ok {
		if err := l.SendControl(a.Message()); err == nil {
			return
		}
		delete(k.links, a.To())
	}
	c := k.negotiator.Coordinator()
	if c == nil {
		return
	}
	if m, ok := c.Table().Member(a.To()); ok {
		k.sendAddress(ctx, m.Address(), a.Message())
	}
}

// sendAddress sends a message to an address. If no link is open, a separate
// goroutine opens one, so that an unreachable peer does not delay the others.
func (k *Keeper) sendAddress(ctx context.Context, address string, m proto.Message) {
	if l := k.connector.ExistingLink(address); l != nil {
		_ = l.SendControl(m) // the protocol resends lost messages
		return
	}
	if _, busy := k.dialling.LoadOrStore(address, struct{}{}); busy {
		return
	}
	go func() {
		defer k.dialling.Delete(address)
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		l, err := k.connector.Link(ctx, address)
		if err == nil {
			_ = l.SendControl(m) // the protocol resends lost messages
		}
	}()
}
