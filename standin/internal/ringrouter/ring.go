// Package ringrouter is the naive router that papayapass is measured against: a
// hash ring of equal arcs, random choice in shared pools, fixed limits and
// retries on failure. It knows its backend servers from a list.
package ringrouter

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points that a server has on the ring.
const pointsPerServer = 100

// ring maps keys to servers.
type ring struct {
	points  []uint64
	servers map[uint64]int
	count   int
}

func newRing(servers []string) *ring {
	r := &ring{servers: make(map[uint64]int), count: len(servers)}
	for i, s := range servers {
		for p := range pointsPerServer {
			point := xxhash.Sum64String(s + "#" + strconv.Itoa(p))
			r.points = append(r.points, point)
			r.servers[point] = i
		}
	}
	sort.Slice(r.points, func(i, j int) bool { return r.points[i] < r.points[j] })
	return r
}

// order returns the servers for a key: its owner, and the next ones along the
// ring.
func (r *ring) order(key []byte) []int {
	hash := xxhash.Sum64(key)
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= hash })
	var out []int
	seen := make(map[int]struct{})
	for i := 0; len(out) < r.count; i++ {
		s := r.servers[r.points[(start+i)%len(r.points)]]
		if _, ok := seen[s]; !ok {
			seen[s] = struct{}{}
			out = append(out, s)
		}
	}
	return out
}
