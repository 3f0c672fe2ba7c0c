package negotiator

import (
	"time"

	"pgregory.net/rapid"

	"papayapass.dev/papayapass/internal/assigner"
)

// fault is a temporary fault of some nodes, the network or the platform.
type fault struct {
	kind   string
	at     time.Duration
	length time.Duration
	nodes  uint
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:   rapid.SampledFrom([]string{"pause", "restart", "partition", "platform down", "replies dropped", "loss"}).Draw(t, "kind"),
		at:     time.Duration(rapid.IntRange(int(formationEnd.Milliseconds()), int(faultsEnd.Milliseconds())).Draw(t, "at")) * time.Millisecond,
		length: time.Duration(rapid.IntRange(50, int(longestFault.Milliseconds())).Draw(t, "length")) * time.Millisecond,
		nodes:  uint(rapid.IntRange(1, 31).Draw(t, "nodes")),
	}
}

func (f fault) affects(i int) bool { return f.nodes&(1<<i) != 0 }

// begin starts the fault.
func (f fault) begin(w *world) {
	switch f.kind {
	case "pause":
		w.each(f, func(n *simNode) { n.paused = !n.down })
	case "restart":
		w.each(f, func(n *simNode) { n.down = true })
	case "partition":
		w.isCut = func(a, b assigner.NodeID) bool { return f.affects(int(a[1]-'0')) != f.affects(int(b[1]-'0')) }
	case "platform down":
		w.platform.SetDown(true)
	case "replies dropped":
		w.platform.SetDropReplies(true)
	case "loss":
		w.loss = 0.3
	}
}

// end repairs the fault.
func (f fault) end(w *world) {
	switch f.kind {
	case "pause":
		w.each(f, func(n *simNode) { n.paused = false })
	case "restart":
		w.each(f, func(n *simNode) {
			if n.down {
				w.start(n)
			}
		})
	case "partition":
		w.isCut = never
	case "platform down":
		w.platform.SetDown(false)
	case "replies dropped":
		w.platform.SetDropReplies(false)
	case "loss":
		w.loss = 0.02
	}
}

func (w *world) each(f fault, do func(*simNode)) {
	for i, n := range w.nodes {
		if f.affects(i) {
			do(n)
		}
	}
}

// runSchedule runs a schedule of faults and repairs them all at its end.
func runSchedule(w *world, faults []fault) {
	w.hot = true
	for w.now < faultsEnd+longestFault && w.violation == "" {
		for _, f := range faults {
			if f.at > w.now && f.at <= w.now+step {
				f.begin(w)
			}
			if end := f.at + f.length; end > w.now && end <= w.now+step {
				f.end(w)
			}
		}
		w.advance()
	}
	for _, f := range faults {
		f.end(w)
	}
	w.run(w.now + repairEnd - faultsEnd)
}

// schedule is a network seed, a number of nodes and a list of faults.
type schedule struct {
	seed   uint64
	nodes  int
	faults []fault
}

func drawSchedule(t *rapid.T) schedule {
	return schedule{
		seed:   rapid.Uint64().Draw(t, "seed"),
		nodes:  rapid.IntRange(3, 5).Draw(t, "nodes"),
		faults: rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(t, "faults"),
	}
}
