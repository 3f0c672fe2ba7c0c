package sizer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strconv"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/tracker"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/hasher"
)

const (
	measureDuration = 60 * time.Second
	failoverLimit   = 8 * time.Second
	kilo            = 1000.0
	lookupCount     = 2_000_000
	keyCount        = 10_000_000
	fleetNodes      = 1500
	nodeSlices      = 16
)

// Report measures the control-plane costs of cells, tables and keys, and prints them.
func Report(out io.Writer) error {
	if err := reportCells(out); err != nil {
		return err
	}
	if err := reportTables(out); err != nil {
		return err
	}
	reportKeys(out)
	return nil
}

func reportCells(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes in cell\tcoordinator msg/s\tKB/s\tCPU ms/s\tnode msg/s\tKB/s\tCPU ms/s\tloss: coordinator KB\tloss: time ms\tloss: writes\t")
	var bytes, cpuTimes, loss []Point
	for _, size := range []int{4, 8, 12, 15, 24, 32, 48, 64} {
		c := NewCell(size)
		coordinatorCost, nodeCost := c.Measure(measureDuration)
		lostBytes, took, writes := c.FailNode(failoverLimit)
		fmt.Fprintf(w, "%d\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%d\t\n", size, coordinatorCost.Messages, coordinatorCost.Bytes/kilo, millis(coordinatorCost.CPUTime),
			nodeCost.Messages, nodeCost.Bytes/kilo, millis(nodeCost.CPUTime), float64(lostBytes)/kilo, took.Milliseconds(), writes)
		bytes = append(bytes, Point{Size: float64(size), Value: coordinatorCost.Bytes / kilo})
		cpuTimes = append(cpuTimes, Point{Size: float64(size), Value: millis(coordinatorCost.CPUTime)})
		loss = append(loss, Point{Size: float64(size), Value: float64(lostBytes) / kilo})
	}
	if err := w.Flush(); err != nil {
		return err
	}
	printFit(out, "coordinator KB/s by nodes", Fit(bytes))
	printFit(out, "coordinator CPU ms/s by nodes", Fit(cpuTimes))
	printFit(out, "loss, coordinator KB by nodes", Fit(loss))
	return nil
}

func printFit(out io.Writer, name string, l Line) {
	fmt.Fprintf(out, "fit: %s = %.4g + %.4g x, R2 %.3f\n", name, l.Intercept, l.Slope, l.R2)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// tableOf returns an ownership table with a number of nodes and slices, without
// running a cell.
func tableOf(nodes, slices int) *assigner.Table {
	m := &wirepb.Table{Format: assigner.FormatVersion, Cell: "fleet", Epoch: 1, Version: 1, Coordinator: "permits-0"}
	for i := range nodes {
		id := "permits-" + strconv.Itoa(i)
		m.Voters = append(m.Voters, id)
		m.Members = append(m.Members, &wirepb.Member{
			Node: id, Address: "10.0.0.1:7001", StatusAddress: "10.0.0.1:7002", Zone: "z" + strconv.Itoa(i%3), Incarnation: uint64(i),
			Server: &wirepb.Server{State: wirepb.ServerState_SERVER_STATE_UP, Pool: "permits", Slots: 20, Allowance: 20, Divided: true},
		})
	}
	p := &wirepb.Pool{Name: "permits"}
	step := ^uint64(0)/uint64(slices) + 1
	for i := range slices {
		p.Slices = append(p.Slices, &wirepb.Slice{
			Start: uint64(i) * step, Owner: "permits-" + strconv.Itoa(i%nodes), Standby: "permits-" + strconv.Itoa((i+1)%nodes), Token: uint64(i) << 24,
		})
	}
	m.Pools = []*wirepb.Pool{p}
	return assigner.Decode(m)
}

func reportTables(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tslices\ttable on the wire KB\tobject in the platform KB\tmemory KB\tlookup ns\t")
	for _, size := range []struct{ nodes, slices int }{{9, 128}, {15, 256}, {15, 1024}, {64, 1024}, {64, 4096}, {fleetNodes, fleetNodes * nodeSlices}} {
		before := heapBytes()
		t := tableOf(size.nodes, size.slices)
		memory := heapBytes() - before
		wire := proto.Size(assigner.Encode(t))
		object, err := protojson.Marshal(assigner.Encode(t))
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t\n", size.nodes, size.slices,
			float64(wire)/kilo, float64(len(object))/kilo, float64(memory)/kilo, lookupNanos(t))
		runtime.KeepAlive(t)
	}
	return w.Flush()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func lookupNanos(t *assigner.Table) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	for range lookupCount {
		if _, ok := t.Lookup("permits", random.Uint64()); !ok {
			return 0
		}
	}
	return float64(time.Since(start).Nanoseconds()) / lookupCount
}

// reportKeys passes distinct keys through the tracker of a node and prints how much
// the heap grows.
func reportKeys(out io.Writer) {
	t := tableOf(1, nodeSlices)
	requests := tracker.NewTracker(func() {})
	before := heapBytes()
	for i := range keyCount {
		s, _ := t.Lookup("permits", hasher.KeyString("permit-"+strconv.Itoa(i)))
		keyRange := tracker.NewRange("permits", s.Start(), t.Last("permits", s.Start()))
		if requests.Enter(keyRange, s.Start(), s.Token()+1) {
			requests.Leave(keyRange)
		}
		if i == keyCount/kilo || i == keyCount/10 || i == keyCount-1 {
			fmt.Fprintf(out, "memory after %d distinct keys: %+.1f KB\n", i+1, float64(heapBytes()-before)/kilo)
		}
	}
	runtime.KeepAlive(requests)
}
