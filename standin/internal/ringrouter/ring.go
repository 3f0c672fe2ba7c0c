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
	points        []uint64
	serverAtPoint map[uint64]int
	serverCount   int
}

func newRing(servers []string) *ring {
	r := &ring{serverAtPoint: make(map[uint64]int), serverCount: len(servers)}
	for i, s := range servers {
		for p := range pointsPerServer {
			point := xxhash.Sum64String(s + "#" + strconv.Itoa(p))
			r.points = append(r.points, point)
			r.serverAtPoint[point] = i
		}
	}
	sort.Slice(r.points, func(i, j int) bool { return r.points[i] < r.points[j] })
	return r
}

// serverOrder returns the servers for a key: its owner, and the next ones along the
// ring.
func (r *ring) serverOrder(key []byte) []int {
	hash := xxhash.Sum64(key)
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= hash })
	var out []int
	seen := make(map[int]struct{})
	for i := 0; len(out) < r.serverCount; i++ {
		s := r.serverAtPoint[r.points[(start+i)%len(r.points)]]
		if _, ok := seen[s]; !ok {
			seen[s] = struct{}{}
			out = append(out, s)
		}
	}
	return out
}
