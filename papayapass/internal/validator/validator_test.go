package validator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
