package keeper

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
)

// maxRecentMoves is the number of moves that a node keeps.
const maxRecentMoves = 256

// Move is a change of the owner of a slice.
type Move struct {
	at       time.Time
	pool     string
	start    uint64
	from, to assigner.NodeID
	reason   string
}

// At returns when the node learned of the move.
func (m Move) At() time.Time { return m.at }

// Pool returns the name of the pool.
func (m Move) Pool() string { return m.pool }

// Start returns the first point of the slice.
func (m Move) Start() uint64 { return m.start }

// From returns the previous owner, or "" if there was none.
func (m Move) From() assigner.NodeID { return m.from }

// To returns the new owner, or "" if there is none.
func (m Move) To() assigner.NodeID { return m.to }

// Reason returns the cause of the move.
func (m Move) Reason() string { return m.reason }

// moveLog holds the most recent moves.
type moveLog struct {
	moves []Move
	total uint64
}

// compare records the moves between two tables.
func (l *moveLog) compare(before, after *assigner.Table, r assigner.Restriction) {
	if before == nil {
		return
	}
	now := time.Now()
	for _, p := range after.Pools() {
		for i := range p.Len() {
			s := p.At(i)
			old, ok := before.Lookup(p.Name(), s.Start())
			if !ok || old.Owner() == s.Owner() {
				continue
			}
			l.add(Move{
				at: now, pool: p.Name(), start: s.Start(),
				from: old.Owner(), to: s.Owner(), reason: reasonOf(after, old, r),
			})
		}
	}
}

func (l *moveLog) add(m Move) {
	l.total++
	l.moves = append(l.moves, m)
	if len(l.moves) > maxRecentMoves {
		l.moves = l.moves[1:]
	}
}

func reasonOf(after *assigner.Table, old assigner.Slice, r assigner.Restriction) string {
	m, ok := after.Member(old.Owner())
	switch {
	case old.Owner() == "":
		return "had no owner"
	case !ok:
		return "node removed"
	case m.Lost():
		return "node lost"
	case m.Server().State() == assigner.ServerAbsent:
		return "backend server gone"
	case m.Server().State() == assigner.ServerDraining:
		return "backend server draining"
	case r.Excludes(m):
		return "taken out by operators"
	case old.Next() != "":
		return "balance"
	default:
		return "new coordinator"
	}
}
