package participant

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// recoveryRounds is how often members are asked for their tables after a restore of the
// store, unless all have answered before.
const recoveryRounds = 2

// observeEra records the store's era. It rises when the store is restored from an older copy.
func (p *Participant) observeEra(era uint64) {
	for {
		before := p.storeEra.Load()
		if era <= before {
			return
		}
		if p.storeEra.CompareAndSwap(before, era) {
			p.logger.Warn().Uint64("era", era).Uint64("before", before).Msg("the store's era rose")
			return
		}
	}
}

func (p *Participant) logOlderTable(stored storedTable, known *partitioner.Table) {
	p.logger.Warn().Uint64("era", stored.era).Uint64("revision", stored.revision).Uint64("epoch", stored.table.Epoch).
		Uint64("version", stored.table.Version).Uint64("knownEpoch", known.Epoch).Uint64("knownVersion", known.Version).
		Msg("the stored table is older than the one in force")
}

// newestTable returns the newest table that this node knows, or nil. The caller holds p.mu.
func (p *Participant) newestTable() *partitioner.Table {
	t := p.table.Load()
	if p.overseer != nil && p.overseer.Table().Newer(t) {
		return p.overseer.Table()
	}
	return t
}

// readTable reads the stored table. If it is lost, or a restore of the store has lost all
// tables, the result has the newest one that this node knows.
func (p *Participant) readTable(ctx context.Context) (storedTable, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := readStoredTable(ctx, p.store)
	p.observeEra(stored.era)
	isBlank := stored.table != nil && stored.table.IsBlank()
	if isMissing := errors.Is(err, descriptor.ErrNotFound); isMissing || stored.isLost || isBlank {
		p.mu.Lock()
		if t := p.newestTable(); t != nil && t.Newer(stored.table) && (!isBlank || !t.IsBlank()) {
			if isBlank {
				stored.blank = stored.table
				stored.isLost = stored.table.Era >= stored.era
			}
			stored.isLost = stored.isLost || t.Era >= stored.era
			stored.table, err = t, nil
		}
		p.mu.Unlock()
	}
	if err == nil || stored.isLost {
		p.logRejected(tableKind, stored.rejected)
	}
	return stored, err
}

// recoverTable takes the role with the newest table that any member knows, in a new era of
// the store or in place of a table that is lost.
func (p *Participant) recoverTable(ctx context.Context, stored storedTable) {
	p.mu.Lock()
	recovery := overseer.NewRecovery(p.self.ID, p.granter.LeaseLeft(p.timers.Now()) > 0, stored.table, p.newestTable())
	p.mu.Unlock()
	recovery.Replace(stored.blank)
	for range recoveryRounds {
		p.askForTables(ctx, recovery)
	}
	newest := recovery.Newest()
	if newest.Era > stored.era || (newest.Era == stored.era && !stored.isLost) { // another node was first
		p.applyTable(newest)
		return
	}
	next := recovery.Table(p.self, p.incarnation, stored.era, stored.minEras())
	p.logger.Info().Uint64("era", stored.era).Bool("lost", stored.isLost).Uint64("storedVersion", stored.table.Version).
		Uint64("version", newest.Version).Uint64("epoch", next.Epoch).
		Int("members", len(next.Members)).Int("unheard", len(next.Unheard)).Msg("table recovered from the members")
	if p.storeNewTable(ctx, next, stored) {
		p.logger.Info().Uint64("epoch", next.Epoch).Msg("coordinator's role taken")
	}
}

// askForTables asks the members that have not answered yet for newer tables.
func (p *Participant) askForTables(ctx context.Context, recovery *overseer.Recovery) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	newest := recovery.Newest()
	request := overseer.ProbeRequest{WantsTable: true, Epoch: newest.Epoch, Version: newest.Version}
	var g errgroup.Group
	var mu sync.Mutex
	for _, m := range recovery.Missing() {
		g.Go(func() error {
			reply, err := p.client.Probe(ctx, m.Address, request)
			if err != nil {
				return nil // a member that does not reply is not heard
			}
			mu.Lock()
			defer mu.Unlock()
			recovery.Add(m.ID, reply)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}
