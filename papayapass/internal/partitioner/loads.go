package partitioner

// Loads is the work per key of a divided service, in busy slots.
type Loads struct {
	perKey [KeyCount]float32
	// prefixSums holds, for each key, the work of all lower keys; it is recomputed after
	// changes.
	prefixSums []float64
	sumsStale  bool
	// hasWork is set once any work was added.
	hasWork bool
}

// NewLoads returns loads without work.
func NewLoads() *Loads { return &Loads{sumsStale: true} }

// Add adds work to a key.
func (l *Loads) Add(key uint16, work float64) {
	l.perKey[key] += float32(work)
	l.sumsStale, l.hasWork = true, true
}

// Decay multiplies all loads by a factor below one.
func (l *Loads) Decay(factor float64) {
	if !l.hasWork {
		return
	}
	f := float32(factor)
	l.sumsStale = true
	for i := range l.perKey {
		l.perKey[i] *= f
	}
}

// baseKeyWork is added to each key, so that ranges without traffic are divided by their
// size. All keys together add a hundredth of a busy slot.
const baseKeyWork = 0.01 / KeyCount

// KeyWork returns the work of a key, including baseKeyWork.
func (l *Loads) KeyWork(key uint16) float64 { return float64(l.perKey[key]) + baseKeyWork }

// Sum returns the work of the keys from first to last.
func (l *Loads) Sum(first, last uint16) float64 {
	if l.sumsStale {
		l.computeSums()
	}
	return l.prefixSums[int(last)+1] - l.prefixSums[first] + baseKeyWork*float64(int(last)-int(first)+1)
}

// computeSums recomputes prefixSums.
func (l *Loads) computeSums() {
	if l.prefixSums == nil {
		l.prefixSums = make([]float64, KeyCount+1)
	}
	sum := 0.0
	for k, work := range l.perKey {
		l.prefixSums[k] = sum
		sum += float64(work)
	}
	l.prefixSums[KeyCount] = sum
	l.sumsStale = false
}

// RunEnd returns the last key of the shortest run that starts at first and has at least
// the wanted work, or last when there is none.
func (l *Loads) RunEnd(first, last uint16, want float64) uint16 {
	sum := 0.0
	for k := int(first); k <= int(last); k++ {
		sum += l.KeyWork(uint16(k))
		if sum >= want {
			return uint16(k)
		}
	}
	return last
}

// HottestRun returns the shortest run of keys between first and last that has at least
// the wanted work; ok is false when all keys together have less.
func (l *Loads) HottestRun(first, last uint16, want float64) (from, to uint16, ok bool) {
	best := KeyCount + 1
	sum, start := 0.0, int(first)
	for k := int(first); k <= int(last); k++ {
		sum += l.KeyWork(uint16(k))
		for start < k && sum-l.KeyWork(uint16(start)) >= want {
			sum -= l.KeyWork(uint16(start))
			start++
		}
		if sum >= want && k-start+1 < best {
			best, from, to, ok = k-start+1, uint16(start), uint16(k), true
		}
	}
	return from, to, ok
}

// candidateRuns returns the shortest run of keys with the wanted work, and the shortest
// ones on both sides of it. When the first run is a single key with more work than may
// move, the runs beside it move instead.
func (l *Loads) candidateRuns(first, last uint16, want float64) [][2]uint16 {
	a, b, ok := l.hottestRunUpTo(first, last, want)
	if !ok {
		return nil
	}
	out := [][2]uint16{{a, b}}
	if first < a {
		if from, to, ok := l.hottestRunUpTo(first, a-1, want); ok {
			out = append(out, [2]uint16{from, to})
		}
	}
	if b < last {
		if from, to, ok := l.hottestRunUpTo(b+1, last, want); ok {
			out = append(out, [2]uint16{from, to})
		}
	}
	return out
}

// hottestRunUpTo returns the shortest run with the wanted work, or with nearly all work
// when there is less.
func (l *Loads) hottestRunUpTo(first, last uint16, want float64) (from, to uint16, ok bool) {
	const nearly = 0.99 // sums added in another order differ slightly
	return l.HottestRun(first, last, min(want, nearly*l.Sum(first, last)))
}
