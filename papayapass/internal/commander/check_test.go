package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const soundConfiguration = `{"version":7,"limits":{"maxHeaderBytes":1024,"maxBodyBytes":4096,"headerTimeout":"3s","idleTimeout":"15s"},
	"listeners":[{"host":"h","rules":[{"name":"a","targetLatency":"1s","match":{"pathPrefix":"/x/"},"action":{"service":"s","timeout":"2s"}}]}],
	"clusters":[{"name":"s"}],"tenants":[{"name":"c","apiKeys":["secret"]}]}`

func TestDeploymentCheck(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"sound": soundConfiguration, "faulty": `{"version":8,"tenants":[7]}`, "odd": `{"version":0}`} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"sound":           {[]string{"sound"}, exitDone, "configuration 7: 0 findings, 0 changes\n"},
		"sound as JSON":   {[]string{"sound", "--json"}, exitDone, `"changes": null`},
		"faulty":          {[]string{"faulty"}, exitFailed, "error: customers: customer 1, whose requests are rejected: name: empty\n"},
		"difference":      {[]string{"faulty", "--against", filepath.Join(dir, "sound")}, exitFailed, "change: service \"s\": removed\n"},
		"version kept":    {[]string{"sound", "--against", filepath.Join(dir, "sound"), "--json"}, exitFailed, `"place": "version"`},
		"not decodable":   {[]string{"odd"}, exitUsage, ""},
		"old not decoded": {[]string{"sound", "--against", filepath.Join(dir, "odd")}, exitUsage, ""},
		"no file":         {[]string{"missing"}, exitUsage, ""},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			root := newRoot()
			root.SetOut(&out)
			root.SetArgs(append([]string{"deployment", "check", filepath.Join(dir, tt.args[0])}, tt.args[1:]...))
			require.Equal(t, tt.code, exitCode(root.Execute()))
			require.Contains(t, out.String(), tt.want)
			require.NotContains(t, out.String(), "secret")
		})
	}
}
