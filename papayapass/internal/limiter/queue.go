package limiter

import (
	"slices"

	"papayapass.dev/papayapass/internal/wirepb"
)

// Every bulkTurnInterval-th turn starts with bulk, so that it is not starved.
const (
	bulkTurnInterval = 16
	classCount       = 3
)

// waiter is a queued call.
type waiter struct {
	class    wirepb.Class
	caller   string
	admitted chan error
}

// classQueue holds the waiters of one class: callers take turns, and each
// caller's waiters are first in, first out.
type classQueue struct {
	callers   map[string][]*waiter
	turnOrder []string
	length    int
}

func (c *classQueue) push(w *waiter) {
	if c.callers == nil {
		c.callers = make(map[string][]*waiter)
	}
	if len(c.callers[w.caller]) == 0 {
		c.turnOrder = append(c.turnOrder, w.caller)
	}
	c.callers[w.caller] = append(c.callers[w.caller], w)
	c.length++
}

func (c *classQueue) pop() *waiter {
	if len(c.turnOrder) == 0 {
		return nil
	}
	caller := c.turnOrder[0]
	c.turnOrder = c.turnOrder[1:]
	waiters := c.callers[caller]
	w := waiters[0]
	if len(waiters) == 1 {
		delete(c.callers, caller)
	} else {
		c.callers[caller] = waiters[1:]
		c.turnOrder = append(c.turnOrder, caller)
	}
	c.length--
	return w
}

// popFromLongest removes the newest waiter of the caller with the most waiters.
func (c *classQueue) popFromLongest() *waiter {
	longest := ""
	for _, caller := range c.turnOrder {
		if len(c.callers[caller]) > len(c.callers[longest]) {
			longest = caller
		}
	}
	waiters := c.callers[longest]
	if len(waiters) == 0 {
		return nil
	}
	w := waiters[len(waiters)-1]
	c.remove(w)
	return w
}

func (c *classQueue) remove(w *waiter) bool {
	waiters := c.callers[w.caller]
	i := slices.Index(waiters, w)
	if i < 0 {
		return false
	}
	c.length--
	if len(waiters) > 1 {
		c.callers[w.caller] = slices.Delete(slices.Clone(waiters), i, i+1)
		return true
	}
	delete(c.callers, w.caller)
	turn := slices.Index(c.turnOrder, w.caller)
	c.turnOrder = slices.Delete(c.turnOrder, turn, turn+1)
	return true
}

// queue orders waiters by class. It is not safe for concurrent use.
type queue struct {
	classes  [classCount]classQueue
	capacity int
	turn     int
}

// nextTurn starts a turn and returns the order of its classes.
func (q *queue) nextTurn() [classCount]wirepb.Class {
	q.turn++
	if q.turn%bulkTurnInterval == 0 {
		return [classCount]wirepb.Class{wirepb.Class_CLASS_BULK, wirepb.Class_CLASS_URGENT, wirepb.Class_CLASS_NORMAL}
	}
	return [classCount]wirepb.Class{wirepb.Class_CLASS_URGENT, wirepb.Class_CLASS_NORMAL, wirepb.Class_CLASS_BULK}
}

func (q *queue) length() int {
	total := 0
	for i := range q.classes {
		total += q.classes[i].length
	}
	return total
}

// push adds a waiter. If the queue is full, it removes and returns the newest
// waiter of the lowest waiting class, from the caller with the most waiters;
// that may be the new one.
func (q *queue) push(w *waiter) *waiter {
	q.classes[w.class].push(w)
	if q.length() <= q.capacity {
		return nil
	}
	for _, c := range []wirepb.Class{wirepb.Class_CLASS_BULK, wirepb.Class_CLASS_NORMAL, wirepb.Class_CLASS_URGENT} {
		if dropped := q.classes[c].popFromLongest(); dropped != nil {
			return dropped
		}
	}
	return nil
}

func (q *queue) pop() *waiter {
	if q.length() == 0 {
		return nil
	}
	for _, c := range q.nextTurn() {
		if w := q.classes[c].pop(); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) bool { return q.classes[w.class].remove(w) }
