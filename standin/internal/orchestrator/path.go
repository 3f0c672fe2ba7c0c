package orchestrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/standin/internal/loader"
	"papayapass.dev/standin/internal/worker"
)

// Parameters of MeasurePath.
const (
	pathSlots           = 400
	pathConnections     = 500
	pathLength          = 2 * time.Second
	clockTicksPerSecond = 100
	kibPerMiB           = 1024
)

// pathSite returns a site of two nodes whose backend servers respond immediately.
func pathSite() Site {
	return Site{
		name:      "path",
		zones:     []string{"a", "b", "c"},
		pools:     []Pool{{name: "permits", servers: 2, slots: pathSlots, connections: pathConnections, divided: true}},
		rulesFile: "rules/luzon.rules",
		kinds:     []loader.Kind{loader.NewKind("permit status", 1, "GET", "/permits/", "", "permit")},
		queueTime: 2 * time.Second,
	}
}

// pathResult is the measurement of one path to the backend server.
type pathResult struct {
	rate                float64
	p50Micros           float64
	p99Micros           float64
	cpuMicrosPerRequest float64
	failed              int
}

// MeasurePath measures throughput and latency of direct calls, of calls through the
// owner's node and of calls through another node, in one run.
func MeasurePath(ctx context.Context, out io.Writer, programs Programs, dir string) error {
	c, err := NewCluster(pathSite(), programs, dir)
	if err != nil {
		return err
	}
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		return err
	}
	idle := c.residentMiB(0)
	owner, other := c.instances[0], c.instances[1]
	keys, err := c.keysOf(owner)
	if err != nil {
		return err
	}
	paths := []struct{ name, address string }{
		{"direct", owner.backendAddress()}, {"one hop", owner.callers}, {"two hops", other.callers},
	}
	fmt.Fprintf(out, "%-10s %11s %10s %8s %8s %22s %7s\n", "way", "connections", "requests/s", "p50 us", "p99 us", "owner's node CPU us/rq", "failed")
	for _, connections := range []int{1, 16, 64, 256} {
		for _, path := range paths {
			r := c.measureLoad(path.address, keys, connections)
			fmt.Fprintf(out, "%-10s %11d %10.0f %8.0f %8.0f %22.1f %7d\n", path.name, connections, r.rate, r.p50Micros, r.p99Micros, r.cpuMicrosPerRequest, r.failed)
		}
	}
	fmt.Fprintf(out, "resident memory of an idle node %.1f MiB, after the load %.1f MiB\n", idle, c.residentMiB(0))
	return nil
}

// keysOf returns keys that a member owns.
func (c *Cluster) keysOf(m *member) ([]string, error) {
	const wanted = 64
	var out []string
	for i := 0; len(out) < wanted && i < wanted*wanted; i++ {
		key := "permit-" + strconv.Itoa(i)
		code, body, err := fasthttp.GetTimeout(nil, "http://"+m.status+"/v1/owner?pool=permits&key="+key, callTimeout)
		if err != nil || code != fasthttp.StatusOK {
			return nil, errors.Newf("look up the owner of a key: status %d, %v", code, err)
		}
		if strings.Contains(string(body), `"owner":"`+m.id+`"`) {
			out = append(out, key)
		}
	}
	return out, nil
}

// measureLoad measures requests over the given number of connections. Each
// connection sends a request after the response to the one before (closed loop).
func (c *Cluster) measureLoad(address string, keys []string, connections int) pathResult {
	client := &fasthttp.HostClient{Addr: address, MaxConns: connections, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var work sync.WaitGroup
	failed, total := 0, 0
	cpu := c.cpuTime(0)
	started := time.Now()
	for i := range connections {
		work.Add(1)
		go func() {
			defer work.Done()
			latencies, errored := runConnection(client, address, keys, i, started.Add(pathLength))
			mu.Lock()
			defer mu.Unlock()
			failed += errored
			total += len(latencies)
			for _, l := range latencies {
				_ = histogram.RecordValue(l.Microseconds())
			}
		}()
	}
	work.Wait()
	elapsed := time.Since(started)
	cpu = c.cpuTime(0) - cpu
	return pathResult{
		rate: float64(total) / elapsed.Seconds(), failed: failed,
		p50Micros: float64(histogram.ValueAtQuantile(50)), p99Micros: float64(histogram.ValueAtQuantile(99)), //nolint:mnd // percentiles
		cpuMicrosPerRequest: float64(cpu.Microseconds()) / float64(max(1, total)),
	}
}

func runConnection(client *fasthttp.HostClient, address string, keys []string, firstKey int, end time.Time) ([]time.Duration, int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var latencies []time.Duration
	failed := 0
	for i := firstKey; time.Now().Before(end); i++ {
		key := keys[i%len(keys)]
		req.SetRequestURI("http://" + address + "/permits/" + key)
		req.Header.Set(worker.HeaderKey, key)
		started := time.Now()
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			failed++
			continue
		}
		latencies = append(latencies, time.Since(started))
	}
	return latencies, failed
}

// cpuTime returns the CPU time that an instance's node has used so far.
func (c *Cluster) cpuTime(i int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.instances[i].node.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const user, system = 11, 12 // indexes of utime and stime after the command name
	ticks := 0
	for _, f := range []int{user, system} {
		n, _ := strconv.Atoi(fields[f]) // the field is always a number
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// residentMiB returns the resident memory of an instance's node, in MiB.
func (c *Cluster) residentMiB(i int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.instances[i].node.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0]) // the field is always a number
			return float64(kib) / kibPerMiB
		}
	}
	return 0
}
