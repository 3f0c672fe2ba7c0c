package selector

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
)

func TestChoice(t *testing.T) {
	const ms = time.Millisecond
	now := timer.Instant(time.Hour)
	reported := func(running int, mean time.Duration) Candidate {
		l := overseer.ServerLoad{Node: "node-2", Running: running, MeanDuration: mean}
		return Candidate{Load: Load{ServerLoad: l, UsedAt: now, ReportedAt: now.Add(-100 * ms)}, Slots: 8}
	}
	own, remote, sent, limited, warming := reported(0, 20*ms), Candidate{Slots: 8, IsRemote: true}, reported(0, 20*ms), reported(0, 20*ms), reported(0, 20*ms)
	own.IsOwn = true
	sent.InFlight, sent.Load.InFlight = 9, 1
	limited.Load.RateLimit = 100
	warming.Load.WarmingUp = true
	blocked := limited
	blocked.Load.RateLimit = math.SmallestNonzeroFloat64
	for name, c := range map[string]struct {
		pool               []Candidate
		retry              bool
		minShare, maxShare float64 // of the last candidate
	}{
		"equal servers share":                  {pool: []Candidate{reported(4, 20*ms), reported(4, 20*ms), reported(4, 20*ms)}, minShare: 0.30, maxShare: 0.37},
		"slow server gets less":                {pool: []Candidate{reported(4, 20*ms), reported(4, 20*ms), reported(4, 60*ms)}, minShare: 0, maxShare: 0.05},
		"server that looks idle gets not all":  {pool: []Candidate{reported(6, 20*ms), reported(6, 20*ms), reported(6, 20*ms), reported(0, 20*ms)}, minShare: 0.5, maxShare: 0.95},
		"own requests since the report count":  {pool: []Candidate{reported(4, 20*ms), reported(4, 20*ms), sent}, minShare: 0, maxShare: 0.02},
		"idle own server":                      {pool: []Candidate{reported(4, 20*ms), reported(4, 20*ms), own}, minShare: 0.75, maxShare: 1},
		"other zone while there is room":       {pool: []Candidate{reported(4, 20*ms), remote}, minShare: 0, maxShare: 0},
		"other zone while there is none":       {pool: []Candidate{reported(60, 100*ms), remote}, minShare: 1, maxShare: 1},
		"unknown server of a slow pool":        {pool: []Candidate{reported(4, 500*ms), remote}, minShare: 0, maxShare: 0.3},
		"free slots count more after a try":    {pool: []Candidate{reported(8, 20*ms), reported(8, 20*ms), reported(2, 60*ms)}, retry: true, minShare: 0.9, maxShare: 1},
		"rate-limited server with few slots":   {pool: []Candidate{reported(1, 20*ms), reported(1, 20*ms), limited}, retry: true, minShare: 0.05, maxShare: 0.2},
		"warming up":                           {pool: []Candidate{reported(4, 20*ms), reported(4, 20*ms), warming}, minShare: 0, maxShare: 0.05},
		"only one server, however loaded":      {pool: []Candidate{reported(100, 20*ms)}, minShare: 1, maxShare: 1},
		"limit that leaves no slots":           {pool: []Candidate{blocked}, minShare: 1, maxShare: 1},
		"only an unknown server in other zone": {pool: []Candidate{remote}, minShare: 1, maxShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			random, chosen := rand.New(rand.NewPCG(1, 2)), 0
			const n = 4000
			for range n {
				if d := Choose(c.pool, Request{Objective: 400 * ms, IsRetry: c.retry}, random.Float64, now); d.Index == len(c.pool)-1 {
					chosen++
				}
			}
			share := float64(chosen) / n
			require.GreaterOrEqual(t, share, c.minShare)
			require.LessOrEqual(t, share, c.maxShare)
		})
	}
}

func TestDecisionSaysWhatItWasBasedOn(t *testing.T) {
	now := timer.Instant(time.Hour)
	candidate := func(running int, age time.Duration) Candidate {
		l := overseer.ServerLoad{Node: "node-2", Running: running}
		return Candidate{Load: Load{ServerLoad: l, ReportedAt: now.Add(-age)}, Slots: 4}
	}
	for name, c := range map[string]struct {
		candidate Candidate
		want      Decision
	}{
		"free":         {candidate(3, time.Second), Decision{ReportAge: time.Second, KnowsFree: true}},
		"full":         {candidate(4, time.Second), Decision{ReportAge: time.Second}},
		"old report":   {candidate(0, 2*maxReportAge), Decision{}},
		"never report": {Candidate{Slots: 4}, Decision{}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Choose([]Candidate{c.candidate}, Request{Objective: time.Second}, rand.Float64, now))
		})
	}
}
