package dispatcher

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

func TestResultsCarryTheLoadThatCallsAskFor(t *testing.T) {
	load := &Load{Running: 3, Waiting: 1, MeanDuration: 20 * time.Millisecond}
	busy := Result{Outcome: NotRun, Reason: ReasonBusy, Load: load}
	for name, c := range map[string]struct {
		follows, divided bool
		result           Result
		asks, keeps      bool
	}{
		"answered":     {follows: true, result: Result{Outcome: Answered, Response: ok200().Response, Load: load}, asks: true, keeps: true},
		"busy":         {follows: true, result: busy, asks: true, keeps: true},
		"other zone":   {result: Result{Outcome: NotRun}},
		"owner":        {follows: true, divided: true, result: Result{Outcome: NotRun}},
		"older server": {follows: true, result: Result{Outcome: NotRun}, asks: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &timer.ManualClock{}
			clock.Advance(time.Hour)
			s := &fakeServer{results: []Result{c.result}}
			l := httptest.NewServer(NewPeerHandler(s, clock, testEnveloper, budgeter.NewBudget(1<<20), &tracer.Tracer{}))
			defer l.Close()
			p := NewPeer(strings.TrimPrefix(l.URL, "http://"), clock, testEnveloper)
			if c.follows {
				require.Zero(t, p.FollowLoad())
			}
			p.Serve(context.Background(), &Call{ID: "1", Method: "GET", URI: "/", Divided: c.divided, Deadline: clock.Now().Add(time.Second)})
			require.Equal(t, c.asks, s.calls[0].WantsLoad)
			want := PeerLoad{}
			if c.keeps {
				want = PeerLoad{Load: *load, ReceivedAt: clock.Now()}
			}
			require.Equal(t, want, p.FollowLoad())
		})
	}
}
