package participant

import (
	"sync/atomic"
	"time"

	"papayapass.dev/papayapass/internal/selector"
)

// poolChoices counts what the choices in shared pools were based on.
type poolChoices struct {
	reportAge atomic.Int64 // of the last choice
	misses    atomic.Uint64
}

func (c *poolChoices) count(d selector.Decision, r selector.Request) {
	c.reportAge.Store(int64(d.ReportAge))
	if r.IsRetry && d.KnowsFree {
		c.misses.Add(1)
	}
}

// PoolReportAge returns the age of the load by which the last request to a shared pool was sent.
func (p *Participant) PoolReportAge() time.Duration {
	return time.Duration(p.poolChoices.reportAge.Load())
}

// PoolMisses returns how many tries in shared pools were in vain though another server was known to
// have a free slot.
func (p *Participant) PoolMisses() uint64 { return p.poolChoices.misses.Load() }
