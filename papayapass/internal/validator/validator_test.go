package validator

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/shared/descriptor"
)

func TestNames(t *testing.T) {
	for name, tt := range map[string]struct {
		text  string
		valid bool
	}{
		"zone":              {"recife", true},
		"id":                {"i-7f3a91c2", true},
		"letters of others": {"zürich-1", true},
		"longest":           {strings.Repeat("z", 253), true},
		"too long":          {strings.Repeat("z", 254), false},
		"empty":             {"", false},
		"space":             {"zone 1", false},
		"line break":        {"i-1\r\nHost: x", false},
		"not UTF-8":         {"i-\xff", false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.valid, Name(tt.text) == nil)
		})
	}
}

func TestExcerptIsBounded(t *testing.T) {
	require.Equal(t, "short", Excerpt("short"))
	require.Less(t, len(Excerpt(strings.Repeat("x", 1<<20))), 300)
}

func TestHeartbeatsThatNoBackendServerSends(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*descriptor.Heartbeat)
		valid  bool
	}{
		"as usual":                 {func(*descriptor.Heartbeat) {}, true},
		"no start time":            {func(h *descriptor.Heartbeat) { h.StartedAtMillis = 0 }, true},
		"any sequence":             {func(h *descriptor.Heartbeat) { h.Sequence = math.MaxInt64 }, true},
		"id that ends a header":    {func(h *descriptor.Heartbeat) { h.ID = "i-1\r\nHost: x" }, false},
		"id of 60 KB":              {func(h *descriptor.Heartbeat) { h.ID = strings.Repeat("i", 60<<10) }, false},
		"slots that overflow":      {func(h *descriptor.Heartbeat) { h.Slots = 1 << 62 }, false},
		"slots beyond any machine": {func(h *descriptor.Heartbeat) { h.Slots = maxSlots + 1 }, false},
		"no slots":                 {func(h *descriptor.Heartbeat) { h.Slots = 0 }, false},
		"start in microseconds":    {func(h *descriptor.Heartbeat) { h.StartedAtMillis *= 1000 }, false},
		"start at the top":         {func(h *descriptor.Heartbeat) { h.StartedAtMillis = math.MaxInt64 }, false},
		"negative start":           {func(h *descriptor.Heartbeat) { h.StartedAtMillis = -1 }, false},
		"warm-up for ever":         {func(h *descriptor.Heartbeat) { h.WarmUpRemaining = math.MaxInt64 }, false},
		"usual handover":           {func(h *descriptor.Heartbeat) { h.Keys.Released[0].Handover = "5c0e7a21d94b36f8" }, true},
		"handover of 60 KB":        {func(h *descriptor.Heartbeat) { h.Keys.Released[0].Handover = strings.Repeat("h", 60<<10) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := descriptor.Heartbeat{
				ID: "i-1", Service: "s", Slots: 12, StartedAtMillis: 1792686224813, WarmUpRemaining: 3 * time.Second,
				Keys: &descriptor.KeyListing{Released: []descriptor.ReleasedRange{{First: 1, Last: 2}}},
			}
			tt.change(&h)
			require.Equal(t, tt.valid, Heartbeat(h) == nil)
		})
	}
}
