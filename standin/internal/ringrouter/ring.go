// Package ringrouter is the naive router that papayapass is compared with. It uses
// a hash ring with equal weights, random choice in shared pools, fixed connection
// limits, retries on failure and a static list of backend servers.
package ringrouter

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerServer is the number of points of each server on the ring.
const pointsPerServer = 100

// ring is a consistent hash ring. It maps keys to server indexes.
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

// serverOrder returns all servers in ring order, starting with the owner of the
// key.
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
