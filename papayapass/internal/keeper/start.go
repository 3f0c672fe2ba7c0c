package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
)

// startRetry is the time between two reads of the cell's object at the start.
const startRetry = 250 * time.Millisecond

// start reads the cell's object, or creates it when this is the first node.
func (k *Keeper) start(ctx context.Context) error {
	tick := k.timers.Subscribe(startRetry)
	defer tick.Stop()
	for {
		done, err := k.readOrFound(ctx)
		if done || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			k.logger.Warn().Err(err).Msg("platform unavailable at start, trying again")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
	}
}

func (k *Keeper) readOrFound(ctx context.Context) (bool, error) {
	t, err := k.archive.Read(ctx)
	if err != nil {
		return false, err
	}
	if t != nil {
		k.post(readEvent{table: t, found: true})
		return true, nil
	}
	first := assigner.NewTable(k.self.Cell(), assigner.Epoch(time.Now().Unix()), k.self.Member())
	switch k.archive.Create(ctx, first) {
	case coordinator.StoreDone:
		k.post(readEvent{table: first})
		return true, nil
	case coordinator.StoreSuperseded:
		return false, nil
	default:
		return false, errors.New("could not create the cell's object")
	}
}
