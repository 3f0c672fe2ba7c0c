package quarantiner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

type testClock struct{ now timer.Instant }

func (c *testClock) Now() timer.Instant { return c.now }

func newTestQuarantine() (*Quarantine, *testClock) {
	clock := &testClock{now: timer.Instant(time.Hour)}
	return NewQuarantine(clock), clock
}

func verdict(q *Quarantine, fingerprint uint64) Verdict {
	v, _ := q.Admit(fingerprint, false)
	return v
}

func TestSecondEndOfABackendServerQuarantines(t *testing.T) {
	q, _ := newTestQuarantine()
	require.Equal(t, Run, verdict(q, 1))
	require.True(t, q.Suspect(1))
	require.True(t, q.IsActive())
	require.Equal(t, RunObserved, verdict(q, 1))
	require.True(t, q.EndObserved(1, true))
	require.Equal(t, Reject, verdict(q, 1))
	require.True(t, q.Rejects(1))
	require.Equal(t, Run, verdict(q, 2))
}

// Requests that ran at a backend server which ended are innocent if they succeed elsewhere,
// even if another backend server ended under them first.
func TestSuccessClearsSuspicion(t *testing.T) {
	for name, quarantined := range map[string]bool{"suspected": false, "quarantined": true} {
		t.Run(name, func(t *testing.T) {
			q, _ := newTestQuarantine()
			q.Suspect(1)
			if quarantined {
				verdict(q, 1)
				q.EndObserved(1, true)
			}
			require.True(t, q.Clear(1))
			require.False(t, q.IsActive())
			require.Equal(t, Run, verdict(q, 1))
			require.False(t, q.Suspect(1), "a later end does not make it a suspect again")
			require.False(t, q.Clear(2), "nothing to clear")
		})
	}
}

// Many requests with one fingerprint wait for a key. They reach its next owner one at a time.
func TestSuspectsRunOneAtATime(t *testing.T) {
	q, _ := newTestQuarantine()
	q.Suspect(1)
	require.Equal(t, RunObserved, verdict(q, 1))
	v, ended := q.Admit(1, false)
	require.Equal(t, Wait, v)
	q.EndObserved(1, false)
	<-ended
	require.Equal(t, RunObserved, verdict(q, 1))
	_, ended = q.Admit(1, false)
	q.EndObserved(1, true)
	<-ended
	require.Equal(t, Reject, verdict(q, 1))
}

func TestRetryOfARequestThatEndedItsServerIsObserved(t *testing.T) {
	q, _ := newTestQuarantine()
	v, _ := q.Admit(1, true)
	require.Equal(t, RunObserved, v)
}

func TestUnpublishedSuspectsAreReported(t *testing.T) {
	q, clock := newTestQuarantine()
	require.Empty(t, q.Unpublished())
	q.Suspect(1)
	q.Suspect(2)
	want := []partitioner.Suspect{{Fingerprint: 1, State: partitioner.Suspected}, {Fingerprint: 2, State: partitioner.Suspected}}
	require.Equal(t, want, q.Unpublished())
	q.ApplyTable(want)
	require.Empty(t, q.Unpublished())
	q.Clear(2)
	require.Equal(t, []partitioner.Suspect{{Fingerprint: 2, State: partitioner.Cleared}}, q.Unpublished())
	clock.now = clock.now.Add(unpublishedDuration + 1)
	require.Empty(t, q.Unpublished())
}

func TestSuspectsOfTheTableExpireWithIt(t *testing.T) {
	q, _ := newTestQuarantine()
	q.ApplyTable([]partitioner.Suspect{{Fingerprint: 1, State: partitioner.Quarantined}, {Fingerprint: 2, State: partitioner.Suspected}})
	require.Equal(t, Reject, verdict(q, 1))
	q.Suspect(3)
	q.ApplyTable([]partitioner.Suspect{{Fingerprint: 2, State: partitioner.Suspected}})
	require.Equal(t, Run, verdict(q, 1))
	require.Len(t, q.Unpublished(), 1, "what no table has named yet stays")
}

// Servers end under many requests. The number of records stays bounded, and those of the table
// stay.
func TestRecordsAreBounded(t *testing.T) {
	q, clock := newTestQuarantine()
	q.ApplyTable([]partitioner.Suspect{{Fingerprint: 1, State: partitioner.Quarantined}})
	for f := range uint64(3 * maxRecords) {
		clock.now++
		q.Suspect(f + 2)
	}
	require.LessOrEqual(t, len(q.records), maxRecords)
	require.Equal(t, Reject, verdict(q, 1))
	clock.now = clock.now.Add(unpublishedDuration + 1)
	q.Suspect(1 << 40)
	require.Len(t, q.records, 2)
}
