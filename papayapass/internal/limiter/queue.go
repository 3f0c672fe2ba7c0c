package limiter

import (
	"slices"

	"papayapass.dev/papayapass/internal/wirepb"
)

// Shares of the classes when all wait: of bulkTurnInterval turns one is bulk's, so that
// it is not starved altogether.
const (
	bulkTurnInterval = 16
	classCount       = 3
)

// waiter is a call that waits for its turn.
type waiter struct {
	class    wirepb.Class
	caller   string
	admitted chan error
}

// classQueue holds the waiters of one class: callers take turns, and each caller's
// waiters keep their order.
type classQueue struct {
	callers   map[string][]*waiter
	turnOrder []string
	length    int
}

func (l *classQueue) push(w *waiter) {
	if l.callers == nil {
		l.callers = make(map[string][]*waiter)
	}
	if len(l.callers[w.caller]) == 0 {
		l.turnOrder = append(l.turnOrder, w.caller)
	}
	l.callers[w.caller] = append(l.callers[w.caller], w)
	l.length++
}

func (l *classQueue) pop() *waiter {
	if len(l.turnOrder) == 0 {
		return nil
	}
	caller := l.turnOrder[0]
	l.turnOrder = l.turnOrder[1:]
	waiters := l.callers[caller]
	w := waiters[0]
	if len(waiters) == 1 {
		delete(l.callers, caller)
	} else {
		l.callers[caller] = waiters[1:]
		l.turnOrder = append(l.turnOrder, caller)
	}
	l.length--
	return w
}

// popFromLongest removes the newest waiter of the caller with the most.
func (l *classQueue) popFromLongest() *waiter {
	longest := ""
	for _, caller := range l.turnOrder {
		if len(l.callers[caller]) > len(l.callers[longest]) {
			longest = caller
		}
	}
	waiters := l.callers[longest]
	if len(waiters) == 0 {
		return nil
	}
	w := waiters[len(waiters)-1]
	l.remove(w)
	return w
}

func (l *classQueue) remove(w *waiter) bool {
	waiters := l.callers[w.caller]
	i := slices.Index(waiters, w)
	if i < 0 {
		return false
	}
	l.length--
	if len(waiters) > 1 {
		l.callers[w.caller] = slices.Delete(slices.Clone(waiters), i, i+1)
		return true
	}
	delete(l.callers, w.caller)
	turn := slices.Index(l.turnOrder, w.caller)
	l.turnOrder = slices.Delete(l.turnOrder, turn, turn+1)
	return true
}

// queue orders waiters by class. It is not safe for use by several threads.
type queue struct {
	classes  [classCount]classQueue
	capacity int
	turn     int
}

// order returns the classes in the order of a turn.
func (q *queue) order() [classCount]wirepb.Class {
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

// push adds a waiter. When the queue is full it returns the waiter that has to
// go instead: one of a lower class, or of a greedier caller, or the new one.
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
	for _, c := range q.order() {
		if w := q.classes[c].pop(); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) bool { return q.classes[w.class].remove(w) }
