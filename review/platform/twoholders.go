package main

import "time"

const (
	// restartGap is the time between the crash of an upstream and its next start.
	restartGap = 20 * time.Millisecond
	// firstBeat is the time between a start of an upstream and its first heartbeat.
	firstBeat = 350 * time.Millisecond
	// nodeDown is the time between the end of a node's process and its next start.
	nodeDown = 200 * time.Millisecond
)

// twoHolders: an upstream crashes and starts again at once; a second later the process
// of the node beside it is killed and started again.
func twoHolders(dir, record string, trouble bool) int {
	rec := newRecorder(record)
	d, ok := deploy(dir, rec)
	defer d.end()
	if !ok {
		return notRun
	}
	d.beginLoad()
	time.Sleep(3 * time.Second)
	victim := d.longestHold()
	if trouble {
		next := restartAtOnce(victim.up, "i-next")
		for begin := time.Now(); next.beats() == 0 && time.Since(begin) < 5*time.Second; {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		victim.kill()
		time.Sleep(nodeDown)
		victim.start()
	}
	time.Sleep(10 * time.Second)
	longest := d.finish()
	rec.printf("sent %d, answered 200: %d; longest time that two upstreams held one key: %s (bound %s)", rec.sent, rec.served, longest.Round(time.Millisecond), heldTogether)
	if longest > heldTogether {
		rec.printf("OWNER is broken: %d of %d keys looked at", len(rec.overlaps), keyCount/keyStep)
		return broken
	}
	return held
}
