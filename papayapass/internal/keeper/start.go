package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
)

// startRetryInterval is the time between two attempts to read or create the
// cell's object at startup.
const startRetryInterval = 250 * time.Millisecond

// initTable reads the cell's object, or creates it if this is the first node.
func (k *Keeper) initTable(ctx context.Context) error {
	tick := k.timers.Subscribe(startRetryInterval)
	defer tick.Stop()
	for {
		done, err := k.readOrCreate(ctx)
		if done || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			k.logger.Warn().Err(err).Msg("platform unavailable at startup, retrying")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
	}
}

func (k *Keeper) readOrCreate(ctx context.Context) (bool, error) {
	t, err := k.persister.Read(ctx)
	if err != nil {
		return false, err
	}
	if t != nil {
		k.post(readEvent{table: t, found: true})
		return true, nil
	}
	first := assigner.NewTable(k.self.Cell(), assigner.Epoch(time.Now().Unix()), k.self.Member())
	switch k.persister.Create(ctx, first) {
	case coordinator.StoreDone:
		k.post(readEvent{table: first})
		return true, nil
	case coordinator.StoreSuperseded:
		return false, nil
	default:
		return false, errors.New("could not create the cell's object")
	}
}
