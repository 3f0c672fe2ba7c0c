package deduplicator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

func answered(body string) *wirepb.Answer {
	return &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 200, Body: []byte(body)}
}

func TestCallRunsOnce(t *testing.T) {
	r := NewDeduplicator(&timer.ManualClock{})
	k := NewIdempotencyKey("permits", []byte("office"), []byte("renewal-1"))
	_, fresh := r.Begin(k)
	require.True(t, fresh)
	done, fresh := r.Begin(k)
	require.False(t, fresh, "while it runs")
	require.Nil(t, r.Result(k))
	r.End(k, answered("receipt"))
	<-done
	_, fresh = r.Begin(k)
	require.False(t, fresh, "after its end")
	require.Equal(t, "receipt", string(r.Result(k).GetBody()))
}

func TestOtherAccountsAreOtherCalls(t *testing.T) {
	r := NewDeduplicator(&timer.ManualClock{})
	_, first := r.Begin(NewIdempotencyKey("permits", []byte("office-1"), []byte("k")))
	_, second := r.Begin(NewIdempotencyKey("permits", []byte("office-2"), []byte("k")))
	require.True(t, first && second)
}

func TestUnknownOutcomeIsRemembered(t *testing.T) {
	r := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	r.Begin(k)
	r.End(k, &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN})
	_, fresh := r.Begin(k)
	require.False(t, fresh, "it may have run")
}

func TestRefusedCallMayComeAgain(t *testing.T) {
	r := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	r.Begin(k)
	r.End(k, &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
	_, fresh := r.Begin(k)
	require.True(t, fresh)
}

func TestLateCallIsNotRunAfterRefuse(t *testing.T) {
	r := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	require.True(t, r.Refuse(k))
	require.False(t, r.Refuse(k))
	_, fresh := r.Begin(k)
	require.False(t, fresh, "the call arrives on the old link after all")
	require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, r.Result(k).GetOutcome())
}

func TestMemoryIsBounded(t *testing.T) {
	clock := &timer.ManualClock{}
	r := NewDeduplicator(clock)
	running := NewCallKey(9, 9)
	r.Begin(running)
	for i := range uint64(MaxEntries + 100) {
		k := NewCallKey(1, i)
		r.Begin(k)
		r.End(k, answered("x"))
	}
	require.LessOrEqual(t, r.Len(), MaxEntries)
	_, fresh := r.Begin(running)
	require.False(t, fresh, "what runs is never forgotten")
	clock.Advance(Retention)
	r.Begin(NewCallKey(2, 1))
	require.Equal(t, 2, r.Len())
}
