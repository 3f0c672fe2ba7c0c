package dispatcher

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
)

// queueWaits holds the expected waits of the servers that had no free slot.
type queueWaits struct {
	tries int
	waits map[partitioner.NodeID]time.Duration
	// rejected counts the servers that rejected the request from their queue.
	rejected int
}

func (q *queueWaits) add(id partitioner.NodeID, wait time.Duration) {
	if q.waits == nil {
		q.waits = make(map[partitioner.NodeID]time.Duration)
	}
	q.tries++
	q.waits[id] = wait
}

// shortest removes and returns the server with the shortest wait, once enough servers were
// tried or none is left to try.
func (q *queueWaits) shortest(noneLeft bool) (partitioner.NodeID, bool) {
	if len(q.waits) == 0 || (q.tries < freeSlotTries && !noneLeft) {
		return "", false
	}
	var best partitioner.NodeID
	for id, wait := range q.waits {
		if best == "" || wait < q.waits[best] {
			best = id
		}
	}
	delete(q.waits, best)
	return best, true
}
