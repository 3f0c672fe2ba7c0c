package limiter

import (
	"slices"

	"papayapass.dev/papayapass/internal/wirepb"
)

// Shares of the classes when all wait: of bulkTurn turns one is bulk's, so that
// it is not starved altogether.
const (
	bulkTurn   = 16
	classCount = 3
)

// Waiter is a call that waits for its turn.
type Waiter struct {
	class    wirepb.Class
	caller   string
	admitted chan error
}

// line holds the waiters of one class: callers take turns, and each caller's
// waiters keep their order.
type line struct {
	callers map[string][]*Waiter
	turns   []string
	length  int
}

func (l *line) push(w *Waiter) {
	if l.callers == nil {
		l.callers = make(map[string][]*Waiter)
	}
	if len(l.callers[w.caller]) == 0 {
		l.turns = append(l.turns, w.caller)
	}
	l.callers[w.caller] = append(l.callers[w.caller], w)
	l.length++
}

func (l *line) pop() *Waiter {
	if len(l.turns) == 0 {
		return nil
	}
	caller := l.turns[0]
	l.turns = l.turns[1:]
	waiters := l.callers[caller]
	w := waiters[0]
	if len(waiters) == 1 {
		delete(l.callers, caller)
	} else {
		l.callers[caller] = waiters[1:]
		l.turns = append(l.turns, caller)
	}
	l.length--
	return w
}

// popGreediest removes the newest waiter of the caller with the most.
func (l *line) popGreediest() *Waiter {
	greediest := ""
	for _, caller := range l.turns {
		if len(l.callers[caller]) > len(l.callers[greediest]) {
			greediest = caller
		}
	}
	waiters := l.callers[greediest]
	if len(waiters) == 0 {
		return nil
	}
	w := waiters[len(waiters)-1]
	l.remove(w)
	return w
}

func (l *line) remove(w *Waiter) bool {
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
	turn := slices.Index(l.turns, w.caller)
	l.turns = slices.Delete(l.turns, turn, turn+1)
	return true
}

// queue orders waiters by class. It is not safe for use by several threads.
type queue struct {
	lines    [classCount]line
	capacity int
	turn     int
}

// order returns the classes in the order of a turn.
func (q *queue) order() [classCount]wirepb.Class {
	q.turn++
	if q.turn%bulkTurn == 0 {
		return [classCount]wirepb.Class{wirepb.Class_CLASS_BULK, wirepb.Class_CLASS_URGENT, wirepb.Class_CLASS_NORMAL}
	}
	return [classCount]wirepb.Class{wirepb.Class_CLASS_URGENT, wirepb.Class_CLASS_NORMAL, wirepb.Class_CLASS_BULK}
}

func (q *queue) length() int {
	total := 0
	for i := range q.lines {
		total += q.lines[i].length
	}
	return total
}

// push adds a waiter. When the queue is full it returns the waiter that has to
// go instead: one of a lower class, or of a greedier caller, or the new one.
func (q *queue) push(w *Waiter) *Waiter {
	q.lines[w.class].push(w)
	if q.length() <= q.capacity {
		return nil
	}
	for _, c := range []wirepb.Class{wirepb.Class_CLASS_BULK, wirepb.Class_CLASS_NORMAL, wirepb.Class_CLASS_URGENT} {
		if victim := q.lines[c].popGreediest(); victim != nil {
			return victim
		}
	}
	return nil
}

func (q *queue) pop() *Waiter {
	if q.length() == 0 {
		return nil
	}
	for _, c := range q.order() {
		if w := q.lines[c].pop(); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *Waiter) bool { return q.lines[w.class].remove(w) }
