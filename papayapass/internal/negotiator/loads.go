package negotiator

import "papayapass.dev/papayapass/internal/wirepb"

// loadTolerance is the relative change of a slice's load since the last report
// up to which it is not reported again.
const loadTolerance = 0.2

// loadKey identifies a slice.
type loadKey struct {
	pool  string
	start uint64
}

// loadReport holds the last reported load of each slice, in thousandths of
// requests per second.
type loadReport map[loadKey]uint32

// changes returns the loads that differ from the last report and records them
// as reported. A slice without a current load is reported as idle.
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
