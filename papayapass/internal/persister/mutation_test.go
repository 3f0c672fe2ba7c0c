//go:build mutation

package persister

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/shared/faker"
)

// TestMutationTrustLostWriteIsCaught asserts that the case "platform down" of
// TestWriteResults fails when a write without a response counts as done.
func TestMutationTrustLostWriteIsCaught(t *testing.T) {
	mutator.Activate(mutator.TrustLostWrite)
	defer mutator.Activate(mutator.None)
	writer := NewPersister(faultyPlatform(func(p *faker.Platform) { p.SetDown(true) }), "cell", "writer")
	require.NotEqual(t, coordinator.StoreUnknown, writer.Write(t.Context(), tableOf(5, "a")))
}
