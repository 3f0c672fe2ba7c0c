//go:build mutation

package participant

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/overseer"
)

// TestMutationTermFromReplyIsDetected injects a term that starts with the store's response.
func TestMutationTermFromReplyIsDetected(t *testing.T) {
	mutator.Activate(mutator.TermFromReply)
	defer mutator.Activate(mutator.None)
	s := &fakeStore{version: 1, revision: 10}
	p, clock := newTestParticipant(t, s)
	s.delay = func() { clock.Advance(time.Second) }
	p.findCoordinator(context.Background(), false)
	require.Greater(t, p.overseer.AuthorityUntil(), clock.Now().Add(overseer.AuthorityDuration-time.Second))
}
