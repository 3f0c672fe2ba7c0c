package orchestrator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/standin/internal/storekeeper"
	"papayapass.dev/standin/internal/worker"
)

// Programs holds the paths of the two programs.
type Programs struct {
	// Papayapass is the path of papayapass: the node and the operator's commands.
	Papayapass string
	// Standin is the path of this program.
	Standin string
}

// Cluster holds the processes of a site.
type Cluster struct {
	site      Site
	programs  Programs
	dir       string
	platform  *process
	instances []*member
	coldStart bool
	naive     bool
}

// member is an instance with its node and backend server processes.
type member struct {
	instance
	node    *process
	backend *process
	starts  int
}

// NewCluster returns the cluster of a site. It empties the directory for logs and
// journals; Start starts the processes.
func NewCluster(site Site, programs Programs, dir string) (*Cluster, error) {
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, err
	}
	c := &Cluster{site: site, programs: programs, dir: dir}
	for _, i := range site.instances() {
		c.instances = append(c.instances, &member{instance: i})
	}
	return c, nil
}

// Start starts all processes, waits until the site is ready and applies the site's
// rules. Naive routers have no rules: their site is ready when all backend servers
// respond.
func (c *Cluster) Start(ctx context.Context) error {
	var err error
	c.platform, err = startProcess(c.filePath("platform.log"), c.programs.Standin, "platform", "--listen", platformAddress)
	if err != nil {
		return err
	}
	if err := c.waitPlatform(ctx); err != nil {
		return err
	}
	for _, m := range c.instances {
		if err := c.startMember(m, false); err != nil {
			return err
		}
	}
	if c.naive {
		return c.waitNaive(ctx)
	}
	if err := c.waitReady(ctx, len(c.instances)); err != nil {
		return err
	}
	return c.RunOperatorCommand(ctx, "rules", "apply", c.site.rulesFile, "--wait")
}

func (c *Cluster) filePath(name string) string { return filepath.Join(c.dir, name) }

// RunOperatorCommand runs a papayapass command as an operator and waits for it.
func (c *Cluster) RunOperatorCommand(_ context.Context, args ...string) error {
	args = append(args, "--platform", platformAddress, "--node", c.instances[len(c.instances)-1].status, "--author", "demo")
	p, err := startProcess(c.filePath("operator.log"), c.programs.Papayapass, args...)
	if err != nil {
		return err
	}
	<-p.done
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("papayapass %v exited with code %d, see %s", args, code, c.filePath("operator.log"))
	}
	return nil
}

func (c *Cluster) startMember(m *member, cold bool) error {
	if err := c.startBackend(m, cold); err != nil {
		return err
	}
	return c.startNode(m)
}

func (c *Cluster) startBackend(m *member, cold bool) error {
	m.starts++
	var err error
	m.backend, err = startProcess(c.filePath("backend-"+m.id+".log"), c.programs.Standin, "backend",
		"--name", m.id, "--pool", m.pool.name, "--zone", m.zone, "--listen", m.backendAddress(), "--announce", m.status,
		"--slots", strconv.Itoa(m.pool.slots), "--connections", strconv.Itoa(m.pool.connections),
		"--divided="+strconv.FormatBool(m.pool.divided), "--checks-tokens="+strconv.FormatBool(m.pool.divided && c.site.serviceTime > 0 && !c.naive),
		"--cold="+strconv.FormatBool(cold || c.coldStart), "--service-time", c.site.serviceTime.String(),
		"--journal", c.journal(m), "--seed", strconv.Itoa(m.starts),
	)
	return err
}

// journal returns the name of the file for a backend server's executions, or ""
// when the site measures speed only.
func (c *Cluster) journal(m *member) string {
	if c.site.serviceTime == 0 {
		return ""
	}
	return c.filePath(fmt.Sprintf("journal-%s-%d.jsonl", m.id, m.starts))
}

func (m *member) backendAddress() string { return m.instance.backend }

func (c *Cluster) startNode(m *member) error {
	if c.naive {
		return c.startNaive(m)
	}
	settings := c.filePath("node-" + m.id + ".toml")
	text := fmt.Sprintf(`[node]
id = %q
zone = %q

[listen]
callers = %q
peers = %q
status = %q

[platform]
address = %q

[cell]
name = %q
seeds = [%q, %q]

[limits]
queueTime = %q
`, m.id, m.zone, m.callers, m.peers, m.status, platformAddress, c.site.name,
		c.instances[0].peers, c.instances[1].peers, c.site.queueTime.String())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	m.node, err = startProcess(c.filePath("node-"+m.id+".log"), c.programs.Papayapass, "run", "--settings", settings)
	return err
}

// Times for waiting until a site is ready; callTimeout bounds each HTTP call.
const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 100 * time.Millisecond
	callTimeout       = time.Second
)

func (c *Cluster) waitPlatform(ctx context.Context) error {
	return poll(ctx, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+platformAddress+storekeeper.CountsPath, callTimeout)
		return err == nil && status == fasthttp.StatusOK
	})
}

func poll(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("the site did not become ready")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Status is the part of a node's status that the orchestrator uses.
type Status struct {
	Coordinator   string       `json:"coordinator"`
	IsCoordinator bool         `json:"coordinates"`
	Nodes         []NodeStatus `json:"nodes"`
	Pools         []PoolStatus `json:"pools"`
	Moves         []struct{}   `json:"moves"`
}

// NodeStatus is the entry of one node in a status.
type NodeStatus struct {
	Node   string `json:"node"`
	Server string `json:"server"`
	Lost   bool   `json:"lost"`
	Slices int    `json:"slices"`
	Voter  bool   `json:"voter"`
}

// PoolStatus is the entry of one divided pool in a status.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Slices  int    `json:"slices"`
	Unowned int    `json:"unowned"`
	Moving  int    `json:"moving"`
}

func (c *Cluster) status(m *member) (Status, error) {
	var s Status
	code, body, err := fasthttp.GetTimeout(nil, "http://"+m.status+"/v1/status", callTimeout)
	if err != nil {
		return s, err
	}
	if code != fasthttp.StatusOK {
		return s, errors.Newf("status %d", code)
	}
	return s, json.Unmarshal(body, &s)
}

// waitReady waits until each node's status shows at least the given number of
// voters that are not lost and have a backend server up, no unowned slice and no
// move.
func (c *Cluster) waitReady(ctx context.Context, servers int) error {
	return poll(ctx, func() bool {
		for _, m := range c.instances {
			if !c.isReady(m, servers) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) isReady(m *member, servers int) bool {
	s, err := c.status(m)
	if err != nil || len(s.Pools) == 0 {
		return false
	}
	up := 0
	for _, n := range s.Nodes {
		if n.Server == "up" && !n.Lost && n.Voter {
			up++
		}
	}
	for _, p := range s.Pools {
		if p.Unowned+p.Moving > 0 {
			return false
		}
	}
	return up >= servers
}

// coordinator returns the member whose node is the coordinator.
func (c *Cluster) coordinator() (*member, error) {
	for _, m := range c.instances {
		if s, err := c.status(m); err == nil && s.IsCoordinator {
			return m, nil
		}
	}
	return nil, errors.New("no node is coordinator")
}

// SetPlatformFaults replaces the faults injected into the platform.
func (c *Cluster) SetPlatformFaults(f storekeeper.Faults) error {
	return post("http://"+platformAddress+storekeeper.FaultsPath, f)
}

// SendControl sends a control command to a backend server.
func (c *Cluster) SendControl(m *member, control worker.Control) error {
	return post("http://"+m.backendAddress()+worker.ControlPath, control)
}

func post(uri string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose()
	req.SetBody(body)
	return fasthttp.DoTimeout(req, resp, callTimeout)
}

// Stop kills all processes.
func (c *Cluster) Stop() {
	for _, m := range c.instances {
		if m.node != nil {
			m.node.kill()
		}
		if m.backend != nil {
			m.backend.kill()
		}
	}
	if c.platform != nil {
		c.platform.kill()
	}
}

// backendReports returns the reports of the backend servers that respond.
func (c *Cluster) backendReports() []worker.Report {
	var out []worker.Report
	for _, m := range c.instances {
		var r worker.Report
		code, body, err := fasthttp.GetTimeout(nil, "http://"+m.backendAddress()+worker.ReportPath, callTimeout)
		if err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &r) == nil {
			r.Server = m.id
			out = append(out, r)
		}
	}
	return out
}

func (c *Cluster) callerAddresses() []string {
	var out []string
	for _, m := range c.instances {
		out = append(out, m.callers)
	}
	return out
}
