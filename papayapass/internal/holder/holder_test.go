package holder

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

const begun = timer.Instant(time.Hour)

// sliceTable returns a table with one pool of one slice, owned by a.
func sliceTable(epoch assigner.Epoch, version uint64) *assigner.Table {
	return assigner.Decode(&wirepb.Table{
		Cell: "cell", Epoch: uint64(epoch), Version: version, Coordinator: "c", VotersVersion: 1,
		Voters:  []string{"a", "b", "c"},
		Members: []*wirepb.Member{{Node: "a", Address: "a"}, {Node: "b", Address: "b"}, {Node: "c", Address: "c"}},
		Pools:   []*wirepb.Pool{{Name: "pool", Slices: []*wirepb.Slice{{Owner: "a", Token: 7}}}},
	})
}

// settled returns node a past its quiet time, in epoch 5 of coordinator c.
func settled() (*Holder, timer.Instant) {
	h := NewHolder(NewIdentity("cell", "a", "a", "", "z", 1), begun)
	h.LoadTable(sliceTable(5, 1))
	return h, begun.Add(10 * time.Second)
}

func replyTo(b *wirepb.Beat, lease time.Duration) *wirepb.BeatReply {
	return &wirepb.BeatReply{
		Epoch: 5, Sequence: b.GetSequence(), Incarnation: 1, Coordinator: "c", CoordinatorAddress: "c",
		Stamp: 1, LeaseMillis: uint32(lease.Milliseconds()), TableVersion: 1,
	}
}

// checkLeaseStart asserts that a lease counts from before it was asked for.
func checkLeaseStart() error {
	h, now := settled()
	b := h.NewHeartbeat(h.self.Member(), false, now)
	const delay, lease = 400 * time.Millisecond, time.Second
	h.HandleReply(replyTo(b, lease), now.Add(delay))
	if got := h.LeaseUntil(); got != now.Add(lease) {
		return errors.Newf("lease ends %s after the question, want %s", got.Sub(now), lease)
	}
	return nil
}

// checkOneCandidate asserts that a voter joins one candidate of an epoch.
func checkOneCandidate() error {
	h, now := settled()
	if !h.HandleClaim(&wirepb.Claim{Epoch: 6, Candidate: "b", VotersVersion: 1}, now).GetJoined() {
		return errors.New("the first candidate was refused")
	}
	if h.HandleClaim(&wirepb.Claim{Epoch: 6, Candidate: "c", VotersVersion: 1}, now.Add(time.Minute)).GetJoined() {
		return errors.New("a second candidate of the epoch was joined")
	}
	return nil
}

// checkQuietStart asserts that a restarted voter confirms nobody until what it
// confirmed before has run out.
func checkQuietStart() error {
	h := NewHolder(NewIdentity("cell", "a", "a", "", "z", 2), begun)
	h.LoadTable(sliceTable(5, 1))
	if !h.NewHeartbeat(h.self.Member(), false, begun.Add(AuthorityDuration/2)).GetQuiet() {
		return errors.New("a node that has just started confirms")
	}
	if h.NewHeartbeat(h.self.Member(), false, begun.Add(2*AuthorityDuration)).GetQuiet() {
		return errors.New("a node past its quiet time does not confirm")
	}
	return nil
}

func TestChecks(t *testing.T) {
	tests := map[string]func() error{
		"lease counts from before the question": checkLeaseStart,
		"one candidate of an epoch":             checkOneCandidate,
		"quiet start":                           checkQuietStart,
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { require.NoError(t, check()) })
	}
}

func TestReplyRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(r *wirepb.BeatReply)
		owns   bool
	}{
		"regular reply":              {change: func(*wirepb.BeatReply) {}, owns: true},
		"older epoch":                {change: func(r *wirepb.BeatReply) { r.Epoch = 4 }},
		"other start of the node":    {change: func(r *wirepb.BeatReply) { r.Incarnation = 2 }},
		"heartbeat never sent":       {change: func(r *wirepb.BeatReply) { r.Sequence = 99 }},
		"push without a lease":       {change: func(r *wirepb.BeatReply) { r.Sequence, r.LeaseMillis = 0, 0 }},
		"lease for a later table":    {change: func(r *wirepb.BeatReply) { r.TableVersion = 2 }},
		"newer epoch without table":  {change: func(r *wirepb.BeatReply) { r.Epoch = 6 }},
		"coordinator without a name": {change: func(r *wirepb.BeatReply) { r.Coordinator = "" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := settled()
			r := replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second)
			tt.change(r)
			h.HandleReply(r, now.Add(time.Millisecond))
			_, owns := h.Owns("pool", 3, now.Add(2*time.Millisecond))
			require.Equal(t, tt.owns, owns)
		})
	}
}

func TestOwnershipEnds(t *testing.T) {
	h, now := settled()
	h.HandleReply(replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second), now)
	_, owns := h.Owns("pool", 3, now.Add(time.Second-1))
	require.True(t, owns)
	_, owns = h.Owns("pool", 3, now.Add(time.Second))
	require.False(t, owns, "at the lease's end")
	h.Release("pool", 0, 7)
	_, owns = h.Owns("pool", 3, now)
	require.False(t, owns, "after the release")
}

func TestLoyalVoterRefusesCandidate(t *testing.T) {
	h, now := settled()
	h.HandleReply(replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second), now)
	claim := &wirepb.Claim{Epoch: 6, Candidate: "b", VotersVersion: 1}
	require.False(t, h.HandleClaim(claim, now.Add(StickinessDuration-1)).GetJoined())
	require.True(t, h.HandleClaim(claim, now.Add(StickinessDuration)).GetJoined())
	require.False(t, h.HandleClaim(&wirepb.Claim{Epoch: 7, Candidate: "b"}, now.Add(time.Minute)).GetJoined(), "older voters")
}
