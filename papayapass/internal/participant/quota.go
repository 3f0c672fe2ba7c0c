package participant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/charger"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// chargePatience is the time without an answer after which the next accountant is asked too.
const chargePatience = 60 * time.Millisecond

// QuotaStats counts the charges that this node asked for, by their result.
type QuotaStats struct {
	Asked, Granted, Denied, Unreachable uint64
	// ShardsOwned is the number of quota shards that this node accounts for.
	ShardsOwned int
}

// quota charges the requests that this node receives, and answers the charges of other nodes.
type quota struct {
	p          *Participant
	accountant *accountant.Accountant
	charger    *charger.Charger
	logger     zerolog.Logger

	asked, granted, denied, unreachable atomic.Uint64

	mu sync.Mutex
	// rounds are the calls in flight, by customer. All waiting requests of a customer share one round.
	rounds map[string]chan struct{}
}

var _ dispatcher.Quota = (*Participant)(nil)

func newQuota(p *Participant, b Bounds) *quota {
	return &quota{
		p: p, accountant: accountant.NewAccountant(p.self.ID), charger: charger.NewCharger(p.self, b.Quota), logger: p.logger,
		rounds: make(map[string]chan struct{}),
	}
}

// applyConfiguration puts the limits of a configuration in force.
func (q *quota) applyConfiguration(cfg *descriptor.Configuration) {
	q.accountant.SetLimits(cfg, q.p.bounds.Load().Quota, q.p.timers.Now())
	q.charger.Retain(cfg)
}

// setBounds applies changed settings.
func (q *quota) setBounds(b Bounds) {
	q.charger.SetBounds(b.Quota)
	if cfg := q.p.Configuration(); cfg != nil {
		q.accountant.SetLimits(cfg, b.Quota, q.p.timers.Now())
	}
}

func (q *quota) applyTable(t *partitioner.Table) {
	if taken, lost := q.accountant.SetTable(t, q.p.timers.Now()); taken > 0 || lost > 0 {
		q.logger.Info().Uint64("epoch", t.Epoch).Uint64("version", t.Version).Int("taken", taken).Int("lost", lost).
			Int("owned", q.accountant.Owned()).Msg("quota shards changed, those taken start without credits")
	}
}

// HandleCharge answers another node's charge.
func (p *Participant) HandleCharge(c accountant.Charge) accountant.Answer {
	now := p.timers.Now()
	return p.quota.accountant.Charge(c, p.granter.LeaseLeft(now), now)
}

// QuotaStats returns the counts of charges.
func (p *Participant) QuotaStats() QuotaStats {
	q := p.quota
	return QuotaStats{
		Asked: q.asked.Load(), Granted: q.granted.Load(), Denied: q.denied.Load(), Unreachable: q.unreachable.Load(),
		ShardsOwned: q.accountant.Owned(),
	}
}

// Charge takes a credit of a customer.
func (p *Participant) Charge(ctx context.Context, c *descriptor.Customer) (dispatcher.Credit, dispatcher.Reason, time.Duration) {
	if c.Rate <= 0 {
		return dispatcher.Credit{}, dispatcher.ReasonNone, 0
	}
	return p.quota.charge(ctx, c)
}

// Refund gives back the credit of a request that has not run, for other requests at this node.
func (p *Participant) Refund(c *descriptor.Customer, credit dispatcher.Credit) {
	p.quota.charger.Refund(c.Name, credit.Asked, p.timers.Now())
}

func (q *quota) charge(ctx context.Context, c *descriptor.Customer) (dispatcher.Credit, dispatcher.Reason, time.Duration) {
	arrived := q.p.timers.Now()
	q.charger.Arrive(c.Name, arrived)
	defer q.charger.Leave(c.Name)
	ctx, cancel := context.WithTimeout(ctx, charger.Timeout)
	defer cancel()
	for {
		now := q.p.timers.Now()
		if asked, ok := q.charger.Take(c.Name, arrived, now); ok {
			return dispatcher.Credit{Asked: asked}, dispatcher.ReasonNone, 0
		}
		round, retry, denied := q.joinRound(ctx, c, arrived, now)
		if round == nil {
			if denied {
				if n := q.charger.Reject(c.Name, now); n > 0 {
					q.logger.Info().Str("customer", c.Name).Int("requests", n).Float64("rate", c.Rate).Float64("burst", c.Burst).Dur("retry", retry).
						Msg("customer limited")
				}
				return dispatcher.Credit{}, dispatcher.ReasonQuota, retry
			}
			return dispatcher.Credit{}, dispatcher.ReasonNoQuota, retry
		}
		select {
		case <-round:
		case <-ctx.Done():
		}
	}
}

// joinRound returns the customer's round of calls, which is closed at its end. Without a group to ask, or
// time to do so, it returns none, whether a group has denied credits, and when to retry.
func (q *quota) joinRound(ctx context.Context, c *descriptor.Customer, arrived, now timer.Instant) (round chan struct{}, retry time.Duration, denied bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	targets, denied, retry := q.charger.Targets(c, q.p.table.Load(), arrived, now)
	if len(targets) == 0 || ctx.Err() != nil {
		return nil, retry, denied
	}
	if round, ok := q.rounds[c.Name]; ok {
		return round, retry, denied
	}
	round = make(chan struct{})
	q.rounds[c.Name] = round
	go q.runRound(c.Name, targets, round)
	return round, retry, denied
}

// runRound asks one accountant after the other until one grants credits. One that is slow is asked
// further while the next is asked too.
func (q *quota) runRound(customer string, targets []charger.Target, round chan struct{}) {
	defer func() {
		q.mu.Lock()
		delete(q.rounds, customer)
		q.mu.Unlock()
		close(round)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), charger.Timeout)
	running := 0
	defer func() {
		if running == 0 {
			cancel()
			return
		}
		time.AfterFunc(charger.Timeout, cancel) // a late answer still counts
	}()
	results := make(chan bool, len(targets))
	for next := 0; next < len(targets) || running > 0; {
		var impatient <-chan time.Time
		if next < len(targets) {
			t := targets[next]
			go func() { results <- q.ask(ctx, customer, t) }()
			next, running = next+1, running+1
		}
		if next < len(targets) {
			impatient = time.After(chargePatience)
		}
		select {
		case isGranted := <-results:
			running--
			if isGranted {
				return
			}
		case <-impatient:
		case <-ctx.Done():
			return
		}
	}
}

// ask asks one accountant and reports whether it granted credits.
func (q *quota) ask(ctx context.Context, customer string, t charger.Target) bool {
	request := accountant.Charge{Customer: customer, Group: t.Group, Count: q.charger.BatchSize(customer)}
	asked := q.p.timers.Now()
	q.asked.Add(1)
	var answer accountant.Answer
	if t.Owner.ID == q.p.self.ID {
		answer = q.p.HandleCharge(request)
	} else {
		var err error
		if answer, err = q.p.client.Charge(ctx, t.Owner.Address, request); err != nil {
			q.unreachable.Add(1)
			if q.charger.HandleFailure(t.Owner.ID, q.p.timers.Now()) {
				q.logger.Warn().Err(err).Str("accountant", string(t.Owner.ID)).Int("group", t.Group).Msg("accountant unreachable, other groups are asked")
			}
			return false
		}
	}
	q.charger.HandleAnswer(customer, t, answer, asked, q.p.timers.Now())
	switch answer.Outcome {
	case accountant.Granted:
		q.granted.Add(uint64(answer.Count))
		return true
	case accountant.Denied:
		q.denied.Add(1)
		return false
	case accountant.NotOwner, accountant.UnknownCustomer:
		return false
	default:
		return false
	}
}
