// Package loader is a stand-in for callers. It sends requests with a bound on those
// in flight and checks that each response is complete and belongs to its request.
package loader

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
)

// Kind is a type of request in a workload.
type Kind struct {
	name     string
	weight   float64
	method   string
	prefix   string
	suffix   string
	keyGroup string
}

// NewKind returns a kind. Its path is prefix, key and suffix. Kinds with the same
// key group share their keys.
func NewKind(name string, weight float64, method, prefix, suffix, group string) Kind {
	return Kind{name: name, weight: weight, method: method, prefix: prefix, suffix: suffix, keyGroup: group}
}

// Prefix returns the part of the path before the key.
func (k Kind) Prefix() string { return k.prefix }

// KeyGroup returns the key group, which is also the prefix of its keys.
func (k Kind) KeyGroup() string { return k.keyGroup }

// keySampler samples ranks of keys, either uniformly or by a Zipf distribution with
// exponent 1.
type keySampler struct {
	cumulative []float64
	random     *rand.Rand
}

func newKeySampler(keys int, uniform bool, random *rand.Rand) *keySampler {
	s := &keySampler{cumulative: make([]float64, keys), random: random}
	total := 0.0
	for i := range keys {
		weight := 1.0
		if !uniform {
			weight /= float64(i + 1)
		}
		total += weight
		s.cumulative[i] = total
	}
	return s
}

// sampleRank returns the rank of a random key; rank 0 is the most popular.
func (s *keySampler) sampleRank() int {
	point := s.random.Float64() * s.cumulative[len(s.cumulative)-1]
	return min(sort.SearchFloat64s(s.cumulative, point), len(s.cumulative)-1)
}

// request is a request to send. Its arrivalGap is the time since the request before
// it, in units of the mean time between requests.
type request struct {
	kind       int
	rank       int
	key        string
	nonce      string
	caller     string
	arrivalGap float64
}

// generator generates the sequence of requests of a run from its seed.
type generator struct {
	kinds       []Kind
	keys        *keySampler
	random      *rand.Rand
	totalWeight float64
	noncePrefix string
	sent        int
}

func newGenerator(s Settings) *generator {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed+1))
	g := &generator{kinds: s.Kinds, keys: newKeySampler(s.Keys, s.Uniform, random), random: random, noncePrefix: s.NoncePrefix + "-"}
	for _, k := range s.Kinds {
		g.totalWeight += k.weight
	}
	return g
}

const (
	callersPerOffice = 40
	offices          = 5
)

// next returns the next request. A shift moves the popularity of keys on by that
// many ranks.
func (g *generator) next(shift int) request {
	g.sent++
	kind := 0
	for point := g.random.Float64() * g.totalWeight; kind < len(g.kinds)-1 && point >= g.kinds[kind].weight; kind++ {
		point -= g.kinds[kind].weight
	}
	rank := g.keys.sampleRank()
	return request{
		kind:       kind,
		rank:       rank,
		key:        g.kinds[kind].keyGroup + "-" + strconv.Itoa((rank+shift)%len(g.keys.cumulative)),
		nonce:      g.noncePrefix + strconv.Itoa(g.sent),
		caller:     strconv.Itoa(g.random.IntN(callersPerOffice * offices)),
		arrivalGap: -math.Log(1 - g.random.Float64()),
	}
}
