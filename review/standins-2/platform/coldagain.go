package main

import (
	"sort"
	"time"
)

// coldAgain: an upstream that runs becomes cold once more, right after a heartbeat. Its next heartbeat and
// its health path say so. The rule FAILBACK limits what it gets in each second while it is cold.
func coldAgain(root, dir string, trouble bool) (bool, error) {
	const warmup = 3 * time.Second
	d, err := newDeployment(root, dir, []string{"valenzuela", "calamba", "malolos"}, 55*time.Millisecond, 60)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	u := d.upstreams[1]
	if trouble {
		u.mu.Lock()
		u.crashOver = 3 * warmupPerS
		u.mu.Unlock()
		for drained := false; !drained; {
			select {
			case <-u.beatAcked:
			default:
				drained = true
			}
		}
		<-u.beatAcked
		u.becomeCold(warmup)
	}
	time.Sleep(warmup + 2*time.Second)
	close(d.stop)
	d.clients.wg.Wait()

	most, from := mostInASecond(u.list(), d.clients.byID())
	limit := warmupPerS*coldOver + coldSlack
	lost := 0
	requests := d.clients.byID()
	for _, a := range u.list() {
		if a.cold && a.unsafe && !a.completed && requests[a.id].status != 200 {
			lost++
			d.rec.add("unsafe request %s reached the cold upstream and was not answered by it; its client got %d", a.id, requests[a.id].status)
		}
	}
	d.rec.say("most requests in one second at the cold upstream: %d (from second %.3f), the rule allows %.1f", most, from.Sub(d.rec.start).Seconds(), limit)
	d.rec.say("unsafe requests that its crash cut off: %d", lost)
	return float64(most) > limit, nil
}

// mostInASecond returns the largest number of requests that reached the upstream while it was cold, and
// were sent and arrived inside one second, and the start of that second.
func mostInASecond(list []*arrival, requests map[string]sent) (int, time.Time) {
	var cold []*arrival
	for _, a := range list {
		if a.cold {
			cold = append(cold, a)
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].at.Before(cold[j].at) })
	most, from := 0, time.Time{}
	for _, first := range cold {
		start := requests[first.id].at
		n := 0
		for _, a := range cold {
			if !requests[a.id].at.Before(start) && !a.at.After(start.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	return most, from
}
