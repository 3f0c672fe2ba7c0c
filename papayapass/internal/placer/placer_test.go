package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func half() float64 { return 0.5 }

func TestTheCheapestIsChosen(t *testing.T) {
	const mean = 200 * time.Millisecond
	near := Candidate{Slots: 18, Known: true, Mean: mean}
	far := Candidate{Slots: 18, Far: true}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	cases := map[string]struct {
		list      []Candidate
		objective time.Duration
		want      int
	}{
		"none":                                 {nil, time.Second, -1},
		"the idle one":                         {[]Candidate{with(near, func(c *Candidate) { c.Running = 18; c.Waiting = 9 }), near}, time.Second, 1},
		"the fast one":                         {[]Candidate{near, with(near, func(c *Candidate) { c.Mean = mean / 2 })}, time.Second, 1},
		"not the cold one":                     {[]Candidate{with(near, func(c *Candidate) { c.Cold = true }), with(near, func(c *Candidate) { c.Running = 18 })}, time.Second, 1},
		"not the one on which it waits itself": {[]Candidate{with(near, func(c *Candidate) { c.InFlight = 30 }), near}, time.Second, 1},
		"nobody is known":                      {[]Candidate{far, {Slots: 18}}, time.Second, 1},
		"a wait here is shorter than the detour": {
			[]Candidate{with(near, func(c *Candidate) { c.Running = 18; c.Waiting = 6 }), far}, 1500 * time.Millisecond, 0,
		},
		// The load of far servers is not reported. They were taken to be idle and
		// fast, so that urgent calls went to other zones by preference.
		"a far one of unknown load is like those here": {
			[]Candidate{with(near, func(c *Candidate) { c.Running = 12 }), with(near, func(c *Candidate) { c.Running = 12 }), far}, 200 * time.Millisecond, 0,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Cheapest(tt.list, tt.objective, half))
		})
	}
}

// A zone has two fifths of the customers and a third of the servers (lot records of the
// grown pptia site), and at each moment a fifth of the servers takes thrice as long. The
// naive choice, any server, sends two thirds of the bodies to other zones. This one stays
// in its zone as long as the wait there is no worse, and no server starves.
func TestAPoolIsUsedWithoutNeedlessDetours(t *testing.T) {
	const servers, slots, rounds, zones = 9, 18, 4000, 3
	random := rand.New(rand.NewPCG(1, 2))
	ends := make([][]int, servers) // the rounds in which requests end
	far, total, longest := 0, 0, 0
	served := make([]int, servers)
	for now := range rounds {
		zone := min(random.IntN(5)/2, zones-1) // two fifths, two fifths, one fifth
		list := make([]Candidate, servers)
		for s := range servers {
			kept := ends[s][:0]
			for _, end := range ends[s] {
				if end > now {
					kept = append(kept, end)
				}
			}
			ends[s] = kept
			list[s] = Candidate{Slots: slots, Far: s%zones != zone, Known: s%zones == zone, Mean: 400 * time.Millisecond}
			if list[s].Known {
				list[s].Running, list[s].Waiting = min(len(kept), slots), max(len(kept)-slots, 0)
			}
		}
		s := Cheapest(list, 1500*time.Millisecond, random.Float64)
		work := 100 // rounds; 1 request a round and 162 slots are 62 % of use
		if (now/100+s)%5 == 0 {
			work = 300
		}
		ends[s] = append(ends[s], now+work)
		served[s]++
		total++
		longest = max(longest, len(ends[s]))
		if list[s].Far {
			far++
		}
	}
	require.Less(t, float64(far)/float64(total), 0.2, "two thirds by the naive choice")
	require.LessOrEqual(t, longest, 2*slots, "no long queues")
	for s := range servers {
		require.Greater(t, served[s], rounds/servers/4, "server %d", s)
	}
}
