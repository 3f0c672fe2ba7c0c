// Package loader is a stand-in for callers: it sends a bounded load and checks
// that each answer is its own and whole.
package loader

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
)

// Kind is one sort of request in a workload.
type Kind struct {
	name     string
	weight   float64
	method   string
	prefix   string
	suffix   string
	keyGroup string
}

// NewKind returns a kind. Its path is prefix, key and suffix; kinds of one group
// share their keys.
func NewKind(name string, weight float64, method, prefix, suffix, group string) Kind {
	return Kind{name: name, weight: weight, method: method, prefix: prefix, suffix: suffix, keyGroup: group}
}

// Prefix returns the beginning of the path.
func (k Kind) Prefix() string { return k.prefix }

// KeyGroup returns the name of the keys.
func (k Kind) KeyGroup() string { return k.keyGroup }

// keySampler draws keys that are equally popular, or whose popularity falls with
// their rank (Zipf, exponent 1). Which keys are hot moves on by shifting ranks.
type keySampler struct {
	cumulative []float64
	random     *rand.Rand
}

func newKeySampler(keys int, uniform bool, random *rand.Rand) *keySampler {
	m := &keySampler{cumulative: make([]float64, keys), random: random}
	total := 0.0
	for i := range keys {
		weight := 1.0
		if !uniform {
			weight /= float64(i + 1)
		}
		total += weight
		m.cumulative[i] = total
	}
	return m
}

// sampleRank returns the rank of a key.
func (m *keySampler) sampleRank() int {
	point := m.random.Float64() * m.cumulative[len(m.cumulative)-1]
	return min(sort.SearchFloat64s(m.cumulative, point), len(m.cumulative)-1)
}

// request is one request to send.
type request struct {
	kind       int
	rank       int
	key        string
	nonce      string
	caller     string
	arrivalGap float64
}

// generator makes the sequence of requests of a run from its seed.
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
	d := &generator{kinds: s.Kinds, keys: newKeySampler(s.Keys, s.Uniform, random), random: random, noncePrefix: s.NoncePrefix + "-"}
	for _, k := range s.Kinds {
		d.totalWeight += k.weight
	}
	return d
}

const (
	callersPerOffice = 40
	offices          = 5
)

// next draws a request; wait is its distance from the one before, in units of
// the mean distance.
func (d *generator) next(shift int) request {
	d.sent++
	kind := 0
	for point := d.random.Float64() * d.totalWeight; kind < len(d.kinds)-1 && point >= d.kinds[kind].weight; kind++ {
		point -= d.kinds[kind].weight
	}
	rank := d.keys.sampleRank()
	return request{
		kind:       kind,
		rank:       rank,
		key:        d.kinds[kind].keyGroup + "-" + strconv.Itoa((rank+shift)%len(d.keys.cumulative)),
		nonce:      d.noncePrefix + strconv.Itoa(d.sent),
		caller:     strconv.Itoa(d.random.IntN(callersPerOffice * offices)),
		arrivalGap: -math.Log(1 - d.random.Float64()),
	}
}
