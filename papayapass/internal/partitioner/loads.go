package partitioner

// Loads is the work that keys of a divided service bring, in busy slots.
type Loads struct {
	perKey [KeyCount]float32
}

// NewLoads returns loads without work.
func NewLoads() *Loads { return &Loads{} }

// Add counts work of a key.
func (l *Loads) Add(key uint16, work float64) { l.perKey[key] += float32(work) }

// Decay multiplies all loads by a factor below one.
func (l *Loads) Decay(factor float64) {
	f := float32(factor)
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
	sum := 0.0
	for k := int(first); k <= int(last); k++ {
		sum += float64(l.perKey[k])
	}
	return sum + basicLoad*float64(int(last)-int(first)+1)
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
