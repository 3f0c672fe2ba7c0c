package checker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/platform"
)

// Whatever can be decoded can be checked, always with the same result, and does not differ from itself.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"version":7,"limits":{"maxHeaderBytes":1024,"headerTimeout":"3s"},"listeners":[{"host":"h","rules":[{"name":"a","match":{"pathPrefix":"/x/"},"action":{"service":"s","timeout":"2s"}}]}],"clusters":[{"name":"s"}],"tenants":[{"name":"c","apiKeys":["k"]}]}`))
	f.Add([]byte(`{"version":1,"listeners":[{"rules":[{"action":{"trafficSplit":[{"weight":-1},{"service":"s"}]}},{}]}],"clusters":[{}],"tenants":[7,{"ratePerS":-5,"burstSize":1e308}]}`))
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
