package main

import (
	"os"
	"time"
)

// onlyCrashName names the variable that, beside TROUBLE=0, keeps the crash and leaves the silence out.
const onlyCrashName = "ONLY_CRASH"

// silentLink: the open connections between a node and its upstream go silent. Right after that the upstream
// crashes and starts again under its id. The rule OWNER and PROTOCOL ask for a higher fence when keys move to
// another life of an upstream.
func silentLink(root, dir string, trouble bool) (bool, error) {
	const (
		beforeCrash = 50 * time.Millisecond
		down        = 20 * time.Millisecond
		firstBeat   = 800 * time.Millisecond
	)
	d, err := newDeploymentOf(root, dir, []string{"valenzuela", "calamba", "malolos"}, 55*time.Millisecond, 10, true)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	u, l := d.upstreams[1], d.links[1]
	before := d.checker.broken
	if trouble {
		d.rec.add("%d open connections to upstream %s go silent", l.silence(), u.id)
	}
	if trouble || os.Getenv(onlyCrashName) != "" {
		time.Sleep(beforeCrash)
		l.refuse()
		u.end("crash")
		time.Sleep(down)
		next, err := startLife(u.node, serviceName, u.work, d.rec, life{id: u.id, listens: l.target, firstBeat: firstBeat, checker: d.checker})
		if err != nil {
			return false, err
		}
		if err := l.open(); err != nil {
			return false, err
		}
		d.upstreams[1] = next
	}
	time.Sleep(8 * time.Second)
	d.checker.mu.Lock()
	broken := d.checker.broken - before
	d.checker.mu.Unlock()
	d.rec.say("grants that the next life took with a fence that is not above that of another life: %d", broken)
	return broken > 0, nil
}
