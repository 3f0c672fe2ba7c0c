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
	d := NewDeduplicator(&timer.ManualClock{})
	k := NewIdempotencyKey("permits", []byte("office"), []byte("renewal-1"))
	_, isNew := d.Begin(k)
	require.True(t, isNew)
	done, isNew := d.Begin(k)
	require.False(t, isNew, "call is running")
	require.Nil(t, d.Result(k))
	d.End(k, answered("receipt"))
	<-done
	_, isNew = d.Begin(k)
	require.False(t, isNew, "call has ended")
	require.Equal(t, "receipt", string(d.Result(k).GetBody()))
}

func TestAccountsAreSeparate(t *testing.T) {
	d := NewDeduplicator(&timer.ManualClock{})
	_, first := d.Begin(NewIdempotencyKey("permits", []byte("office-1"), []byte("k")))
	_, second := d.Begin(NewIdempotencyKey("permits", []byte("office-2"), []byte("k")))
	require.True(t, first && second)
}

func TestUnknownOutcomeIsRemembered(t *testing.T) {
	d := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	d.Begin(k)
	d.End(k, &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN})
	_, isNew := d.Begin(k)
	require.False(t, isNew, "it may have run")
}

func TestCallThatDidNotRunMayBeRepeated(t *testing.T) {
	d := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	d.Begin(k)
	d.End(k, &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
	_, isNew := d.Begin(k)
	require.True(t, isNew)
}

func TestLateCallIsNotRunAfterReject(t *testing.T) {
	d := NewDeduplicator(&timer.ManualClock{})
	k := NewCallKey(1, 2)
	require.True(t, d.Reject(k))
	require.False(t, d.Reject(k))
	_, isNew := d.Begin(k)
	require.False(t, isNew, "the call arrives late on the old link")
	require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, d.Result(k).GetOutcome())
}

func TestMemoryIsBounded(t *testing.T) {
	clock := &timer.ManualClock{}
	d := NewDeduplicator(clock)
	running := NewCallKey(9, 9)
	d.Begin(running)
	for i := range uint64(MaxEntries + 100) {
		k := NewCallKey(1, i)
		d.Begin(k)
		d.End(k, answered("x"))
	}
	require.LessOrEqual(t, d.Len(), MaxEntries)
	_, isNew := d.Begin(running)
	require.False(t, isNew, "a running call is never evicted")
	clock.Advance(Retention)
	d.Begin(NewCallKey(2, 1))
	require.Equal(t, 2, d.Len())
}
