package editor

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/faker"
	"papayapass.dev/shared/storer"
)

func stored(t *testing.T, p *faker.Platform) *wirepb.Configuration {
	cfg, err := keeper.DecodeConfiguration(p.Object().Value())
	require.NoError(t, err)
	return cfg
}

func TestSetRules(t *testing.T) {
	other := func(p *faker.Platform) func() {
		return func() {
			_, err := NewEditor(p, "rival").SetRules(context.Background(), "theirs", 0)
			if err != nil {
				panic(err)
			}
		}
	}
	tests := map[string]struct {
		prepare func(p *faker.Platform)
		base    uint64
		want    error
		rules   string
	}{
		"first configuration":                      {prepare: func(*faker.Platform) {}, rules: "mine"},
		"based on another version":                 {prepare: func(*faker.Platform) {}, base: 7, want: ErrConflict},
		"concurrent change between read and write": {prepare: func(p *faker.Platform) { p.BeforePut(other(p)) }, want: ErrConflict, rules: "theirs"},
		"write applied, response lost":             {prepare: func(p *faker.Platform) { p.DropWriteReplies(1) }, rules: "mine"},
		"write lost before it was applied":         {prepare: func(p *faker.Platform) { p.FailWrites(1) }, want: ErrUncertain},
		"platform down from the start":             {prepare: func(p *faker.Platform) { p.SetDown(true) }, want: storer.ErrUnavailable},
		"platform down after the write":            {prepare: func(p *faker.Platform) { p.BeforePut(func() { p.SetDown(true) }) }, want: ErrUncertain},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &faker.Platform{}
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

// TestConcurrentChangesAreAllApplied takes zones out of service concurrently: each
// change must be stored at the end, and versions must have no gaps.
func TestConcurrentChangesAreAllApplied(t *testing.T) {
	p := &faker.Platform{}
	zones := []string{"valenzuela", "calamba", "malolos"}
	var wg sync.WaitGroup
	for _, z := range zones {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := NewEditor(p, z).Change(context.Background(), SetZone(z, true)); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	cfg := stored(t, p)
	require.ElementsMatch(t, zones, cfg.GetZonesOut())
	require.EqualValues(t, len(zones), cfg.GetVersion())
}

func TestEditWithoutEffectIsNotWritten(t *testing.T) {
	p := &faker.Platform{}
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
