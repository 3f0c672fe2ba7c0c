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

// popFromLongest removes the newest waiter of the caller with the most waiters.
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

// queue orders waiters by class. It is not safe for concurrent use.
type queue struct {
	classes  [classCount]classQueue
	capacity int
	turn     int
}

// order returns the order of the classes for the next turn.
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
	for _, c := range q.order() {
		if w := q.classes[c].pop(); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) bool { return q.classes[w.class].remove(w) }
