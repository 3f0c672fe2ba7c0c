package main

import (
	"fmt"
	"sync"
	"time"
)

// deployment is a small deployment: three machines of a service divided by key, one of a
// shared service, and the platform's store.
type deployment struct {
	store   *store
	nodes   []*node
	rec     *recorder
	stop    chan struct{}
	clients sync.WaitGroup
}

// deploy starts a deployment. The result is false if its keys are not served in time.
func deploy(dir string, rec *recorder, services ...string) (*deployment, bool) {
	d := &deployment{store: newStore(), rec: rec, stop: make(chan struct{})}
	d.store.put("config", "main", configuration(7))
	if len(services) == 0 {
		services = []string{"permits", "permits", "permits", "lots"}
	}
	for i, service := range services {
		n := newNode(dir, fmt.Sprintf("node-%d", i+1), "zone-1", service, d.store.address, rec)
		d.nodes = append(d.nodes, n)
		n.up.start(fmt.Sprintf("i-%d-1", i+1), 50*time.Millisecond)
		n.start()
	}
	if !waitServed(d.nodes, 20*time.Second) {
		rec.printf("the keys are not served at the start")
		return d, false
	}
	rec.printf("all keys are served")
	go rec.watchOwners()
	return d, true
}

// beginLoad starts a light load at each machine.
func (d *deployment) beginLoad() {
	for i, n := range d.nodes {
		d.clients.Go(func() { lightLoad(n, i, d.stop) })
	}
}

// finish ends the load and the checks, and returns the longest time that two upstreams held
// one key together.
func (d *deployment) finish() time.Duration {
	close(d.stop)
	d.clients.Wait()
	return d.rec.finish()
}

// end ends all processes.
func (d *deployment) end() {
	for _, n := range d.nodes {
		n.kill()
	}
}

// restartAtOnce crashes an upstream between two renewals of its keys and starts it again.
// Its first heartbeat leaves after firstBeat, within the usual interval.
func restartAtOnce(u *upstream, id string) *life {
	u.mu.Lock()
	l := u.life
	u.mu.Unlock()
	for n := l.granted(); l.granted() == n; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	u.crash()
	time.Sleep(restartGap)
	return u.start(id, firstBeat)
}

// longestHold returns the machine whose upstream's last hold time was the longest. That of the
// node that has the coordinator's role is shorter.
func (d *deployment) longestHold() *node {
	var best *node
	longest := time.Duration(0)
	for _, n := range d.nodes {
		l := n.up.life
		l.mu.Lock()
		if l.hold > longest {
			best, longest = n, l.hold
		}
		l.mu.Unlock()
	}
	return best
}

func (l *life) granted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grants
}

// waitServed waits until every node answers requests for keys of all parts.
func waitServed(nodes []*node, limit time.Duration) bool {
	begin := time.Now()
	for _, n := range nodes {
		c := newCustomer(n)
		for k := 0; k < keyCount; k += 4096 {
			for c.do("GET", "/status/probe", fmt.Sprintf("probe-%s-%d-%d", n.id, k, time.Now().UnixNano()), k, time.Second) != 200 {
				if time.Since(begin) > limit {
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}

// lightLoad sends three requests a second from one machine.
func lightLoad(n *node, i int, stop <-chan struct{}) {
	c := newCustomer(n)
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		case <-time.After(330 * time.Millisecond):
		}
		method, path := "GET", "/status/a"
		if j%3 == 0 {
			method, path = "POST", "/renew/a"
		}
		id, key := fmt.Sprintf("q%d-%d", i, j), (j*7919+i*16001)%keyCount
		status := c.do(method, path, id, key, 1500*time.Millisecond)
		n.rec.answered(id, method, path, key, status, "")
	}
}

func (l *life) beats() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}
