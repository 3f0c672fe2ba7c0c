package persister

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/shared/faker"
)

// faultyPlatform returns a platform with injected faults.
func faultyPlatform(prepare func(p *faker.Platform)) *faker.Platform {
	p := &faker.Platform{}
	prepare(p)
	return p
}

func tableOf(epoch assigner.Epoch, node assigner.NodeID) *assigner.Table {
	return assigner.NewTable("cell", epoch, assigner.NewMember(node, "", "", "z", 1))
}

func TestWriteResults(t *testing.T) {
	tests := map[string]struct {
		platform *faker.Platform
		first    *assigner.Table
		want     coordinator.StoreResult
	}{
		"plain":                              {platform: &faker.Platform{}, want: coordinator.StoreDone},
		"response lost after the write":      {platform: faultyPlatform(func(p *faker.Platform) { p.DropWriteReplies(1) }), want: coordinator.StoreDone},
		"write lost in transit":              {platform: faultyPlatform(func(p *faker.Platform) { p.FailWrites(1) }), want: coordinator.StoreDone},
		"every write lost":                   {platform: faultyPlatform(func(p *faker.Platform) { p.FailWrites(writeAttempts) }), want: coordinator.StoreUnknown},
		"platform down":                      {platform: faultyPlatform(func(p *faker.Platform) { p.SetDown(true) }), want: coordinator.StoreUnknown},
		"a later epoch has written":          {platform: &faker.Platform{}, first: tableOf(9, "b"), want: coordinator.StoreSuperseded},
		"another of the same epoch":          {platform: &faker.Platform{}, first: tableOf(5, "b"), want: coordinator.StoreSuperseded},
		"an earlier epoch has written":       {platform: &faker.Platform{}, first: tableOf(4, "b"), want: coordinator.StoreDone},
		"this coordinator's own older write": {platform: &faker.Platform{}, first: tableOf(5, "a"), want: coordinator.StoreDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.first != nil {
				require.Equal(t, coordinator.StoreDone, NewPersister(tt.platform, "cell", "first").Write(t.Context(), tt.first))
			}
			second := NewPersister(tt.platform, "cell", "second")
			require.Equal(t, tt.want, second.Write(t.Context(), tableOf(5, "a")))
			if tt.want == coordinator.StoreDone {
				stored, err := second.Read(t.Context())
				require.NoError(t, err)
				require.Equal(t, assigner.Epoch(5), stored.Epoch())
			}
		})
	}
}

func TestCreateHasOneWinner(t *testing.T) {
	p := faultyPlatform(func(p *faker.Platform) { p.DropWriteReplies(1) })
	require.Equal(t, coordinator.StoreDone, NewPersister(p, "cell", "first").Create(t.Context(), tableOf(5, "a")))
	require.Equal(t, coordinator.StoreSuperseded, NewPersister(p, "cell", "second").Create(t.Context(), tableOf(5, "b")))
}
