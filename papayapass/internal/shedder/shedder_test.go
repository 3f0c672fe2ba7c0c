package shedder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replay observes a reading each second and returns the first reason and when it came.
func replay(seconds int, at func(s int) Reading) (Reason, int) {
	w, l := Watch{}, Limits{HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}
	for s := range seconds {
		if reason := w.Observe(at(s), time.Second, l); reason != ReasonNone {
			return reason, s
		}
	}
	return ReasonNone, seconds
}

func TestWatch(t *testing.T) {
	cases := map[string]struct {
		at     func(s int) Reading
		reason Reason
	}{
		"idle":                             {func(int) Reading { return Reading{Phase: Idle} }, ReasonIdle},
		"idle for four fifths":             {func(s int) Reading { return Reading{Phase: Idle, Request: uint64(s / 13)} }, ReasonNone},
		"a head that stops":                {func(int) Reading { return Reading{Phase: Head} }, ReasonHeadTime},
		"heads that take their time":       {func(s int) Reading { return Reading{Phase: Head, Request: uint64(s / 4)} }, ReasonNone},
		"a body that stops":                {func(int) Reading { return Reading{Phase: Body, Moved: 1 << 20} }, ReasonBody},
		"a body in trickles":               {func(s int) Reading { return Reading{Phase: Body, Moved: int64(s) * 100} }, ReasonBody},
		"a slow honest body":               {func(s int) Reading { return Reading{Phase: Body, Moved: int64(s) * 2 << 10} }, ReasonNone},
		"an answer that nobody reads":      {func(int) Reading { return Reading{Phase: Answer} }, ReasonAnswer},
		"an answer read slowly":            {func(s int) Reading { return Reading{Phase: Answer, Moved: int64(s) * 2 << 10} }, ReasonNone},
		"a request that runs for long":     {func(int) Reading { return Reading{Phase: Running} }, ReasonNone},
		"a body seen between reads":        {func(s int) Reading { return Reading{Phase: Body + Phase(s%2), Moved: 1} }, ReasonBody},
		"long runs, then a body that ends": {func(s int) Reading { return Reading{Phase: Running - Phase(s%11/10), Request: uint64(s / 11)} }, ReasonNone},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			reason, _ := replay(120, tt.at)
			require.Equal(t, tt.reason, reason)
		})
	}
}

func TestChoose(t *testing.T) {
	old := 5 * time.Second
	idle := Candidate{Phase: Idle, Served: true, Held: 20, Waited: old}
	silent := Candidate{Phase: Idle, Held: 20, Waited: old}
	stopped := Candidate{Phase: Body, Held: 1000, Waited: old}
	trickle := Candidate{Phase: Body, Held: 1000, Moved: 100, Waited: old}
	honest := Candidate{Phase: Body, Held: 1 << 20, Moved: 1 << 20, Waited: old}
	young := Candidate{Phase: Head, Held: 1000, Waited: time.Second / 2}
	running := Candidate{Phase: Running, Held: 1 << 20, Waited: old}
	reader := Candidate{Phase: Answer, Held: 500, Waited: old}
	cases := map[string]struct {
		list []Candidate
		need int64
		want []int
	}{
		"nothing needed":                    {[]Candidate{stopped}, 0, nil},
		"the largest without progress":      {[]Candidate{silent, stopped, reader}, 1, []int{1}},
		"as many as needed":                 {[]Candidate{silent, stopped, reader}, 1200, []int{1, 2}},
		"trickles after what has stopped":   {[]Candidate{trickle, reader}, 600, []int{1, 0}},
		"idle ones last":                    {[]Candidate{idle, trickle, silent}, 5000, []int{2, 1, 0}},
		"honest and young ones never":       {[]Candidate{honest, young, running}, 5000, nil},
		"what holds nothing of it, neither": {[]Candidate{{Phase: Head, Waited: old}}, 5000, nil},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			got := Choose(tt.list, tt.need)
			require.Equal(t, len(tt.want), len(got))
			for i := range got {
				require.Equal(t, tt.want[i], got[i])
			}
		})
	}
}
