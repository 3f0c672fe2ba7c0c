package participant

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
