package checker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/platform"
)

// The seeds are in testdata, since only the package platform has the platform's names. Whatever can be decoded can be checked, always with the same result, and does not differ from itself.
func FuzzCheck(f *testing.F) {
	f.Fuzz(func(t *testing.T, spec []byte) {
		cfg, err := platform.DecodeConfiguration(spec)
		if err != nil {
			return
		}
		findings := Check(cfg)
		require.Equal(t, findings, Check(cfg))
		for _, found := range findings {
			require.NotEmpty(t, found.Place)
			require.NotEmpty(t, found.Reason)
		}
		require.Empty(t, Difference(cfg, cfg))
		require.Len(t, CheckVersion(cfg, cfg), 1)
	})
}
