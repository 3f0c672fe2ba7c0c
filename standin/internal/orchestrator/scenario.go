package orchestrator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/standin/internal/loader"
	"papayapass.dev/standin/internal/storekeeper"
	"papayapass.dev/standin/internal/worker"
)

// Scenario is a site, its load and the failures injected into it.
type Scenario struct {
	name  string
	site  Site
	load  Load
	steps []Step
	// naive reports whether the scenario also applies to the naive router.
	naive bool
}

// Times and rates of the scenarios. The shares are fractions of a site's capacity.
const (
	probeRate          = 800
	probeKeys          = 40
	probeLength        = 12 * time.Second
	failAt             = 3 * time.Second
	freezeLength       = 3 * time.Second
	shortFreezeLength  = 700 * time.Millisecond
	longScenarioLength = 20 * time.Second
	coldScenarioLength = 16 * time.Second
	stragglerSlowdown  = 10
	overloadShare      = 1.5
	busyShare          = 0.7
	lightShare         = 0.42
	restartShare       = 0.28
	// reasonThreshold is the count above which a reason is printed.
	reasonThreshold = 20
)

// probeLoad returns reads of keys spread over all slices of the divided pool. Each
// key is read 20 times a second, so that unavailability of a slice shows as a gap.
func probeLoad(site Site) Load {
	k := site.kinds[0]
	return Load{
		kinds: []loader.Kind{k}, rate: probeRate, length: probeLength,
		keys: probeKeys, uniform: true, watchKeys: probeKeys, seed: 1,
	}
}

// loadAt returns the site's request mix at a share of the rate that all its slots
// sustain.
func (s Site) loadAt(share float64, length time.Duration) Load {
	rate := 0.0
	for _, p := range s.pools {
		rate += float64(p.servers*p.slots) / serviceTime.Seconds()
	}
	return Load{kinds: s.kinds, rate: rate * share, length: length, keys: demoKeys, watchKeys: demoWatchKeys, seed: 1}
}

// memberSelector selects the members that a failure affects.
type memberSelector func(c *Cluster) ([]*member, error)

// selectOwner selects an owner that is not the coordinator. Naive routers have no
// coordinator.
func selectOwner(c *Cluster) ([]*member, error) {
	coordinator, err := c.coordinator()
	if err != nil && !c.naive {
		return nil, err
	}
	for _, m := range c.instances {
		if m != coordinator && m.pool.divided {
			return []*member{m}, nil
		}
	}
	return nil, errors.New("no instance of a divided pool other than the coordinator")
}

func selectCoordinator(c *Cluster) ([]*member, error) {
	m, err := c.coordinator()
	return []*member{m}, err
}

func selectOwnerAndCoordinator(c *Cluster) ([]*member, error) {
	first, err := selectOwner(c)
	if err != nil {
		return nil, err
	}
	second, err := selectCoordinator(c)
	return append(first, second...), err
}

func kill(selectMembers memberSelector) Step {
	return Step{at: failAt, name: "kill", action: func(_ context.Context, c *Cluster) error {
		members, err := selectMembers(c)
		if err != nil {
			return err
		}
		for _, m := range members {
			m.node.kill()
			m.backend.kill()
		}
		return nil
	}}
}

// freeze suspends the node and backend server of each selected member (SIGSTOP),
// and resumes them after the given time.
func freeze(at, length time.Duration, selectMembers memberSelector) Step {
	return Step{at: at, name: "freeze", action: func(_ context.Context, c *Cluster) error {
		members, err := selectMembers(c)
		if err != nil {
			return err
		}
		for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
			for _, m := range members {
				if err := errors.CombineErrors(m.node.signal(s), m.backend.signal(s)); err != nil {
					return err
				}
			}
			if s == syscall.SIGSTOP {
				time.Sleep(length)
			}
		}
		return nil
	}}
}

func platformFaults(at time.Duration, f storekeeper.Faults) Step {
	return Step{at: at, name: fmt.Sprintf("platform %+v", f), action: func(_ context.Context, c *Cluster) error {
		return c.SetPlatformFaults(f)
	}}
}

func operatorCommand(at time.Duration, args ...string) Step {
	return Step{at: at, name: strings.Join(args, " "), action: func(ctx context.Context, c *Cluster) error {
		return c.RunOperatorCommand(ctx, args...)
	}}
}

// restartCold kills one backend server and starts it cold.
func restartCold(at time.Duration, index int) Step {
	return Step{at: at, name: "backend server restarts cold", action: func(_ context.Context, c *Cluster) error {
		m := c.instances[index]
		m.backend.kill()
		return c.startBackend(m, true)
	}}
}

func slowThird(at time.Duration, pool string, slowdown float64) Step {
	return Step{at: at, name: fmt.Sprintf("a third of %s straggles by %g", pool, slowdown), action: func(_ context.Context, c *Cluster) error {
		slowed := 0
		for _, m := range c.instances {
			if m.pool.name != pool || slowed == max(1, m.pool.servers/3) {
				continue
			}
			slowed++
			if err := c.SendControl(m, worker.Control{Slowdown: slowdown}); err != nil {
				return err
			}
		}
		return nil
	}}
}

// rollingRestart stops each node gracefully and restarts it, one at a time.
func rollingRestart(at time.Duration) Step {
	return Step{at: at, name: "rolling restart of all nodes", action: func(ctx context.Context, c *Cluster) error {
		for _, m := range c.instances {
			if err := m.node.stop(); err != nil {
				return errors.Wrap(err, m.id)
			}
			if err := c.startNode(m); err != nil {
				return err
			}
			if err := c.waitReady(ctx, len(c.instances)); err != nil {
				return errors.Wrap(err, m.id)
			}
		}
		return nil
	}}
}

// Scenarios returns all scenarios of the bench.
func Scenarios() []Scenario {
	l, n := luzon(), nordeste()
	down := platformFaults(failAt-time.Second, storekeeper.Faults{Down: true})
	zone := l.zones[1]
	return []Scenario{
		{naive: true, name: "lose owner", site: n, load: probeLoad(n), steps: []Step{kill(selectOwner)}},
		{name: "lose coordinator", site: n, load: probeLoad(n), steps: []Step{kill(selectCoordinator)}},
		{name: "lose owner and coordinator", site: n, load: probeLoad(n), steps: []Step{kill(selectOwnerAndCoordinator)}},
		{name: "lose owner, platform down", site: n, load: probeLoad(n), steps: []Step{down, kill(selectOwner)}},
		{name: "lose coordinator, platform down", site: n, load: probeLoad(n), steps: []Step{down, kill(selectCoordinator)}},
		{name: "lose both, platform down", site: n, load: probeLoad(n), steps: []Step{down, kill(selectOwnerAndCoordinator)}},
		{naive: true, name: "freeze owner 3 s", site: n, load: probeLoad(n), steps: []Step{freeze(failAt, freezeLength, selectOwner)}},
		{name: "freeze owner 0.7 s", site: n, load: probeLoad(n), steps: []Step{freeze(failAt, shortFreezeLength, selectOwner)}},
		{name: "freeze coordinator 3 s", site: n, load: probeLoad(n), steps: []Step{freeze(failAt, freezeLength, selectCoordinator)}},
		{name: "zone out and in at 42 %", site: l, load: l.loadAt(lightShare, longScenarioLength), steps: []Step{
			operatorCommand(failAt, "zone", "out", zone, "--wait"), operatorCommand(failAt+8*time.Second, "zone", "in", zone, "--wait"),
		}},
		{name: "zone out and in at 70 %", site: l, load: l.loadAt(busyShare, longScenarioLength), steps: []Step{
			operatorCommand(failAt, "zone", "out", zone, "--wait"), operatorCommand(failAt+8*time.Second, "zone", "in", zone, "--wait"),
		}},
		{name: "zone out and in, platform slow", site: l, load: l.loadAt(lightShare, longScenarioLength), steps: []Step{
			platformFaults(time.Second, storekeeper.Faults{SlowMillis: 200}),
			operatorCommand(failAt, "zone", "out", zone, "--wait"), operatorCommand(failAt+8*time.Second, "zone", "in", zone, "--wait"),
		}},
		{naive: true, name: "cold restart", site: l, load: l.loadAt(lightShare, coldScenarioLength), steps: []Step{restartCold(failAt, 1)}},
		{naive: true, name: "no stragglers", site: n, load: n.loadAt(lightShare, coldScenarioLength)},
		{naive: true, name: "stragglers", site: n, load: n.loadAt(lightShare, coldScenarioLength), steps: []Step{slowThird(failAt, "pecas", stragglerSlowdown)}},
		{naive: true, name: "overload 150 %", site: n, load: n.loadAt(overloadShare, probeLength)},
		{name: "rolling restart", site: l, load: l.loadAt(restartShare, 2*longScenarioLength), steps: []Step{rollingRestart(failAt)}},
	}
}

// Bench runs the scenarios whose names start with namePrefix and prints a row for
// each run. With naive, it also runs the naive router where the scenario applies to
// it. It returns an error if a run of papayapass failed the audit.
func Bench(ctx context.Context, out io.Writer, programs Programs, dir, namePrefix string, runs int, naive bool) error {
	fmt.Fprintf(out, "%-34s %7s %9s %7s %7s %6s %7s %8s %8s %8s %5s %6s %6s %6s %7s %7s %6s\n", "scenario", "sent", "answered",
		"notRun", "unknown", "failed", "p50 ms", "p99 ms", "gap p50", "gap max", "over", "imbal", "again", "twice", "notRun!", "owners!", "wrong")
	failed := 0
	for _, s := range Scenarios() {
		if !strings.HasPrefix(s.name, namePrefix) {
			continue
		}
		for run := range runs {
			s.load.seed = uint64(run + 1)
			clean, err := s.run(ctx, out, programs, dir, false)
			if err != nil {
				return err
			}
			if !clean {
				failed++
			}
			if naive && s.naive {
				if _, err := s.run(ctx, out, programs, dir, true); err != nil {
					return err
				}
			}
		}
	}
	if failed > 0 {
		return errors.Newf("%d runs failed the audit", failed)
	}
	return nil
}

// run runs a scenario once, prints its row and reports whether the audit found no
// violation.
func (s Scenario) run(ctx context.Context, out io.Writer, programs Programs, dir string, naive bool) (bool, error) {
	c, err := NewCluster(s.site, programs, dir)
	if err != nil {
		return false, err
	}
	name := s.name
	if naive {
		c.naive = true
		name += " (naive)"
	}
	o, err := Run(ctx, io.Discard, c, s.load, s.steps)
	if err != nil {
		return false, errors.Wrap(err, name)
	}
	o.printRow(out, name)
	o.printDetails(out)
	if !o.findings.Clean() {
		fmt.Fprintln(out, "   ", o.findings.FirstExample)
	}
	return o.findings.Clean(), nil
}

const percent = 100

func (o Outcome) printRow(w io.Writer, name string) {
	t := o.report.Totals()
	over := 0.0
	for _, b := range o.backends {
		over = max(over, b.PeakOverload)
	}
	fmt.Fprintf(w, "%-34s %7d %8.2f%% %7d %7d %6d %7.1f %8.1f %8.0f %8.0f %5.2f %6.2f %5.2f%% %6d %7d %7d %6d\n", name, t.Sent,
		percent*float64(t.Answered)/float64(max(1, t.Sent)), t.NotRun, t.Unknown, t.Failed,
		t.Percentiles.P50Millis, t.Percentiles.P99Millis, o.report.GapP50Millis, o.report.GapMaxMillis, over, o.findings.Imbalance, percent*o.findings.RerunShare,
		o.findings.RanTwice, o.findings.FalseNotRun, o.findings.TwoOwners, o.report.Wrong+o.report.Short)
}

// printDetails prints the latency of each kind, frequent reasons for requests
// without an answer, and overloaded backend servers.
func (o Outcome) printDetails(w io.Writer) {
	if len(o.report.Kinds) > 1 {
		for _, k := range o.report.Kinds {
			fmt.Fprintf(w, "    %s: p50 %.1f, p99 %.1f ms, answered %.2f%%;", k.Kind, k.Percentiles.P50Millis, k.Percentiles.P99Millis,
				percent*float64(k.Answered)/float64(max(1, k.Sent)))
		}
		fmt.Fprintln(w)
	}
	for _, k := range o.report.Kinds {
		for reason, n := range k.Reasons {
			if n > reasonThreshold {
				fmt.Fprintf(w, "    %s: %d x %s\n", k.Kind, n, reason)
			}
		}
	}
	for _, b := range o.backends {
		if b.Overloads > 0 {
			fmt.Fprintf(w, "    %s: given too much %d times, bears %d\n", b.Server, b.Overloads, b.Limit)
		}
	}
}
