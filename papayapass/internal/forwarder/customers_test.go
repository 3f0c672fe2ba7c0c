package forwarder

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/shared/descriptor"
)

// What the backend server gets of a customer, and which customers' requests it gets at all.
func TestRequestsOfCustomers(t *testing.T) {
	cases := map[string]struct {
		customer string
		admitted uint64 // version of the configuration that named the customer
		named    string // customer in the configuration of version 5 here
		reason   dispatcher.Reason
	}{
		"named here":                      {"acme", 5, "acme", dispatcher.ReasonNone},
		"removed while the request waits": {"acme", 4, "birch", dispatcher.ReasonRevoked},
		"not heard of yet":                {"acme", 6, "birch", dispatcher.ReasonNone},
		"public route":                    {"", 0, "birch", dispatcher.ReasonNone},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var got http.Header
			f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
				got = r.Header.Clone()
				respond(200, map[string]string{"Seal": "s"})(w, r)
			})
			cfg := *f.node.cfg
			cfg.Version, cfg.Customers = 5, []descriptor.Customer{{Name: tt.named}}
			cfg.BuildIndex()
			f.node.cfg = &cfg
			c := f.call(true)
			c.Customer, c.ConfigurationVersion = tt.customer, tt.admitted
			r := f.Serve(context.Background(), c)
			require.Equal(t, tt.reason, r.Reason)
			if tt.reason != dispatcher.ReasonNone {
				require.Equal(t, dispatcher.NotRun, r.Outcome)
				require.Nil(t, got, "the request was sent")
				return
			}
			require.Equal(t, tt.customer, got.Get("Customer"))
			require.Equal(t, tt.customer != "", got.Values("Customer") != nil)
		})
	}
}
