package main

import "time"

// oldFence: an upstream crashes and starts again at once.
func oldFence(dir, record string, trouble bool) int {
	rec := newRecorder(record)
	d, ok := deploy(dir, rec)
	defer d.end()
	if !ok {
		return notRun
	}
	d.beginLoad()
	time.Sleep(3 * time.Second)
	if trouble {
		restartAtOnce(d.longestHold().up, "i-next")
	}
	time.Sleep(8 * time.Second)
	longest := d.finish()
	rec.printf("sent %d, answered 200: %d; longest time that two upstreams held one key: %s", rec.sent, rec.served, longest.Round(time.Millisecond))
	if len(rec.oldFences) > 0 {
		rec.printf("OWNER is broken: %d grants of keys with a fence that is not above that of another upstream", len(rec.oldFences))
		return broken
	}
	return held
}
