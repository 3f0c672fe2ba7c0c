package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// run records work of a duration and returns when it ends.
func run(m *Mean, now timer.Instant, d time.Duration) timer.Instant {
	m.Start(now)
	now = now.Add(d)
	m.End(d, now)
	return now
}

func TestMeanLosesItsWeightWhileIdle(t *testing.T) {
	var m Mean
	now := run(&m, 1, 8*time.Second)
	require.Equal(t, 8*time.Second, m.Expected(time.Second, now))
	require.Equal(t, 4500*time.Millisecond, m.Expected(time.Second, now.Add(halfLife)))
	require.Equal(t, 8*time.Second, m.Expected(9*time.Second, now.Add(halfLife)), "the typical duration is higher")
	m.Start(now.Add(halfLife))
	require.Equal(t, 8*time.Second, m.Expected(time.Second, now.Add(halfLife)), "work runs")
	now = now.Add(halfLife).Add(time.Second)
	m.End(time.Second, now)
	require.Equal(t, 4500*time.Millisecond, m.Value(), "the new duration has the weight that the mean lost")
}

func TestMeanOfContinuousWorkIsSmoothed(t *testing.T) {
	var m Mean
	now := run(&m, 1, time.Second)
	run(&m, now, 2*time.Second)
	require.Equal(t, 1100*time.Millisecond, m.Value())
}

func TestStoppedWorkKeepsTheMean(t *testing.T) {
	var m Mean
	now := run(&m, 1, time.Second)
	m.Start(now.Add(time.Minute))
	m.Stop(now.Add(2 * time.Minute))
	require.Equal(t, time.Second, m.Value())
	require.Equal(t, time.Second, m.Expected(0, now.Add(2*time.Minute)))
	run(&m, now.Add(2*time.Minute), 2*time.Second)
	require.Equal(t, 1100*time.Millisecond, m.Value())
}

// One slow request after a pause made a backend server look as slow as that.
func TestSlowWorkAfterAPauseIsSmoothed(t *testing.T) {
	var m Mean
	now := run(&m, 1, 100*time.Millisecond)
	run(&m, now.Add(time.Minute), 2100*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, m.Value())
}
