package orchestrator

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/standin/internal/auditor"
	"papayapass.dev/standin/internal/loader"
	"papayapass.dev/standin/internal/worker"
)

// Step is an action at a given time of a run.
type Step struct {
	at     time.Duration
	name   string
	action func(ctx context.Context, c *Cluster) error
}

// Outcome is the result of a run.
type Outcome struct {
	report   *loader.Report
	findings auditor.Findings
	backends []worker.Report
}

// Load is the load that callers send during a run.
type Load struct {
	kinds     []loader.Kind
	rate      float64
	length    time.Duration
	keys      int
	uniform   bool
	watchKeys int
	seed      uint64
}

const (
	demoKeys      = 2000
	demoSeed      = 1
	demoWatchKeys = 8
)

// DemoLoad returns the load of the demo.
func DemoLoad(site Site, length time.Duration) Load {
	return Load{kinds: site.kinds, rate: site.rate, length: length, keys: demoKeys, watchKeys: demoWatchKeys, seed: demoSeed}
}

// Run starts a site, sends the load while it runs the steps, stops the site and
// audits the journals.
func Run(ctx context.Context, out io.Writer, c *Cluster, load Load, steps []Step) (Outcome, error) {
	defer c.Stop()
	started := time.Now()
	if err := c.Start(ctx); err != nil {
		return Outcome{}, errors.Wrapf(err, "start site %s, logs are in %s", c.site.name, c.dir)
	}
	fmt.Fprintf(out, "site %s: %d nodes, %d backend servers, ready after %.1f s\n",
		c.site.name, len(c.instances), len(c.instances), time.Since(started).Seconds())
	l := loader.NewLoader(loader.Settings{
		Nodes: c.callerAddresses(), Kinds: load.kinds, Rate: load.rate, Duration: load.length,
		Keys: load.keys, Uniform: load.uniform, WatchKeys: load.watchKeys, Seed: load.seed, NoncePrefix: c.site.name,
	})
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- c.runSteps(ctx, out, steps) }()
	report := l.Run(ctx)
	if err := <-stepsDone; err != nil {
		return Outcome{}, err
	}
	reports := c.backendReports()
	c.Stop()
	executions, err := auditor.ReadJournals(c.dir)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{report: report, findings: auditor.Audit(executions, report.NotRunNonces), backends: reports}, nil
}

func (c *Cluster) runSteps(ctx context.Context, out io.Writer, steps []Step) error {
	started := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.at - time.Since(started)):
		}
		fmt.Fprintf(out, "%5.1f s  %s\n", time.Since(started).Seconds(), s.name)
		if err := s.action(ctx, c); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// DemoSteps returns the steps of the demo: a zone goes out of service and returns,
// then an instance is lost and replaced.
func DemoSteps(site Site) []Step {
	zone := site.zones[1]
	return []Step{
		{at: 5 * time.Second, name: "operators take zone " + zone + " out", action: func(ctx context.Context, c *Cluster) error {
			return c.RunOperatorCommand(ctx, "zone", "out", zone, "--wait")
		}},
		{at: 11 * time.Second, name: "operators take zone " + zone + " back in", action: func(ctx context.Context, c *Cluster) error {
			return c.RunOperatorCommand(ctx, "zone", "in", zone, "--wait")
		}},
		{at: 16 * time.Second, name: "an instance is lost: node and backend server killed", action: func(_ context.Context, c *Cluster) error {
			c.instances[2].node.kill()
			c.instances[2].backend.kill()
			return nil
		}},
		{at: 21 * time.Second, name: "the instance is replaced, its backend server is cold", action: func(_ context.Context, c *Cluster) error {
			return c.startMember(c.instances[2], true)
		}},
	}
}

// Print writes the results of a run. It returns an error if the audit found a
// violation or a response was wrong or short.
func (o Outcome) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests\tsent\tanswered\tnot run\tunknown\tfailed\tp50 ms\tp99 ms\tp99.9 ms\t")
	total := o.report.Totals()
	for _, k := range append(o.report.Kinds, &total) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", k.Kind, k.Sent, k.Answered, k.NotRun, k.Unknown, k.Failed,
			k.Percentiles.P50Millis, k.Percentiles.P99Millis, k.Percentiles.P999Millis)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, k := range o.report.Kinds {
		for reason, n := range k.Reasons {
			fmt.Fprintf(out, "  %s: %d x %s\n", k.Kind, n, reason)
		}
	}
	fmt.Fprintf(out, "longest time without an answer, of the keys watched: median %.0f ms, largest %.0f ms\n",
		o.report.GapP50Millis, o.report.GapMaxMillis)
	fmt.Fprintf(out, "executions %d, wrong answers %d, short answers %d, run twice %d, two owners %d, false \"not run\" %d\n",
		o.findings.Executions, o.report.Wrong, o.report.Short, o.findings.RanTwice, o.findings.TwoOwners, o.findings.FalseNotRun)
	if !o.findings.Clean() || o.report.Wrong+o.report.Short > 0 {
		return errors.Newf("check failed: %s", o.findings.FirstExample)
	}
	return nil
}
