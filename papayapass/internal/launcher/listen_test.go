package launcher

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// A node that was to listen at the same address for two purposes served only one of them, without
// a word: seed 410 of TestFaults, whose customers got no response from a backend server.
func TestAddressForTwoPurposesIsAnError(t *testing.T) {
	purposes := []string{"customers", "ready", "heartbeats", "peers", "metrics"}
	for i, first := range purposes {
		for _, second := range purposes[i+1:] {
			t.Run(first+" and "+second, func(t *testing.T) {
				ip, addresses := loopback(), make(map[string]string)
				for _, name := range purposes {
					addresses[name] = freeAddress(t, ip)
				}
				addresses[second] = addresses[first]
				text := fmt.Sprintf("[node]\nid=\"node-1\"\nzone=\"zone-1\"\naddress=%q\nservice=\"permits\"\nserver=\"127.0.0.1:1\"\n"+
					"[listen]\ncustomers=%q\nready=%q\nheartbeats=%q\npeers=%s\nmetrics=%s\n[store]\naddress=\"127.0.0.1:1\"\n",
					ip, addresses["customers"], addresses["ready"], addresses["heartbeats"], port(addresses["peers"]), port(addresses["metrics"]))
				path := writeSettings(t, text)
				s, err := ReadSettings(path)
				require.NoError(t, err)
				n := newNode(s, fakeAdapter(&memoryStore{objects: make(map[string]descriptor.Object)}), &tracer.Tracer{}, zerolog.Nop())
				ctx, stop := context.WithCancel(context.Background())
				stop() // a node that starts ends at once, without an error
				err = n.run(ctx, newReloader(path, s, n, nil))
				for _, d := range n.drainers {
					_ = d.Close() // the node did not start
				}
				require.ErrorIs(t, err, syscall.EADDRINUSE)
				require.True(t, strings.HasPrefix(err.Error(), "listen at "+addresses[first]), err.Error())
			})
		}
	}
}
