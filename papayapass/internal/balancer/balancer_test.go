package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
)

func pool(count int) []assigner.Member {
	var out []assigner.Member
	for i := range count {
		m := assigner.NewMember(assigner.NodeID(fmt.Sprint("s", i)), "", "", fmt.Sprint("z", i%3), 1)
		out = append(out, m.WithServer(assigner.NewServer("lots", 20, 20, false, false)))
	}
	return out
}

// sendRequests sends requests one after the other and returns the number per server.
func sendRequests(b *Balancer, clock *timer.ManualClock, members []assigner.Member, requests int, latency func(i int) time.Duration) map[assigner.NodeID]int {
	counts := make(map[assigner.NodeID]int)
	for range requests {
		m, _ := b.Pick(members, nil)
		counts[m.ID()]++
		var i int
		_, _ = fmt.Sscanf(string(m.ID()), "s%d", &i)
		clock.Advance(time.Millisecond)
		b.Done(m.ID(), latency(i), 0)
	}
	return counts
}

func TestStragglersGetFewRequests(t *testing.T) {
	clock := &timer.ManualClock{}
	b := NewBalancer(clock, "none", 1)
	members := pool(6)
	slow := func(i int) time.Duration {
		if i < 2 {
			return 200 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	sendRequests(b, clock, members, 200, slow)
	counts := sendRequests(b, clock, members, 2000, slow)
	require.Less(t, counts["s0"]+counts["s1"], 20, "under 1 % of the requests")
}

func TestStragglerIsTriedAgain(t *testing.T) {
	clock := &timer.ManualClock{}
	b := NewBalancer(clock, "none", 1)
	members := pool(3)
	sendRequests(b, clock, members, 200, func(i int) time.Duration { return time.Duration(1+i*100) * 10 * time.Millisecond })
	clock.Advance(time.Minute)
	counts := sendRequests(b, clock, members, 300, func(int) time.Duration { return 10 * time.Millisecond })
	for _, m := range members {
		require.Positive(t, counts[m.ID()], m.ID())
	}
}

func TestFailedServerIsInBackoff(t *testing.T) {
	clock := &timer.ManualClock{}
	b := NewBalancer(clock, "none", 1)
	members := pool(2)
	first, _ := b.Pick(members, nil)
	b.Failed(first.ID())
	for range 20 {
		m, _ := b.Pick(members, nil)
		require.NotEqual(t, first.ID(), m.ID())
		b.Done(m.ID(), time.Millisecond, 0)
	}
}

func TestUntriedServersAreTriedFirst(t *testing.T) {
	b := NewBalancer(&timer.ManualClock{}, "none", 1)
	members := pool(3)
	for range 20 {
		m, ok := b.Pick(members, []assigner.NodeID{"s0", "s2"})
		require.True(t, ok)
		require.Equal(t, assigner.NodeID("s1"), m.ID())
	}
	_, ok := b.Pick(nil, nil)
	require.False(t, ok)
}
