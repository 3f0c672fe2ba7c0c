package main

import (
	"net/http"
	"time"
)

// leaveForgotten: an upstream says that it leaves, the node beside it acknowledges that, and right after
// this acknowledgement all nodes are killed. They start again. A heartbeat that the upstream sent before
// it left arrives late. The rule DRAIN binds the nodes to the acknowledgement.
func leaveForgotten(root, dir string, trouble bool) (bool, error) {
	const (
		down       = 700 * time.Millisecond
		heldUp     = 2600 * time.Millisecond
		servesOn   = 5 * time.Second
		afterwards = 4 * time.Second
	)
	d, err := newDeployment(root, dir, []string{"valenzuela", "calamba", "malolos"}, 220*time.Millisecond, 20)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	u := d.upstreams[1]
	u.setSilent()
	time.Sleep(100 * time.Millisecond)
	late := u.heartbeat()
	d.rec.add("upstream %s sends a heartbeat that is held up: %s", u.id, late)
	go func() {
		time.Sleep(heldUp)
		u.sendBeat(late)
	}()
	time.Sleep(100 * time.Millisecond)
	if status := u.leave(); status != http.StatusOK {
		d.rec.say("the node answers %d to the notice", status)
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	if trouble {
		for _, n := range d.nodes {
			n.kill()
		}
		d.rec.add("all nodes are killed")
		time.Sleep(down)
		for _, n := range d.nodes {
			<-n.exited
			if err := n.start(root); err != nil {
				return false, err
			}
		}
	}
	bound := acknowledged.Add(drainTimeout)
	for _, n := range d.nodes {
		if inTouch := n.startedAt.Add(contactBound); inTouch.After(bound) {
			bound = inTouch
		}
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	u.end("it has left")
	time.Sleep(afterwards)
	close(d.stop)
	d.clients.wg.Wait()

	requests := d.clients.byID()
	afterBound, lost := 0, 0
	for _, a := range u.list() {
		if a.at.After(acknowledged.Add(drainTimeout)) {
			if a.at.After(bound) {
				afterBound++
				d.rec.add("request %s, sent %.3f s and arrived %.3f s after the acknowledgement, breaks the rule",
					a.id, requests[a.id].at.Sub(acknowledged).Seconds(), a.at.Sub(acknowledged).Seconds())
			}
			if a.unsafe && !a.completed && requests[a.id].status != 200 {
				lost++
				d.rec.add("unsafe request %s was cut off when the upstream ended; its client got %d", a.id, requests[a.id].status)
			}
		}
	}
	d.rec.say("requests at the upstream later than drainTimeout after the acknowledgement, by nodes in touch: %d", afterBound)
	d.rec.say("unsafe requests sent to it after that and lost when it ended: %d", lost)
	return afterBound > 0, nil
}
