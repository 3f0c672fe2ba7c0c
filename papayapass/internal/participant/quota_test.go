package participant

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// chargeClient answers charges by address.
type chargeClient struct {
	Client

	answers map[string]accountant.Answer
	calls   atomic.Int32
	// release, if set, holds the calls until it is closed.
	release chan struct{}
}

func (c *chargeClient) Charge(_ context.Context, address string, charge accountant.Charge) (accountant.Answer, error) {
	c.calls.Add(1)
	if c.release != nil {
		<-c.release
	}
	a, ok := c.answers[address]
	if !ok {
		return a, errors.New("unreachable")
	}
	a.Count = min(a.Count, charge.Count)
	return a, nil
}

// quotaTable gives the shards of each group to one of three members in other zones; node-1 is none.
func quotaTable() *partitioner.Table {
	t := &partitioner.Table{Epoch: 1, Version: 1}
	for _, id := range []partitioner.NodeID{"a", "b", "c", "node-1"} {
		t.SetMember(partitioner.Member{ID: id, Address: string(id), Zone: "zone-" + string(id)})
	}
	for i := range partitioner.QuotaGroups * partitioner.QuotaShardsPerGroup {
		group := i / partitioner.QuotaShardsPerGroup
		t.QuotaShards = append(t.QuotaShards, partitioner.QuotaShard{Group: group, Index: i % partitioner.QuotaShardsPerGroup, Owner: t.Members[group].ID, Token: 1})
	}
	return t
}

var limited = &descriptor.Customer{Name: "customer", Rate: 10, Burst: 30}

func TestCharge(t *testing.T) {
	granted := accountant.Answer{Outcome: accountant.Granted, Count: 100}
	denied := accountant.Answer{Outcome: accountant.Denied, Retry: 200 * time.Millisecond}
	for name, tt := range map[string]struct {
		answers  map[string]accountant.Answer
		customer *descriptor.Customer
		table    *partitioner.Table
		reason   dispatcher.Reason
		retry    time.Duration
		// calls is the number of calls for two requests, one after the other.
		calls int
	}{
		"no limit":                         {customer: &descriptor.Customer{Name: "free"}, table: quotaTable()},
		"one accountant is enough":         {answers: map[string]accountant.Answer{"a": granted, "b": granted, "c": granted}, table: quotaTable(), calls: 2},
		"one group denies":                 {answers: map[string]accountant.Answer{"a": denied, "b": denied, "c": granted}, table: quotaTable(), calls: -1},
		"two accountants are lost":         {answers: map[string]accountant.Answer{"b": granted}, table: quotaTable(), calls: -1},
		"all groups deny":                  {answers: map[string]accountant.Answer{"a": denied, "b": denied, "c": denied}, table: quotaTable(), reason: dispatcher.ReasonQuota, retry: denied.Retry, calls: 3},
		"an accountant is lost, two deny":  {answers: map[string]accountant.Answer{"a": denied, "c": denied}, table: quotaTable(), reason: dispatcher.ReasonQuota, retry: denied.Retry, calls: 3},
		"no accountant is reached":         {table: quotaTable(), reason: dispatcher.ReasonNoQuota, retry: time.Second, calls: 3},
		"no accountant knows the customer": {answers: map[string]accountant.Answer{"a": {Outcome: accountant.UnknownCustomer}, "b": {Outcome: accountant.NotOwner}, "c": {Outcome: accountant.NotOwner}}, table: quotaTable(), reason: dispatcher.ReasonNoQuota, retry: 100 * time.Millisecond, calls: 3},
		"the table has no accountants":     {table: &partitioner.Table{Epoch: 1}, reason: dispatcher.ReasonNoQuota, retry: time.Second},
		"the node is the only one reached": {table: ownTable(), calls: 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, clock := newTestParticipant(t, &fakeStore{})
			c := &chargeClient{answers: tt.answers}
			p.client = c
			p.quota.applyConfiguration(&descriptor.Configuration{Version: 1, Customers: []descriptor.Customer{*limited}})
			p.applyTable(tt.table)
			clock.Advance(time.Second)
			p.granter.SetLease(clock.Now().Add(time.Second))
			customer := limited
			if tt.customer != nil {
				customer = tt.customer
			}
			for range 2 {
				_, reason, retry := p.Charge(context.Background(), customer)
				require.Equal(t, tt.reason, reason)
				require.Equal(t, tt.retry, retry)
			}
			if tt.calls >= 0 {
				require.Equal(t, tt.calls, int(c.calls.Load()))
			}
		})
	}
}

// ownTable gives all shards to node-1.
func ownTable() *partitioner.Table {
	t := quotaTable()
	for i := range t.QuotaShards {
		t.QuotaShards[i].Owner = "node-1"
	}
	return t
}

// Requests of a customer that arrive while a call is in flight share it, and its answer has a credit for
// each of them.
func TestRequestsShareCharges(t *testing.T) {
	const requests = 100
	p, clock := newTestParticipant(t, &fakeStore{})
	granted := accountant.Answer{Outcome: accountant.Granted, Count: requests}
	c := &chargeClient{answers: map[string]accountant.Answer{"a": granted, "b": granted, "c": granted}}
	p.client = c
	p.applyTable(quotaTable())
	now := clock.Now()
	for range requests {
		p.quota.charger.Arrive(limited.Name, now)
	}
	round := make(chan struct{})
	p.quota.rounds[limited.Name] = round
	joined, _, _ := p.quota.joinRound(context.Background(), limited, now, now)
	require.Equal(t, round, joined)
	require.Zero(t, c.calls.Load())
	targets, _, _ := p.quota.charger.Targets(limited, p.table.Load(), now, now)
	p.quota.runRound(limited.Name, targets, round)
	<-joined
	for range requests {
		_, ok := p.quota.charger.Take(limited.Name, now, now)
		require.True(t, ok)
	}
}

// A request that its customer gives up does not wait for an answer.
func TestCanceledChargeReturns(t *testing.T) {
	p, _ := newTestParticipant(t, &fakeStore{})
	c := &chargeClient{release: make(chan struct{})}
	defer close(c.release)
	p.client = c
	p.applyTable(quotaTable())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, reason, _ := p.Charge(ctx, limited)
	require.Equal(t, dispatcher.ReasonNoQuota, reason)
}
