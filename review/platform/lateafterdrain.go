package main

import (
	"fmt"
	"sync"
	"time"
)

// lateAfterDrain: an upstream crashes while it runs a popular lookup; another one of its
// service is shut down as planned while equal lookups wait at the node beside it.
func lateAfterDrain(dir, record string, trouble bool) int {
	const (
		lookupWork  = 2700 * time.Millisecond // site file: 550 ms on average, 3,300 ms at most
		lookupTime  = 3 * time.Second         // the route's timeout
		beforeCrash = 300 * time.Millisecond
		beforeRetry = 150 * time.Millisecond
		beforeDrain = 150 * time.Millisecond
		longer      = 700 * time.Millisecond
	)
	rec := newRecorder(record)
	d, ok := deploy(dir, rec, "permits", "permits", "lots", "lots", "lots")
	defer d.end()
	if !ok || !waitPool(d.nodes) {
		return notRun
	}
	for _, n := range d.nodes[2:] {
		n.up.work = lookupWork
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	lookups := 0
	look := func(n *node) {
		lookups++
		id := fmt.Sprintf("lookup-%d", lookups)
		clients.Go(func() {
			c := newCustomer(n)
			rec.printf("sent      %s to %s", id, n.id)
			status := c.do("GET", "/record/popular", id, -1, lookupTime)
			rec.answered(id, "GET", "/record/popular", -1, status, "")
		})
	}
	pool := d.nodes[2:]
	for _, n := range pool {
		look(n)
		look(n)
	}
	time.Sleep(beforeCrash)
	crashes := busiest(pool)
	leaves := pool[0]
	if leaves == crashes {
		leaves = pool[1]
	}
	if trouble {
		crashes.up.crash()
		time.Sleep(beforeRetry)
		// The node beside an upstream that runs a lookup for the second time looks on.
		if n := d.rec.repeatedAt(pool); n != nil {
			leaves = n
		}
	}
	for range 6 {
		look(leaves)
	}
	time.Sleep(beforeDrain)
	life := leaves.up.life
	life.drain(longer)
	clients.Wait()
	time.Sleep(time.Second)
	rec.finish()
	life.mu.Lock()
	late := life.late
	life.mu.Unlock()
	lost := 0
	for _, id := range late {
		if rec.answers[id] != 200 {
			lost++
		}
	}
	rec.printf("sent %d, answered 200: %d; requests that reached the leaving upstream too late: %v, of which %d got no success", rec.sent, rec.served, late, lost)
	if len(late) > 0 {
		rec.printf("DRAIN is broken")
		return broken
	}
	return held
}

// waitPool waits until every node answers requests for the shared service.
func waitPool(nodes []*node) bool {
	begin := time.Now()
	for _, n := range nodes {
		c := newCustomer(n)
		for i := 0; c.do("GET", fmt.Sprintf("/record/probe-%s-%d", n.id, i), fmt.Sprintf("pool-%s-%d", n.id, i), -1, time.Second) != 200; i++ {
			if time.Since(begin) > 10*time.Second {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// busiest returns the machine whose upstream runs the most requests.
func busiest(list []*node) *node {
	best, most := list[0], -1
	for _, n := range list {
		l := n.up.life
		l.mu.Lock()
		if l.running[-1] > most {
			best, most = n, l.running[-1]
		}
		l.mu.Unlock()
	}
	return best
}

// repeatedAt returns the machine at whose upstream a request runs for the second time.
func (r *recorder) repeatedAt(list []*node) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, by := range r.runs {
		for _, n := range list {
			if len(by) > 1 && by[1] == n.up.life.id {
				return n
			}
		}
	}
	return nil
}
