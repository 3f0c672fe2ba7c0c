package overseer_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

const (
	beatInterval = 870 * time.Millisecond
	// releaseBeatInterval is the interval while a server releases keys.
	releaseBeatInterval = 100 * time.Millisecond
	// acceptWindow is how long after a heartbeat a server accepts its response.
	acceptWindow = time.Second
)

// beatServer simulates a backend server that lists its keys in heartbeats and gets them in
// the responses. Heartbeats overlap while it releases keys.
type beatServer struct {
	sequence    int64
	lastApplied int64
	nextBeat    time.Duration
	tokens      [sampleCount]uint64
	rows        []heldRow
	freed       []freedRow
	inFlight    []*beat
}

// heldRow is a range of keys that the server holds, or still works on.
type heldRow struct {
	descriptor.HeldRange

	until, workUntil time.Duration
	isReleasing      bool
}

type freedRow struct {
	descriptor.ReleasedRange

	reportedIn int64
}

// beat is a heartbeat or, once answered, the response to it.
type beat struct {
	sequence int64
	sent     time.Duration
	arrives  time.Duration
	keys     descriptor.KeyListing
	answered bool
	grants   *descriptor.KeyGrants
}

// newServer returns the next start of the backend server beside a node. Every second one has a
// new id.
func (w *world) newServer(node partitioner.NodeID, starts int64) *server {
	s := &server{id: fmt.Sprintf("%s-s%d", node, starts/2), starts: starts}
	if w.method == descriptor.GrantByHeartbeat {
		s.beats = &beatServer{nextBeat: w.now + time.Duration(w.r.Int64N(int64(beatInterval)))}
	}
	return s
}

// token returns the token of a key that the server holds. A key on which it still works
// counts until its hold ends.
func (s *beatServer) token(key uint16, now time.Duration) (uint64, bool) {
	for _, h := range s.rows {
		if h.First <= key && key <= h.Last && now < h.until && (!h.isReleasing || now < h.workUntil) {
			return h.Token, true
		}
	}
	return 0, false
}

// runBeats runs one step of the server beside a node.
func (w *world) runBeats(m *member) {
	s := m.server.beats
	releasing := false
	var rows []heldRow
	for _, h := range s.rows {
		switch {
		case w.now >= h.until: // work in progress fails
			continue
		case h.isReleasing && w.now >= h.workUntil:
			s.freed = append(s.freed, freedRow{ReleasedRange: descriptor.ReleasedRange{
				First: h.First, Last: h.Last, Handover: fmt.Sprintf("%d-%d", w.now, h.First),
			}})
			continue
		case h.isReleasing:
			releasing = true
		case w.r.IntN(50) == 0:
			h.workUntil = w.now + time.Duration(w.r.IntN(1500))*time.Millisecond
		}
		rows = append(rows, h)
	}
	s.rows = rows
	if w.now >= s.nextBeat {
		s.nextBeat = w.now + beatInterval
		s.send(w)
	}
	if releasing {
		s.nextBeat = min(s.nextBeat, w.now+releaseBeatInterval)
	}
	var later []*beat
	for _, b := range s.inFlight {
		switch {
		case w.now < b.arrives:
			later = append(later, b)
		case b.answered:
			s.apply(w, m.server, b)
		case w.now < m.pausedUntil:
			later = append(later, b)
		default:
			later = append(later, w.answer(m, b)...)
		}
	}
	s.inFlight = later
}

// send sends a heartbeat. During losses it may arrive late.
func (s *beatServer) send(w *world) {
	s.sequence++
	b := &beat{sequence: s.sequence, sent: w.now, arrives: w.now}
	if w.losesCalls() && w.r.IntN(3) == 0 {
		b.arrives += time.Duration(w.r.IntN(3000)) * time.Millisecond
	}
	for _, h := range s.rows {
		b.keys.Held = append(b.keys.Held, h.HeldRange)
	}
	slices.SortFunc(b.keys.Held, func(x, y descriptor.HeldRange) int { return cmp.Compare(x.First, y.First) })
	for i := range s.freed {
		s.freed[i].reportedIn = s.sequence
		b.keys.Released = append(b.keys.Released, s.freed[i].ReleasedRange)
	}
	s.inFlight = append(s.inFlight, b)
}

// answer handles a heartbeat at the node and returns the response, unless it is lost.
func (w *world) answer(m *member, b *beat) []*beat {
	r := m.granter.HandleHeartbeat(b.sequence, &b.keys, w.clock(m))
	b.answered, b.grants, b.arrives = true, r.Reply.Grants, w.now+time.Duration(w.r.IntN(3))*worldStep
	if w.losesCalls() && w.r.IntN(3) == 0 {
		if w.r.IntN(2) == 0 {
			return nil
		}
		b.arrives = w.now + time.Duration(w.r.IntN(1500))*time.Millisecond
	}
	return []*beat{b}
}

// apply applies a response unless it is late or older than another one.
func (s *beatServer) apply(w *world, start *server, b *beat) {
	if w.now-b.sent > acceptWindow || b.sequence < s.lastApplied {
		return
	}
	s.lastApplied = b.sequence
	var kept []freedRow
	for _, f := range s.freed {
		if f.reportedIn != b.sequence {
			kept = append(kept, f)
		}
	}
	s.freed = kept
	if b.grants == nil {
		return
	}
	var rows []heldRow
	for _, r := range b.grants.Ranges {
		row := heldRow{HeldRange: descriptor.HeldRange{First: r.First, Last: r.Last, Token: r.Token}}
		row.until = b.sent + b.grants.Hold + b.grants.Hold/50 // the server's clock runs 2 % slow
		if s.sawHigher(row) {
			continue
		}
		for i := range sampleCount {
			if k := sampleKey(i); r.First <= k && k <= r.Last {
				w.checkToken(start, i, s.tokens[i], r.Token)
				s.tokens[i] = r.Token
			}
		}
		for _, h := range s.rows {
			if h.First <= r.Last && r.First <= h.Last {
				row.workUntil = max(row.workUntil, h.workUntil)
			}
		}
		rows = append(rows, row)
	}
	for _, h := range s.rows {
		h.isReleasing = true
		rows = append(rows, without(h, rows)...)
	}
	s.rows = rows
}

// sawHigher reports whether the server has seen a higher token on one of a row's keys.
func (s *beatServer) sawHigher(row heldRow) bool {
	for i := range sampleCount {
		if k := sampleKey(i); row.First <= k && k <= row.Last && s.tokens[i] > row.Token {
			return true
		}
	}
	return slices.ContainsFunc(s.rows, func(h heldRow) bool {
		return h.First <= row.Last && row.First <= h.Last && h.Token > row.Token
	})
}

// without returns the parts of a row that other rows do not contain.
func without(row heldRow, others []heldRow) []heldRow {
	for _, o := range others {
		if o.Last < row.First || row.Last < o.First {
			continue
		}
		var out []heldRow
		if row.First < o.First {
			left := row
			left.Last = o.First - 1
			out = append(out, without(left, others)...)
		}
		if o.Last < row.Last {
			right := row
			right.First = o.Last + 1
			out = append(out, without(right, others)...)
		}
		return out
	}
	return []heldRow{row}
}
