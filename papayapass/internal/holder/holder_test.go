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

const startTime = timer.Instant(time.Hour)

// sliceTable returns a table with one pool of one slice, owned by a.
func sliceTable(epoch assigner.Epoch, version uint64) *assigner.Table {
	return assigner.Decode(&wirepb.Table{
		Cell: "cell", Epoch: uint64(epoch), Version: version, Coordinator: "c", VotersVersion: 1,
		Voters:  []string{"a", "b", "c"},
		Members: []*wirepb.Member{{Node: "a", Address: "a"}, {Node: "b", Address: "b"}, {Node: "c", Address: "c"}},
		Pools:   []*wirepb.Pool{{Name: "pool", Slices: []*wirepb.Slice{{Owner: "a", Token: 7}}}},
	})
}

// settledNode returns node a after its quiet period, in epoch 5 of coordinator c.
func settledNode() (*Holder, timer.Instant) {
	h := NewHolder(NewIdentity("cell", "a", "a", "", "z", 1), startTime)
	h.LoadTable(sliceTable(5, 1))
	return h, startTime.Add(10 * time.Second)
}

func replyTo(b *wirepb.Beat, lease time.Duration) *wirepb.BeatReply {
	return &wirepb.BeatReply{
		Epoch: 5, Sequence: b.GetSequence(), Incarnation: 1, Coordinator: "c", CoordinatorAddress: "c",
		Stamp: 1, LeaseMillis: uint32(lease.Milliseconds()), TableVersion: 1,
	}
}

// checkLeaseStart checks that a lease counts from when its heartbeat was sent.
func checkLeaseStart() error {
	h, now := settledNode()
	b := h.NewHeartbeat(h.self.Member(), false, now)
	const delay, lease = 400 * time.Millisecond, time.Second
	h.HandleReply(replyTo(b, lease), now.Add(delay))
	if got := h.LeaseUntil(); got != now.Add(lease) {
		return errors.Newf("lease ends %s after the heartbeat was sent, want %s", got.Sub(now), lease)
	}
	return nil
}

// checkOneCandidate checks that a voter joins only one candidate per epoch.
func checkOneCandidate() error {
	h, now := settledNode()
	if !h.HandleClaim(&wirepb.Claim{Epoch: 6, Candidate: "b", VotersVersion: 1}, now).GetJoined() {
		return errors.New("the first candidate was rejected")
	}
	if h.HandleClaim(&wirepb.Claim{Epoch: 6, Candidate: "c", VotersVersion: 1}, now.Add(time.Minute)).GetJoined() {
		return errors.New("the voter joined a second candidate of the epoch")
	}
	return nil
}

// checkQuietPeriod checks that a restarted voter confirms no coordinator until
// its earlier confirmations have expired.
func checkQuietPeriod() error {
	h := NewHolder(NewIdentity("cell", "a", "a", "", "z", 2), startTime)
	h.LoadTable(sliceTable(5, 1))
	if !h.NewHeartbeat(h.self.Member(), false, startTime.Add(AuthorityDuration/2)).GetQuiet() {
		return errors.New("a node confirms a coordinator during its quiet period")
	}
	if h.NewHeartbeat(h.self.Member(), false, startTime.Add(2*AuthorityDuration)).GetQuiet() {
		return errors.New("a node does not confirm a coordinator after its quiet period")
	}
	return nil
}

func TestChecks(t *testing.T) {
	tests := map[string]func() error{
		"lease counts from sending the heartbeat": checkLeaseStart,
		"one candidate per epoch":                 checkOneCandidate,
		"quiet period":                            checkQuietPeriod,
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { require.NoError(t, check()) })
	}
}

func TestRejectedReplies(t *testing.T) {
	tests := map[string]struct {
		change func(r *wirepb.BeatReply)
		owns   bool
	}{
		"regular reply":                            {change: func(*wirepb.BeatReply) {}, owns: true},
		"older epoch":                              {change: func(r *wirepb.BeatReply) { r.Epoch = 4 }},
		"other incarnation of the node":            {change: func(r *wirepb.BeatReply) { r.Incarnation = 2 }},
		"reply to a heartbeat that was never sent": {change: func(r *wirepb.BeatReply) { r.Sequence = 99 }},
		"push without a lease":                     {change: func(r *wirepb.BeatReply) { r.Sequence, r.LeaseMillis = 0, 0 }},
		"lease for a later table":                  {change: func(r *wirepb.BeatReply) { r.TableVersion = 2 }},
		"newer epoch without table":                {change: func(r *wirepb.BeatReply) { r.Epoch = 6 }},
		"coordinator without a name":               {change: func(r *wirepb.BeatReply) { r.Coordinator = "" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := settledNode()
			r := replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second)
			tt.change(r)
			h.HandleReply(r, now.Add(time.Millisecond))
			_, owns := h.Owns("pool", 3, now.Add(2*time.Millisecond))
			require.Equal(t, tt.owns, owns)
		})
	}
}

func TestOwnershipEnds(t *testing.T) {
	h, now := settledNode()
	h.HandleReply(replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second), now)
	_, owns := h.Owns("pool", 3, now.Add(time.Second-1))
	require.True(t, owns)
	_, owns = h.Owns("pool", 3, now.Add(time.Second))
	require.False(t, owns, "a node must not own a slice at the end of its lease")
	h.Release("pool", 0, 7)
	_, owns = h.Owns("pool", 3, now)
	require.False(t, owns, "a node must not own a released slice")
}

func TestVoterInContactRejectsCandidate(t *testing.T) {
	h, now := settledNode()
	h.HandleReply(replyTo(h.NewHeartbeat(h.self.Member(), false, now), time.Second), now)
	claim := &wirepb.Claim{Epoch: 6, Candidate: "b", VotersVersion: 1}
	require.False(t, h.HandleClaim(claim, now.Add(StickinessDuration-1)).GetJoined())
	require.True(t, h.HandleClaim(claim, now.Add(StickinessDuration)).GetJoined())
	require.False(t, h.HandleClaim(&wirepb.Claim{Epoch: 7, Candidate: "b"}, now.Add(time.Minute)).GetJoined(), "a claim based on older voters must be rejected")
}
