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

// recordLink notes the link on which a node last spoke.
func (k *Keeper) recordLink(l *messenger.Link, m proto.Message) {
	switch m := m.(type) {
	case *wirepb.Beat:
		k.links[assigner.NodeID(m.GetNode())] = l
	case *wirepb.Claim:
		k.links[assigner.NodeID(m.GetCandidate())] = l
	}
}

// resetSilentLink closes the link to a coordinator that does not answer, so that
// the next heartbeat opens a fresh one: the link may be dead and the node not.
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

// performAction carries out one action and reports whether it changed what requests go
// by.
func (k *Keeper) performAction(ctx context.Context, a negotiator.Action, from *messenger.Link) bool {
	switch a := a.(type) {
	case negotiator.Reply:
		if from != nil {
			_ = from.SendControl(a.Message()) // the protocol repeats what is lost
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

// write hands a table to the thread that writes. While that is still busy with
// a write of an earlier epoch, the new one counts as unanswered and is repeated.
func (k *Keeper) write(t *assigner.Table) {
	select {
	case k.writes <- t:
	default:
		k.post(storedEvent{table: t, result: coordinator.StoreUnknown})
	}
}

// sendNode sends a coordinator's message to a node, over the link on which the
// node last spoke.
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

// sendAddress sends a message to an address. Where no link is open, another
// thread opens one, so that an unreachable peer holds up nobody else.
func (k *Keeper) sendAddress(ctx context.Context, address string, m proto.Message) {
	if l := k.connector.ExistingLink(address); l != nil {
		_ = l.SendControl(m) // the protocol repeats what is lost
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
			_ = l.SendControl(m) // the protocol repeats what is lost
		}
	}()
}
