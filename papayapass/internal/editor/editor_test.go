package editor

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/storer"
)

// memoryPlatform is an object API with one object and faults.
type memoryPlatform struct {
	mu         sync.Mutex
	object     storer.Object
	loseAfter  int
	loseBefore int
	down       bool
	beforePut  func()
}

func (p *memoryPlatform) Get(context.Context, string) (storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return storer.Object{}, storer.ErrUnavailable
	}
	if p.object.Version() == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return p.object, nil
}

func (p *memoryPlatform) Put(_ context.Context, _ string, ifVersion uint64, value []byte) (uint64, error) {
	if meddle := p.beforePut; meddle != nil {
		p.beforePut = nil
		meddle()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseBefore > 0 {
		p.loseBefore--
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

func stored(t *testing.T, p *memoryPlatform) *wirepb.Configuration {
	cfg, err := keeper.DecodeConfiguration(p.object.Value())
	require.NoError(t, err)
	return cfg
}

func TestSetRules(t *testing.T) {
	other := func(p *memoryPlatform) func() {
		return func() {
			_, err := NewEditor(p, "rival").SetRules(context.Background(), "theirs", 0)
			if err != nil {
				panic(err)
			}
		}
	}
	tests := map[string]struct {
		prepare func(p *memoryPlatform)
		base    uint64
		want    error
		rules   string
	}{
		"first configuration":           {prepare: func(*memoryPlatform) {}, rules: "mine"},
		"made from another version":     {prepare: func(*memoryPlatform) {}, base: 7, want: ErrConflict},
		"rival between read and write":  {prepare: func(p *memoryPlatform) { p.beforePut = other(p) }, want: ErrConflict, rules: "theirs"},
		"answer lost after the write":   {prepare: func(p *memoryPlatform) { p.loseAfter = 1 }, rules: "mine"},
		"write lost on its way":         {prepare: func(p *memoryPlatform) { p.loseBefore = 1 }, want: ErrUncertain},
		"platform down from the start":  {prepare: func(p *memoryPlatform) { p.down = true }, want: storer.ErrUnavailable},
		"platform down after the write": {prepare: func(p *memoryPlatform) { p.beforePut = func() { p.loseBefore, p.down = 1, true } }, want: ErrUncertain},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &memoryPlatform{}
			tt.prepare(p)
			_, err := NewEditor(p, "operator").SetRules(t.Context(), "mine", tt.base)
			if tt.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tt.want)
			}
			if tt.rules != "" {
				require.Equal(t, tt.rules, stored(t, p).GetRules())
			}
		})
	}
}

// TestRacingOperatorsLoseNothing lets operators take zones and servers out at
// once: each change is there at the end, and versions have no gaps.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	p := &memoryPlatform{}
	zones := []string{"valenzuela", "calamba", "malolos"}
	var work sync.WaitGroup
	for _, z := range zones {
		work.Add(1)
		go func() {
			defer work.Done()
			if _, err := NewEditor(p, z).Change(context.Background(), SetZone(z, true)); err != nil {
				t.Error(err)
			}
		}()
	}
	work.Wait()
	cfg := stored(t, p)
	require.ElementsMatch(t, zones, cfg.GetZonesOut())
	require.EqualValues(t, len(zones), cfg.GetVersion())
}

func TestChangeThatChangesNothingIsNotWritten(t *testing.T) {
	p := &memoryPlatform{}
	e := NewEditor(p, "operator")
	first, err := e.Change(t.Context(), SetServer("permits-1", true))
	require.NoError(t, err)
	again, err := e.Change(t.Context(), SetServer("permits-1", true))
	require.NoError(t, err)
	require.Equal(t, first, again)
	_, err = e.Change(t.Context(), SetServer("permits-1", false))
	require.NoError(t, err)
	require.Empty(t, stored(t, p).GetServersOut())
}
