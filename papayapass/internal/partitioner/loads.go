package partitioner

// Loads is the work that keys of a divided service bring, in busy slots.
type Loads struct {
	perKey [KeyCount]float32
	// before is the work of all keys below each key; it is made anew after changes.
	before []float64
	stale  bool
	// used says that work was ever added.
	used bool
}

// NewLoads returns loads without work.
func NewLoads() *Loads { return &Loads{stale: true} }

// Add counts work of a key.
func (l *Loads) Add(key uint16, work float64) {
	l.perKey[key] += float32(work)
	l.stale, l.used = true, true
}

// Decay multiplies all loads by a factor below one.
func (l *Loads) Decay(factor float64) {
	if !l.used {
		return
	}
	f := float32(factor)
	l.stale = true
	for i := range l.perKey {
		l.perKey[i] *= f
	}
}

// basicLoad is assumed of each key, so that ranges without traffic are divided
// by their size. All keys together make a hundredth of one busy slot.
const basicLoad = 0.01 / KeyCount

// Key returns the work of a key.
func (l *Loads) Key(key uint16) float64 { return float64(l.perKey[key]) + basicLoad }

// Sum returns the work of the keys from first to last.
func (l *Loads) Sum(first, last uint16) float64 {
	if l.stale {
		l.add()
	}
	return l.before[int(last)+1] - l.before[first] + basicLoad*float64(int(last)-int(first)+1)
}

// add makes the sums anew.
func (l *Loads) add() {
	if l.before == nil {
		l.before = make([]float64, KeyCount+1)
	}
	sum := 0.0
	for k, work := range l.perKey {
		l.before[k] = sum
		sum += float64(work)
	}
	l.before[KeyCount] = sum
	l.stale = false
}

// Cut returns the last key of the shortest run from first that has at least the
// wanted work, or last.
func (l *Loads) Cut(first, last uint16, want float64) uint16 {
	sum := 0.0
	for k := int(first); k <= int(last); k++ {
		sum += l.Key(uint16(k))
		if sum >= want {
			return uint16(k)
		}
	}
	return last
}

// Hottest returns the shortest run of keys within first to last that has at least
// the wanted work; ok is false when all keys together have less.
func (l *Loads) Hottest(first, last uint16, want float64) (from, to uint16, ok bool) {
	best := KeyCount + 1
	sum, start := 0.0, int(first)
	for k := int(first); k <= int(last); k++ {
		sum += l.Key(uint16(k))
		for start < k && sum-l.Key(uint16(start)) >= want {
			sum -= l.Key(uint16(start))
			start++
		}
		if sum >= want && k-start+1 < best {
			best, from, to, ok = k-start+1, uint16(start), uint16(k), true
		}
	}
	return from, to, ok
}

// runs returns the shortest run of keys with the wanted work, and the shortest ones
// on both sides of it: one key may bring more work than may move, and the keys beside
// it then go.
func (l *Loads) runs(first, last uint16, want float64) [][2]uint16 {
	a, b, ok := l.run(first, last, want)
	if !ok {
		return nil
	}
	out := [][2]uint16{{a, b}}
	if first < a {
		if from, to, ok := l.run(first, a-1, want); ok {
			out = append(out, [2]uint16{from, to})
		}
	}
	if b < last {
		if from, to, ok := l.run(b+1, last, want); ok {
			out = append(out, [2]uint16{from, to})
		}
	}
	return out
}

// run returns the shortest run with the wanted work, or with nearly all when there
// is less.
func (l *Loads) run(first, last uint16, want float64) (from, to uint16, ok bool) {
	const nearly = 0.99 // sums in another order differ
	return l.Hottest(first, last, min(want, nearly*l.Sum(first, last)))
}
