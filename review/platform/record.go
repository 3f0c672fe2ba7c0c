package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt and checks the rule OWNER while the case runs.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	lives   []*life
	runs    map[string][]string // lives that ran a request, by its id
	callers map[string]string   // the caller's service that came with a request, by its id
	answers map[string]int
	sent    int
	served  int
	// overlaps holds the longest time that two lives held one key together.
	longest  time.Duration
	overlaps []string
	stop     chan struct{}
	stopped  chan struct{}
	// highest holds for each key the highest fence so far, and who had it first.
	highest [keyCount]struct {
		fence uint64
		id    string
	}
	// oldFences are grants whose fence is not above that of another life.
	oldFences []string
}

// took checks the fence of keys that a life has just taken.
func (r *recorder) took(l *life, from, target int, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := ""
	for k := from; k <= target; k++ {
		h := &r.highest[k]
		if h.id != l.id && fence <= h.fence {
			old = fmt.Sprintf("%s takes %d to %d with fence %d, %s had key %d with fence %d", l.id, from, target, fence, h.id, k, h.fence)
		}
		if fence > h.fence {
			h.fence, h.id = fence, l.id
		}
	}
	if old != "" {
		r.oldFences = append(r.oldFences, old)
		fmt.Fprintf(r.file, "%8.3f  FENCE     %s\n", time.Since(r.started).Seconds(), old)
	}
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	must(err)
	return &recorder{file: f, started: time.Now(), runs: make(map[string][]string), callers: make(map[string]string), answers: make(map[string]int), stop: make(chan struct{}), stopped: make(chan struct{})}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) addLife(l *life) {
	r.mu.Lock()
	r.lives = append(r.lives, l)
	r.mu.Unlock()
}

func (r *recorder) ran(l *life, id, method, uri string, key int, caller string) {
	r.mu.Lock()
	r.callers[id] = caller
	r.runs[id] = append(r.runs[id], l.id)
	r.mu.Unlock()
	r.printf("run       %s %s %s key %d at %s for %s", id, method, uri, key, l.id, caller)
}

func (r *recorder) answered(id, method, path string, key, status int, note string) {
	r.mu.Lock()
	r.sent++
	r.answers[id] = status
	if status == 200 {
		r.served++
	}
	r.mu.Unlock()
	r.printf("answered  %s %s %s key %d: %d %s", id, method, path, key, status, note)
}

const (
	sampleEvery = 10 * time.Millisecond
	keyStep     = 64
	// heldTogether is the bound of the rule: over half a second.
	heldTogether = 500 * time.Millisecond
)

// watchOwners samples which lives hold each 64th key until the recorder stops.
func (r *recorder) watchOwners() {
	defer close(r.stopped)
	since := make(map[string]time.Time)
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(sampleEvery):
		}
		r.mu.Lock()
		lives := append([]*life(nil), r.lives...)
		r.mu.Unlock()
		now := time.Now()
		held := make(map[int][]string)
		for _, l := range lives {
			if l.up.service != "permits" {
				continue
			}
			l.mu.Lock()
			for k := 0; k < keyCount; k += keyStep {
				if fence, ok := l.holds(k, now); ok {
					held[k] = append(held[k], fmt.Sprintf("%s (fence %d)", l.id, fence))
				}
			}
			l.mu.Unlock()
		}
		together := make(map[string]bool)
		for k, by := range held {
			if len(by) < 2 {
				continue
			}
			name := fmt.Sprintf("key %d held by %s", k, strings.Join(by, " and "))
			together[name] = true
			if _, ok := since[name]; !ok {
				since[name] = now
			}
			if d := now.Sub(since[name]); d > r.longest {
				r.longest = d
			}
		}
		for name, from := range since {
			if !together[name] {
				delete(since, name)
				if d := now.Sub(from); d > heldTogether {
					r.overlaps = append(r.overlaps, name)
					if len(r.overlaps) <= 20 {
						r.printf("OWNER     %s for %s", name, d.Round(time.Millisecond))
					}
				}
			}
		}
	}
}

// finish stops the watch and returns the longest time that two lives held a key together.
func (r *recorder) finish() time.Duration {
	close(r.stop)
	<-r.stopped
	return r.longest
}
