package main

import (
	"fmt"
	"sync"
	"time"
)

// leftForgotten: a node's process is killed and started again; the upstream beside it leaves
// without having reported draining, and a heartbeat from before arrives late.
func leftForgotten(dir, record string, trouble bool) int {
	const (
		contact   = 3 * time.Second
		lateBy    = 1800 * time.Millisecond
		longer    = 2500 * time.Millisecond // after drainTimeout, until the upstream exits
		killAfter = 200 * time.Millisecond
		leaveAt   = 500 * time.Millisecond // after the node's start
		clients   = 24
		between   = 300 * time.Millisecond
		work      = 300 * time.Millisecond // site file: 550 ms on average
	)
	rec := newRecorder(record)
	d, ok := deploy(dir, rec, "permits", "permits", "lots", "lots", "lots")
	defer d.end()
	if !ok || !waitPool(d.nodes) {
		return notRun
	}
	for _, n := range d.nodes {
		n.up.work = work
	}
	var all sync.WaitGroup
	for i := range clients {
		n := d.nodes[i%len(d.nodes)]
		all.Go(func() {
			c := newCustomer(n)
			time.Sleep(between * time.Duration(i) / clients)
			for j := 0; ; j++ {
				select {
				case <-d.stop:
					return
				case <-time.After(between):
				}
				id := fmt.Sprintf("r%d-%d", i, j)
				status := c.do("GET", "/record/"+id, id, -1, 6*time.Second)
				rec.answered(id, "GET", "/record/"+id, -1, status, "")
			}
		})
	}
	time.Sleep(2 * time.Second)
	machine := d.nodes[3]
	leaver := machine.up.life
	if trouble {
		machine.up.mu.Lock()
		machine.up.holdBeats = func(*life, int) time.Duration { return lateBy }
		machine.up.mu.Unlock()
		rec.printf("heartbeats of %s arrive %s late from now on", leaver.id, lateBy)
		time.Sleep(killAfter)
		machine.kill()
		time.Sleep(nodeDown)
		machine.start()
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(leaveAt)
	leaver.leave(longer)
	time.Sleep(2 * time.Second)
	close(d.stop)
	all.Wait()
	rec.finish()
	leaver.mu.Lock()
	late, at := leaver.late, leaver.lateAt
	leaver.mu.Unlock()
	counted, lost := 0, 0
	for i, id := range late {
		if at[i].After(inTouch) {
			counted++
			if rec.answers[id] != 200 {
				lost++
			}
		}
	}
	rec.printf("sent %d, answered 200: %d; requests that reached the upstream later than drainTimeout after its leaving was acknowledged: %d, %d of them when all machines were in touch, %d of these got no success", rec.sent, rec.served, len(late), counted, lost)
	if counted > 0 {
		rec.printf("DRAIN is broken")
		return broken
	}
	return held
}
