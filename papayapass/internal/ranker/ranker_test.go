package ranker

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHotKeysAreFound compares the ranker with exact counts of skewed keys.
func TestHotKeysAreFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(random, 1.1, 1, 1_000_000)
	exact := make(map[uint64]uint64)
	r := NewRanker()
	const requests = 200_000
	for range requests {
		point := zipf.Uint64()
		exact[point]++
		r.Observe("pool", point)
	}
	const minCount = requests / 100
	found := make(map[uint64]uint64)
	for _, item := range r.TakeHotKeys(minCount) {
		found[item.Point()] = item.Count()
		require.LessOrEqual(t, item.Count(), exact[item.Point()], "counts are lower bounds")
	}
	for point, n := range exact {
		if n >= 2*minCount {
			require.Contains(t, found, point)
		}
	}
	require.Empty(t, r.TakeHotKeys(1), "counts are reset")
}

func TestMemoryIsBounded(t *testing.T) {
	r := NewRanker()
	for i := range uint64(100_000) {
		r.Observe("pool", i)
	}
	require.Len(t, r.byCount, capacity)
	require.Len(t, r.counters, capacity)
}

func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(random, 1.1, 1, 1_000_000)
	points := make([]uint64, 1<<16)
	for i := range points {
		points[i] = zipf.Uint64()
	}
	r := NewRanker()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Observe("pool", points[i&(1<<16-1)])
	}
}
