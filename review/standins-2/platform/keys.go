package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// hold is a range of keys that a life of an upstream has.
type hold struct {
	From, Target int
	Fence        uint64
	until        time.Time
}

func (h hold) overlaps(from, target int) bool { return h.From <= target && from <= h.Target }

// taken is a hold that a life of an upstream took at some time.
type taken struct {
	hold
	life string
	at   time.Time
}

// fenceChecker knows the fencing tokens with which each life had keys.
type fenceChecker struct {
	mu     sync.Mutex
	rec    *record
	list   []taken
	broken int
}

// take records that a life takes keys. A fence that is not above that of another life breaks the rule.
func (c *fenceChecker) take(life string, h hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.list {
		if t.life != life && t.overlaps(h.From, h.Target) && h.Fence <= t.Fence {
			c.broken++
			c.rec.add("%s takes the keys %d to %d with fence %d; %s had %d to %d with fence %d since %.3f", life, h.From, h.Target, h.Fence,
				t.life, t.From, t.Target, t.Fence, t.at.Sub(c.rec.start).Seconds())
		}
	}
	c.list = append(c.list, taken{h, life, time.Now()})
}

// holdings are the keys of one life of an upstream.
type holdings struct {
	life    string
	checker *fenceChecker
	rec     *record

	mu   sync.Mutex
	list []hold
	seen []hold
}

type keyRequest struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// serve answers a grant or a release.
func (k *holdings) serve(w http.ResponseWriter, path string, body []byte) {
	var r keyRequest
	if err := json.Unmarshal(body, &r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if path == "/papayapass/release" {
		k.remove(r.From, r.Target)
		k.rec.add("%s releases the keys %d to %d", k.life, r.From, r.Target)
		w.Header().Set("X-Papayapass-Handover", "5c0e7a21d94b36f8")
		w.WriteHeader(http.StatusOK)
		return
	}
	for _, s := range k.seen {
		if s.overlaps(r.From, r.Target) && s.Fence > r.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	time_, err := time.ParseDuration(r.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := hold{From: r.From, Target: r.Target, Fence: r.Fence, until: time.Now().Add(time_)}
	renewed := false
	for _, s := range k.list {
		renewed = renewed || (s.From == h.From && s.Target == h.Target && s.Fence == h.Fence)
	}
	k.remove(h.From, h.Target)
	k.list = append(k.list, h)
	if !renewed {
		k.seen = append(k.seen, h)
		k.rec.add("%s is granted the keys %d to %d with fence %d for %v", k.life, h.From, h.Target, h.Fence, time_)
		k.checker.take(k.life, h)
	}
	w.WriteHeader(http.StatusOK)
}

// remove removes keys from the holds, parts of them too. The caller holds k.mu.
func (k *holdings) remove(from, target int) {
	var left []hold
	for _, h := range k.list {
		if !h.overlaps(from, target) {
			left = append(left, h)
			continue
		}
		if h.From < from {
			left = append(left, hold{h.From, from - 1, h.Fence, h.until})
		}
		if target < h.Target {
			left = append(left, hold{target + 1, h.Target, h.Fence, h.until})
		}
	}
	k.list = left
}

// has reports whether a key is held.
func (k *holdings) has(key int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.list {
		if h.overlaps(key, key) && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

func lifeName(id string, born int64) string { return fmt.Sprintf("upstream %s born %d", id, born) }
