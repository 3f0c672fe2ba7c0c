package overseer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const suspectTestStart = timer.Instant(time.Hour)

func suspectTestOverseer(list ...partitioner.Suspect) *Overseer {
	t := &partitioner.Table{Epoch: 3, Version: 1, Coordinator: "node-1", Suspects: list}
	t.SetMember(partitioner.Member{ID: "node-1"})
	return NewOverseer("node-1", t, time.Second, suspectTestStart, suspectTestStart)
}

// What a node reports reaches the others at once, and the store with the next table.
func TestReportedSuspectsEnterTheTable(t *testing.T) {
	o := suspectTestOverseer()
	s := []partitioner.Suspect{{Fingerprint: 7, State: partitioner.Quarantined}}
	m, _ := o.Table().Member("node-1")
	r := o.HandleHeartbeat(Heartbeat{Member: m, Epoch: 3, Version: 1, Suspects: s}, suspectTestStart)
	require.Equal(t, s, r.Suspects, "before the store has acknowledged them")
	next := o.Plan(suspectTestStart)
	require.NotNil(t, next)
	require.Equal(t, s, next.Suspects)
	o.WriteStarted(next)
	o.WriteConfirmed(next, suspectTestStart)
	r = o.HandleHeartbeat(Heartbeat{Member: m, Epoch: 3, Version: 1}, suspectTestStart)
	require.Empty(t, r.Suspects)
	require.Equal(t, s, r.Delta.Suspects)
	require.Nil(t, o.Plan(suspectTestStart), "nothing changed")
	require.Equal(t, s, ClaimTable(next, m, 9).Suspects, "the next term keeps them")
}

func TestSuspectsExpire(t *testing.T) {
	for name, tt := range map[string]struct {
		state partitioner.SuspectState
		lasts time.Duration
	}{
		"suspected":   {partitioner.Suspected, suspicionDuration},
		"quarantined": {partitioner.Quarantined, quarantineDuration},
		"cleared":     {partitioner.Cleared, suspicionDuration},
	} {
		t.Run(name, func(t *testing.T) {
			o := suspectTestOverseer(partitioner.Suspect{Fingerprint: 7, State: tt.state})
			require.Len(t, o.suspects.list(suspectTestStart.Add(tt.lasts)), 1)
			require.Empty(t, o.suspects.list(suspectTestStart.Add(tt.lasts+1)))
		})
	}
}

// A higher state wins whatever the order of the reports.
func TestStatesOfSuspectsOnlyRise(t *testing.T) {
	o := suspectTestOverseer()
	for _, state := range []partitioner.SuspectState{partitioner.Quarantined, partitioner.Suspected, partitioner.Cleared, partitioner.Quarantined} {
		o.suspects.merge([]partitioner.Suspect{{Fingerprint: 7, State: state}}, suspectTestStart)
	}
	require.Equal(t, []partitioner.Suspect{{Fingerprint: 7, State: partitioner.Cleared}}, o.suspects.list(suspectTestStart))
}

// Hundreds of servers are lost at once. The table stays small and keeps what is quarantined.
func TestSuspectsOfATableAreBounded(t *testing.T) {
	o := suspectTestOverseer(partitioner.Suspect{Fingerprint: 1 << 40, State: partitioner.Quarantined})
	for f := range uint64(4 * maxSuspects) {
		state := partitioner.Suspected
		if f%2 == 0 {
			state = partitioner.Cleared
		}
		o.suspects.merge([]partitioner.Suspect{{Fingerprint: f, State: state}}, suspectTestStart.Add(time.Duration(f)))
	}
	list := o.suspects.list(suspectTestStart.Add(time.Second))
	require.Len(t, list, maxSuspects)
	require.Contains(t, list, partitioner.Suspect{Fingerprint: 1 << 40, State: partitioner.Quarantined})
	require.Contains(t, list, partitioner.Suspect{Fingerprint: 4*maxSuspects - 1, State: partitioner.Suspected}, "the newest")
	require.NotContains(t, list, partitioner.Suspect{Fingerprint: 0, State: partitioner.Cleared})
}
