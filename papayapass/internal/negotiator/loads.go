package negotiator

import "papayapass.dev/papayapass/internal/wirepb"

// loadTolerance is the part by which a slice's load may differ from the one last
// reported without being reported again.
const loadTolerance = 0.2

// loadKey names a slice.
type loadKey struct {
	pool  string
	start uint64
}

// loadReport is the load of each slice as it was last reported, in thousandths
// of requests a second.
type loadReport map[loadKey]uint32

// changes returns the loads that differ from what was reported, and takes them
// as reported. A slice that is not among the loads any more is reported as idle.
func (r loadReport) changes(loads []*wirepb.SliceLoad) []*wirepb.SliceLoad {
	var out []*wirepb.SliceLoad
	seen := make(map[loadKey]struct{}, len(loads))
	for _, l := range loads {
		key := loadKey{pool: l.GetPool(), start: l.GetStart()}
		seen[key] = struct{}{}
		old, now := float64(r[key]), float64(l.GetRateMilli())
		if now > old*(1+loadTolerance) || now < old*(1-loadTolerance) {
			r[key] = l.GetRateMilli()
			out = append(out, l)
		}
	}
	for key := range r {
		if _, ok := seen[key]; !ok {
			delete(r, key)
			out = append(out, &wirepb.SliceLoad{Pool: key.pool, Start: key.start})
		}
	}
	return out
}
