package dispatcher

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/shared/descriptor"
)

func firstPoint() uint64 { return 12345 }

func TestSplitsKeepTheirShares(t *testing.T) {
	for name, weights := range map[string][]int{
		"ninety to ten":  {90, 10},
		"halves":         {1, 1},
		"three":          {50, 30, 20},
		"one of no use":  {70, 0, 30},
		"below zero":     {70, -5, 30},
		"large":          {math.MaxInt32, math.MaxInt32},
		"a single part":  {100},
		"one in hundred": {99, 1},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			r := &descriptor.Route{Name: "route"}
			for i, w := range weights {
				r.Targets = append(r.Targets, descriptor.Target{Service: string(rune('a' + i)), Weight: w})
				total += max(w, 0)
			}
			s := newSplitter(firstPoint)
			for range 50 { // each run of 50 requests
				counts := make(map[string]int)
				for range 50 {
					counts[s.pick(r)]++
				}
				for _, target := range r.Targets {
					share := max(float64(target.Weight), 0) / float64(total)
					require.InDelta(t, share, float64(counts[target.Service])/50, 0.06)
				}
			}
		})
	}
}

func TestSplitsOfManyNodesKeepTheirShares(t *testing.T) {
	r := &descriptor.Route{Name: "route", Targets: []descriptor.Target{{Service: "a", Weight: 80}, {Service: "b", Weight: 20}}}
	counts, random := make(map[string]int), rand.New(rand.NewPCG(1, 2))
	for range 1000 { // nodes with three requests each
		s := newSplitter(random.Uint64)
		for range 3 {
			counts[s.pick(r)]++
		}
	}
	require.InDelta(t, 0.2, float64(counts["b"])/3000, 0.03)
}

func TestRoutesOfFormerConfigurationsMakeRoom(t *testing.T) {
	s := newSplitter(firstPoint)
	targets := []descriptor.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	for i := range 3 * maxSplitRoutes {
		s.pick(&descriptor.Route{Name: string(rune(i)), Targets: targets})
	}
	require.LessOrEqual(t, len(s.points), maxSplitRoutes)
}
