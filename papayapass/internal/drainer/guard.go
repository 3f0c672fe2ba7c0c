package drainer

import (
	"time"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/shedder"
)

const (
	// connectionBytes is the memory of a connection: stacks, buffers, a small request.
	connectionBytes = 20 << 10
	// fieldBytes is the memory of a header line beside its bytes, with the copies that are made of it.
	fieldBytes = 256
	// headCopies is how many copies of the bytes of a head are kept at a time.
	headCopies = 2
	// headSlack is how much larger than its limit a head may be; the limit may not count the request line.
	headSlack = 4 << 10
	// lowWater is the part of a budget that is left in use when connections are shed.
	lowWater = 0.75
)

// Guard limits what the connections of a listener hold.
type Guard struct {
	// Memory is for connections and heads.
	Memory *budgeter.Budget
	// Bodies is the budget that bodies of requests on the connections are taken from.
	Bodies *budgeter.Budget
	// Raised is for the receive buffers of large bodies; nil leaves them as they are.
	Raised *budgeter.Budget
	// Unsent is what the kernel may take for answers that clients have not read.
	Unsent *SendBudget
	// MaxConnections is the largest number of connections.
	MaxConnections int
	// Limits returns the limits in force.
	Limits func() shedder.Limits
	// Count counts refusals and closed connections.
	Count func(shedder.Reason)
}

// Limit makes a guard limit the connections. It is called before Serve.
func (d *Drainer) Limit(g *Guard) { d.guard = g }

// admit takes a new connection into account and reports whether there is room for it.
func (d *Drainer) admit(c *conn) bool {
	if d.guard == nil {
		return true
	}
	c.guard = d.guard
	if d.guard.Raised != nil {
		c.raised = d.guard.Raised.Lease()
	}
	c.own, c.head, c.unsent = d.guard.Memory.Lease(), d.guard.Memory.Lease(), newSendQueue(d.guard.Unsent, c.Conn)
	if d.open.Add(1) > int64(d.guard.MaxConnections) {
		d.open.Add(-1)
		d.full.Store(true)
		d.crowded.Store(true)
		d.guard.Count(shedder.ReasonConns)
		return false
	}
	if err := c.own.Take(connectionBytes); err != nil { // counted, and logged from the counts
		d.open.Add(-1)
		d.guard.Count(shedder.ReasonMemory)
		return false
	}
	return true
}

// release ends the account of a connection.
func (d *Drainer) release(c *conn) {
	if c.guard == nil {
		return
	}
	d.open.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.Close()
	c.head.Close()
	c.raised.Close()
	c.unsent.close()
	c.guard.Unsent.signal()
}

// linger is the state of a connection whose client reads the rest of its answer.
type linger struct {
	left   int64
	waited time.Duration
}

// lingerTimeout is how long a client may read nothing of the rest of an answer.
const lingerTimeout = 10 * time.Second

// shortLinger is the same while memory or descriptors are short.
const shortLinger = time.Second

// closed handles a connection that the server has closed. The caller holds d.mu.
func (d *Drainer) closed(c *conn) {
	if c.guard == nil {
		return
	}
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		d.lingering[c] = linger{left: c.unsent.left()}
		return
	}
	d.release(c)
}

// sweepLingering closes connections whose clients have read their answers, or read no more of them. The
// caller holds d.mu.
func (d *Drainer) sweepLingering(elapsed time.Duration, short bool) {
	limit := lingerTimeout
	if short {
		limit = shortLinger
	}
	for c, l := range d.lingering {
		left := c.unsent.left()
		if l.waited += elapsed; left < l.left {
			l = linger{left: left}
		}
		d.lingering[c] = l
		if left > 0 && l.waited < limit {
			continue
		}
		delete(d.lingering, c)
		_ = c.drop(left) // nothing more is expected of it
		d.release(c)
	}
}

// Sweep closes connections that exceed a time limit, and if memory or descriptors were short since
// the last call, those that shedder.Choose names. It is called at intervals.
func (d *Drainer) Sweep(elapsed time.Duration) {
	if d.guard == nil {
		return
	}
	limits := d.guard.Limits()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.unsent.measure()
		r := c.snapshot()
		if reason := c.watch.Observe(r, elapsed, limits); reason != shedder.ReasonNone {
			c.end(r, reason)
		}
	}
	if !d.isFull() {
		d.crowded.Store(false)
	}
	if d.full.Swap(false) {
		d.shed(int64((1-lowWater)*float64(d.guard.MaxConnections)), func(*conn) int64 { return 1 })
	}
	if d.guard.Memory.TakeRefusals() > 0 {
		d.crowded.Store(true)
		d.shed(excess(d.guard.Memory), (*conn).heldOwn)
	}
	if d.guard.Bodies != nil && d.guard.Bodies.TakeRefusals() > 0 {
		d.shed(excess(d.guard.Bodies), (*conn).heldBody)
	}
	short := d.guard.Unsent.budget.TakeRefusals() > 0
	d.sweepLingering(elapsed, short || d.isFull())
	if short {
		d.shed(excess(d.guard.Unsent.budget), func(c *conn) int64 { return c.unsent.held() })
	}
	d.guard.Unsent.signal()
}

// isFull reports whether less is free than a sweep sets free.
func (d *Drainer) isFull() bool {
	return d.open.Load() > int64(lowWater*float64(d.guard.MaxConnections)) || excess(d.guard.Memory) > 0
}

// isCrowded reports whether connections close after their responses, so that others get a turn: a crowd
// whose requests run and whose answers are read cannot be shed.
func (d *Drainer) isCrowded() bool { return d.guard != nil && d.crowded.Load() && d.isFull() }

// excess returns how much of a budget in use is to be set free.
func excess(b *budgeter.Budget) int64 { return b.Used() - int64(lowWater*float64(b.Limit())) }

// shed closes connections until need of what held returns is set free. The caller holds d.mu.
func (d *Drainer) shed(need int64, held func(*conn) int64) {
	var conns []*conn
	var readings []shedder.Reading
	var list []shedder.Candidate
	for c := range d.conns {
		r := c.snapshot()
		conns, readings = append(conns, c), append(readings, r)
		list = append(list, shedder.Candidate{
			Phase: r.Phase, Served: r.Request > 0, Held: held(c), Moved: c.watch.Moved(r), Waited: c.watch.Waited(r),
		})
	}
	for _, i := range shedder.Choose(list, need) {
		conns[i].end(readings[i], shedder.ReasonShed)
	}
}
