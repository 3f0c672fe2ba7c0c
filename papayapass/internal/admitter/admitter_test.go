package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

const far = timer.Instant(time.Hour)

func newTestAdmitter(slots int) *Admitter {
	a := NewAdmitter()
	a.SetSlots(slots)
	return a
}

// offer offers a request that may wait.
func offer(a *Admitter, priority int, deadline, now timer.Instant) (*Ticket, Verdict) {
	t, v, _ := a.Offer("route", priority, deadline, now, true)
	return t, v
}

func admitted(t *Ticket) (start, decided bool) {
	select {
	case start = <-t.Admitted():
		return start, true
	default:
		return false, false
	}
}

func TestSlotsBoundWhatRuns(t *testing.T) {
	a := newTestAdmitter(2)
	first, v := offer(a, 0, far, 1)
	require.Equal(t, Start, v)
	_, v = offer(a, 0, far, 1)
	require.Equal(t, Start, v)
	waiting, v := offer(a, 0, far, 1)
	require.Equal(t, Wait, v)
	a.Done(first, true, 2)
	start, decided := admitted(waiting)
	require.True(t, decided && start)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	late, _ := offer(a, 2, far, 2)
	urgent, _ := offer(a, 1, far, 3)
	a.Done(running, true, 4)
	_, decided := admitted(late)
	require.False(t, decided)
	start, decided := admitted(urgent)
	require.True(t, decided && start)
}

// A cold backend server bears a rate in any second, not only in those that begin on
// the clock: after a restart of a zone, all its requests arrive at once.
func TestColdServersGetTheirRateInEachWindow(t *testing.T) {
	const rate = 18.0
	a := newTestAdmitter(100)
	a.SetCold(timer.Instant(3*time.Second), rate)
	var starts []timer.Instant
	for now := timer.Instant(1); now < timer.Instant(3*time.Second); now = now.Add(5 * time.Millisecond) {
		ticket, v, _ := a.Offer("route", 0, now.Add(time.Millisecond), now, false)
		if v == Start {
			starts = append(starts, now)
			a.Done(ticket, false, now)
		}
	}
	for i, from := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(from) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate)
	}
	require.Greater(t, float64(len(starts)), 2*rate, "the rate is there to be used")
	_, v, _ := a.Offer("route", 0, far, timer.Instant(3*time.Second), false)
	require.Equal(t, Start, v, "warm again")
}

func TestWithoutARateAColdServerGetsNothing(t *testing.T) {
	a := newTestAdmitter(10)
	a.SetCold(timer.Instant(time.Second), 0)
	_, v, _ := a.Offer("route", 0, far, 1, false)
	require.Equal(t, Busy, v)
}

// What cannot be served in time is refused at once, and told when there is room.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	a.Done(running, true, timer.Instant(100*time.Millisecond)) // work takes 100 ms
	now := timer.Instant(200 * time.Millisecond)
	_, v := offer(a, 0, far, now)
	require.Equal(t, Start, v)
	_, v = offer(a, 0, now.Add(250*time.Millisecond), now)
	require.Equal(t, Wait, v)
	_, v, retry := a.Offer("route", 0, now.Add(250*time.Millisecond), now, true)
	require.Equal(t, Refuse, v, "200 ms of others' work and 100 ms of its own")
	require.Positive(t, retry)
}

func TestWaitingRequestsThatRanOutOfTimeAreToldSo(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	hopeless, _ := offer(a, 0, timer.Instant(time.Second), 1)
	good, _ := offer(a, 0, far, 2)
	a.Done(running, true, timer.Instant(2*time.Second))
	start, decided := admitted(hopeless)
	require.True(t, decided)
	require.False(t, start)
	start, decided = admitted(good)
	require.True(t, decided && start)
}

func TestLeavingTheQueue(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	gone, _ := offer(a, 0, far, 1)
	require.True(t, a.Leave(gone))
	next, _ := offer(a, 0, far, 1)
	a.Done(running, true, 2)
	start, decided := admitted(next)
	require.True(t, decided && start)
	require.False(t, a.Leave(next), "it has been started, so its end is due")
	n, waiting := a.Counts()
	require.Equal(t, 1, n)
	require.Zero(t, waiting)
}

func TestImpatientRequestsAreToldTheWait(t *testing.T) {
	a := newTestAdmitter(1)
	_, v, _ := a.Offer("route", 0, far, 1, false)
	require.Equal(t, Start, v)
	_, v, _ = a.Offer("route", 0, far, 1, false)
	require.Equal(t, Busy, v)
	_, waiting := a.Counts()
	require.Zero(t, waiting)
}
