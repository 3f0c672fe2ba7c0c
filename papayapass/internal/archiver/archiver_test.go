package archiver

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/shared/storer"
)

// faultyPlatform is an object API whose answers can be lost before or after the
// write takes effect.
type faultyPlatform struct {
	object     storer.Object
	loseBefore int
	loseAfter  int
	down       bool
}

func (p *faultyPlatform) Get(context.Context, string) (storer.Object, error) {
	if p.down {
		return storer.Object{}, storer.ErrUnavailable
	}
	if p.object.Version() == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return p.object, nil
}

func (p *faultyPlatform) Put(_ context.Context, _ string, ifVersion uint64, value []byte) (uint64, error) {
	if p.loseBefore > 0 {
		p.loseBefore--
		return 0, storer.ErrUnavailable
	}
	if p.down {
		return 0, storer.ErrUnavailable
	}
	if ifVersion != p.object.Version() {
		return 0, storer.ErrConflict
	}
	p.object = storer.NewObject(ifVersion+1, value)
	if p.loseAfter > 0 {
		p.loseAfter--
		return 0, storer.ErrUnavailable
	}
	return p.object.Version(), nil
}

func tableOf(epoch assigner.Epoch, node assigner.NodeID) *assigner.Table {
	return assigner.NewTable("cell", epoch, assigner.NewMember(node, "", "", "z", 1))
}

func TestWriteResults(t *testing.T) {
	tests := map[string]struct {
		platform *faultyPlatform
		first    *assigner.Table
		want     coordinator.StoreResult
	}{
		"plain":                              {platform: &faultyPlatform{}, want: coordinator.StoreDone},
		"answer lost after the write":        {platform: &faultyPlatform{loseAfter: 1}, want: coordinator.StoreDone},
		"write lost on its way":              {platform: &faultyPlatform{loseBefore: 1}, want: coordinator.StoreDone},
		"every write lost":                   {platform: &faultyPlatform{loseBefore: writeAttempts}, want: coordinator.StoreUnknown},
		"platform down":                      {platform: &faultyPlatform{down: true}, want: coordinator.StoreUnknown},
		"a later epoch has written":          {platform: &faultyPlatform{}, first: tableOf(9, "b"), want: coordinator.StoreSuperseded},
		"another of the same epoch":          {platform: &faultyPlatform{}, first: tableOf(5, "b"), want: coordinator.StoreSuperseded},
		"an earlier epoch has written":       {platform: &faultyPlatform{}, first: tableOf(4, "b"), want: coordinator.StoreDone},
		"this coordinator's own older write": {platform: &faultyPlatform{}, first: tableOf(5, "a"), want: coordinator.StoreDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.first != nil {
				require.Equal(t, coordinator.StoreDone, NewArchiver(tt.platform, "cell", "first").Write(t.Context(), tt.first))
			}
			a := NewArchiver(tt.platform, "cell", "second")
			require.Equal(t, tt.want, a.Write(t.Context(), tableOf(5, "a")))
			if tt.want == coordinator.StoreDone {
				stored, err := a.Read(t.Context())
				require.NoError(t, err)
				require.Equal(t, assigner.Epoch(5), stored.Epoch())
			}
		})
	}
}

func TestCreateHasOneWinner(t *testing.T) {
	p := &faultyPlatform{loseAfter: 1}
	require.Equal(t, coordinator.StoreDone, NewArchiver(p, "cell", "first").Create(t.Context(), tableOf(5, "a")))
	require.Equal(t, coordinator.StoreSuperseded, NewArchiver(p, "cell", "second").Create(t.Context(), tableOf(5, "b")))
}
