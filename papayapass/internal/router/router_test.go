package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/balancer"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// scriptedLocal returns its answers in order and repeats the last one.
type scriptedLocal struct {
	answers []*wirepb.Answer
	calls   int
}

func (s *scriptedLocal) Serve(context.Context, *wirepb.Request) *wirepb.Answer {
	answer := s.answers[min(s.calls, len(s.answers)-1)]
	s.calls++
	return &wirepb.Answer{Outcome: answer.GetOutcome(), Reason: answer.GetReason()}
}

type fixedView struct{ view *keeper.View }

func (f fixedView) View() *keeper.View { return f.view }

type noLinks struct{}

func (noLinks) Link(context.Context, string) (*messenger.Link, error) {
	return nil, messenger.ErrLinkClosed
}

func singleNodeView() *keeper.View {
	m := assigner.NewMember("a", "127.0.0.1:1", "127.0.0.1:2", "z1", 1).
		WithServer(assigner.NewServer("permits", 10, 10, true, true))
	t := assigner.NewTable("cell", 1, m)
	var sequence uint32
	p := assigner.NewPlanner(t, assigner.NewRestriction(nil, nil), noLoads{}, 1, &sequence)
	p.AddPools()
	p.Assign(func(string, uint64) bool { return false })
	return keeper.NewView("a", t, timer.Instant(time.Hour), &wirepb.Configuration{})
}

type noLoads struct{}

func (noLoads) Load(string, uint64) float64 { return 0 }

func TestRouteOutcomes(t *testing.T) {
	answered := &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_ANSWERED}
	lost := &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: wirepb.Reason_REASON_LOST_CONNECTION}
	overloaded := &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_OVERLOADED}
	notOwner := &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_NOT_OWNER}
	tests := map[string]struct {
		idempotent bool
		answers    []*wirepb.Answer
		want       wirepb.Outcome
		wantCalls  int
	}{
		"answered immediately":                         {answers: []*wirepb.Answer{answered}, want: wirepb.Outcome_OUTCOME_ANSWERED, wantCalls: 1},
		"non-idempotent request is not retried":        {answers: []*wirepb.Answer{lost, answered}, want: wirepb.Outcome_OUTCOME_UNKNOWN, wantCalls: 1},
		"idempotent request is retried":                {idempotent: true, answers: []*wirepb.Answer{lost, answered}, want: wirepb.Outcome_OUTCOME_ANSWERED, wantCalls: 2},
		"rejection after an attempt that may have run": {idempotent: true, answers: []*wirepb.Answer{lost, overloaded}, want: wirepb.Outcome_OUTCOME_UNKNOWN, wantCalls: 2},
		"rejection of every attempt":                   {answers: []*wirepb.Answer{overloaded}, want: wirepb.Outcome_OUTCOME_NOT_RUN, wantCalls: 1},
		"non-idempotent request waits for the owner":   {answers: []*wirepb.Answer{notOwner, notOwner, answered}, want: wirepb.Outcome_OUTCOME_ANSWERED, wantCalls: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := &timer.ManualClock{}
				local := &scriptedLocal{answers: tt.answers}
				r := NewRouter(fixedView{view: singleNodeView()}, local, noLinks{}, balancer.NewBalancer(clock, "z1", 1), clock)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				got := r.Route(ctx, &wirepb.Request{Pool: "permits", Keyed: true, KeyHash: 7, Idempotent: tt.idempotent})
				require.Equal(t, tt.want, got.GetOutcome())
				require.Equal(t, tt.wantCalls, local.calls)
			})
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, maxRetryTokens+requests/10)
}
