package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

const slots = 20

// serve records answers at the full limit, each after the latency.
func serve(a *Allowance, clock *timer.ManualClock, answers int, latency time.Duration) {
	for range answers {
		clock.Advance(latency / time.Duration(a.Limit()))
		a.Observe(ResultOK, latency, a.Limit(), clock.Now())
	}
}

// TestWarmUpStaysBelowServerCapacity warms up a server that sustains one more
// call after each ten answers and 200 ms. The limit must never exceed that.
func TestWarmUpStaysBelowServerCapacity(t *testing.T) {
	clock := &timer.ManualClock{}
	a := NewAllowance(slots, true, clock.Now())
	capacity, served := slots/coldDivisor, 0
	stepped := clock.Now()
	for !a.Warm() {
		require.LessOrEqual(t, a.Limit(), capacity)
		serve(a, clock, 1, 20*time.Millisecond)
		served++
		if served >= 10 && clock.Now().Sub(stepped) >= 200*time.Millisecond {
			capacity, served, stepped = capacity+1, 0, clock.Now()
		}
		require.Less(t, time.Duration(clock.Now()), time.Minute, "the warm-up must end")
	}
	require.Equal(t, slots, a.Limit())
}

func TestAllowance(t *testing.T) {
	tests := map[string]struct {
		cold bool
		act  func(a *Allowance, clock *timer.ManualClock)
		want int
	}{
		"warm server gets all slots":             {act: func(*Allowance, *timer.ManualClock) {}, want: slots},
		"cold server gets a tenth":               {cold: true, act: func(*Allowance, *timer.ManualClock) {}, want: slots / coldDivisor},
		"idle cold server keeps a tenth":         {cold: true, act: func(_ *Allowance, c *timer.ManualClock) { c.Advance(time.Hour) }, want: slots / coldDivisor},
		"answers below the limit don't raise it": {cold: true, act: func(a *Allowance, c *timer.ManualClock) { observe(a, c, ResultOK, 1, 500) }, want: slots / coldDivisor},
		"a rejection halves the limit":           {act: func(a *Allowance, c *timer.ManualClock) { observe(a, c, ResultShed, slots, 1) }, want: slots / cutDivisor},
		"simultaneous rejections count as one":   {act: func(a *Allowance, _ *timer.ManualClock) { a.cutAfterShed(shedAt); a.cutAfterShed(shedAt) }, want: slots / cutDivisor},
		"three failures restart the warm-up":     {act: func(a *Allowance, c *timer.ManualClock) { observe(a, c, ResultFailed, slots, coldFailures) }, want: slots / coldDivisor},
		"ignored results change nothing":         {act: func(a *Allowance, c *timer.ManualClock) { observe(a, c, ResultIgnored, slots, 100) }, want: slots},
		"2% slow calls cut nothing":              {act: func(a *Allowance, c *timer.ManualClock) { observeSlowTail(a, c) }, want: slots},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &timer.ManualClock{}
			clock.Advance(time.Hour)
			a := NewAllowance(slots, tt.cold, clock.Now())
			tt.act(a, clock)
			require.Equal(t, tt.want, a.Limit())
		})
	}
}

const shedAt = timer.Instant(2 * time.Hour)

func observe(a *Allowance, clock *timer.ManualClock, r Result, running, times int) {
	for range times {
		clock.Advance(time.Millisecond)
		a.Observe(r, 20*time.Millisecond, running, clock.Now())
	}
}

func observeSlowTail(a *Allowance, clock *timer.ManualClock) {
	for i := range 5000 {
		latency := 20 * time.Millisecond
		if i%50 == 0 {
			latency *= 4
		}
		clock.Advance(time.Millisecond)
		a.Observe(ResultOK, latency, slots, clock.Now())
	}
}

// fill takes all slots of a limiter.
func fill(t *testing.T, l *Limiter) []*Ticket {
	var out []*Ticket
	for l.Usage().Running() < l.Usage().Limit() {
		ticket, err := l.Acquire(t.Context(), wirepb.Class_CLASS_NORMAL, "x")
		require.NoError(t, err)
		out = append(out, ticket)
	}
	return out
}

// TestClassesAndCallersTakeTurns queues a bulk call first, then more calls of
// one caller than of another, and admits one at a time.
func TestClassesAndCallersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(timer.BootClock{}, 1, false, time.Hour)
		held := fill(t, l)
		order := make(chan string, 16)
		wait := func(class wirepb.Class, caller string) {
			go func() {
				ticket, err := l.Acquire(context.Background(), class, caller)
				if err == nil {
					order <- class.String()[len("CLASS_"):] + " " + caller
					ticket.Release(ResultOK)
				}
			}()
			synctest.Wait()
		}
		wait(wirepb.Class_CLASS_BULK, "a")
		wait(wirepb.Class_CLASS_NORMAL, "greedy")
		wait(wirepb.Class_CLASS_NORMAL, "greedy")
		wait(wirepb.Class_CLASS_NORMAL, "modest")
		wait(wirepb.Class_CLASS_URGENT, "a")
		held[0].Release(ResultOK)
		for _, want := range []string{"URGENT a", "NORMAL greedy", "NORMAL modest", "NORMAL greedy", "BULK a"} {
			require.Equal(t, want, <-order)
		}
	})
}

func TestFullQueueShedsBulkFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(timer.BootClock{}, 1, false, time.Hour)
		held := fill(t, l)
		shed := make(chan error, 1)
		go func() {
			_, err := l.Acquire(context.Background(), wirepb.Class_CLASS_BULK, "b")
			shed <- err
		}()
		synctest.Wait()
		for range queueFactor {
			go func() {
				ticket, err := l.Acquire(context.Background(), wirepb.Class_CLASS_NORMAL, "n")
				if err == nil {
					ticket.Release(ResultOK)
				}
			}()
			synctest.Wait()
		}
		require.ErrorIs(t, <-shed, ErrOverloaded)
		held[0].Release(ResultOK)
	})
}

func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(timer.BootClock{}, 1, false, 300*time.Millisecond)
		fill(t, l)
		started := time.Now()
		_, err := l.Acquire(t.Context(), wirepb.Class_CLASS_URGENT, "u")
		require.ErrorIs(t, err, ErrQueueTimeout)
		require.Equal(t, 300*time.Millisecond, time.Since(started))
		require.Zero(t, l.Usage().Waiting())
	})
}
