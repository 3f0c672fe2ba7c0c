package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// closedConfiguration has routes that need keys, and one that does not.
func closedConfiguration(customers ...descriptor.Customer) *descriptor.Configuration {
	c := testConfiguration()
	for i := range c.Routes {
		c.Routes[i].Public = c.Routes[i].Name == "write"
	}
	c.KeysRequired, c.Customers = true, customers
	c.BuildIndex()
	return c
}

// fakeQuota refuses with a reason, or counts the credits taken.
type fakeQuota struct {
	reason Reason
	taken  int
	asked  int
}

// fakeCredit is the credit of every charge.
var fakeCredit = Credit{Asked: 7}

func (q *fakeQuota) Charge(context.Context, *descriptor.Customer) (Credit, Reason, time.Duration) {
	q.asked++
	if q.reason != ReasonNone {
		return Credit{}, q.reason, 90 * time.Millisecond
	}
	q.taken++
	return fakeCredit, ReasonNone, 0
}

func (q *fakeQuota) Refund(_ *descriptor.Customer, c Credit) {
	if c == fakeCredit {
		q.taken--
	}
}

// unreadBody fails the test if it is read before the response.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// Which requests enter, by key, route and freshness of the configuration.
func TestKeysOfCustomers(t *testing.T) {
	known := []descriptor.Customer{{Name: "acme", Keys: []string{"k1", "k2"}, Rate: 1}, {Name: "birch", Keys: []string{"k3"}, Priority: 3}}
	long := string(bytes.Repeat([]byte("k"), 10_000))
	cases := map[string]struct {
		path     string
		keys     []string
		fresh    Freshness
		open     bool
		status   int
		customer string
	}{
		"known key":                       {"/read/x", []string{"k2"}, Current, false, 200, "acme"},
		"another customer's":              {"/read/x", []string{"k3"}, Usable, false, 200, "birch"},
		"unknown key":                     {"/read/x", []string{"k4"}, Current, false, 401, ""},
		"a customer's name for a key":     {"/read/x", []string{"acme"}, Current, false, 401, ""},
		"no key":                          {"/read/x", nil, Current, false, 401, ""},
		"empty key":                       {"/read/x", []string{""}, Current, false, 401, ""},
		"two headers":                     {"/read/x", []string{"k1", "k1"}, Current, false, 400, ""},
		"key repeated in the header":      {"/read/x", []string{"k1, k1"}, Current, false, 401, ""},
		"key of 10 kB":                    {"/read/x", []string{long}, Current, false, 400, ""},
		"known key, outdated":             {"/read/x", []string{"k1"}, Outdated, false, 503, ""},
		"unknown key that may be new":     {"/read/x", []string{"k4"}, Usable, false, 503, ""},
		"no key, outdated":                {"/read/x", nil, Outdated, false, 503, ""},
		"public route":                    {"/write/x", nil, Outdated, false, 200, ""},
		"public route with a key":         {"/write/x", []string{"k1"}, Current, false, 200, ""},
		"public route, unknown key":       {"/write/x", []string{"k4", "k5"}, Current, false, 200, ""},
		"no customers in a configuration": {"/read/x", []string{"k1"}, Outdated, true, 200, ""},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := closedConfiguration(known...)
			if tt.open {
				cfg = testConfiguration()
			}
			server := &fakeServer{results: []Result{ok200()}}
			v := &fakeCluster{cfg: cfg, order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": server}, fresh: tt.fresh}
			var log bytes.Buffer
			d := NewDispatcher(v, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.New(&log))
			r := httptest.NewRequest(http.MethodPost, tt.path, http.NoBody)
			if tt.status != 200 {
				r.Body = io.NopCloser(unreadBody{t})
			}
			r.Host = "h"
			r.Header["Customer-Key"], r.Header["Customer"] = tt.keys, []string{"birch"}
			w := httptest.NewRecorder()
			d.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.status == 503, w.Header().Get("Retry-After") != "")
			for _, key := range tt.keys {
				require.True(t, key == "" || !bytes.Contains(log.Bytes(), []byte(key)), "a key was logged")
			}
			if tt.status != 200 {
				require.Empty(t, server.calls)
				require.Zero(t, v.counted, "counted in the retry budget")
				return
			}
			require.Len(t, server.calls, 1)
			c := server.calls[0]
			require.Equal(t, tt.customer, c.Customer)
			require.Equal(t, tt.customer == "birch", c.CustomerPriority == 3)
			require.Zero(t, c.CustomerPriority%3)
			require.NotContains(t, c.Header, "Customer-Key")
			require.NotContains(t, c.Header, "Customer", "the sender named a customer")
		})
	}
}

// The response to a request that is charged, and what is left of its credit.
func TestQuotaIsChargedAndRefunded(t *testing.T) {
	cases := map[string]struct {
		key         string
		refuse      Reason
		result      Result
		quarantined bool
		status      int
		taken       int
		counted     int
	}{
		"runs":              {"k1", ReasonNone, ok200(), false, 200, 1, 1},
		"fails":             {"k1", ReasonNone, status(500), false, 500, 1, 1},
		"may have run":      {"k1", ReasonNone, unknown, false, 502, 1, 1},
		"not run":           {"k1", ReasonNone, notRun(ReasonFull), false, 503, 0, 1},
		"quarantined":       {"k1", ReasonNone, ok200(), true, 503, 0, 0},
		"quota used up":     {"k1", ReasonQuota, ok200(), false, 429, 0, 0},
		"quota unknown":     {"k1", ReasonNoQuota, ok200(), false, 503, 0, 0},
		"customer, no rate": {"k2", ReasonQuota, ok200(), false, 200, 0, 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := closedConfiguration(descriptor.Customer{Name: "acme", Keys: []string{"k1"}, Rate: 5}, descriptor.Customer{Name: "birch", Keys: []string{"k2"}})
			server := &fakeServer{results: []Result{tt.result}}
			v := &fakeCluster{cfg: cfg, order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": server}, fresh: Current, quarantined: tt.quarantined}
			quota := &fakeQuota{reason: tt.refuse}
			d := NewDispatcher(v, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
			d.SetQuota(quota)
			r := httptest.NewRequest(http.MethodGet, "/read/x", http.NoBody)
			r.Host = "h"
			r.Header.Set("Customer-Key", tt.key)
			w := httptest.NewRecorder()
			d.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.taken, quota.taken)
			require.Equal(t, tt.counted, v.counted)
			require.False(t, tt.quarantined && quota.asked > 0, "charged though refused")
			if tt.status == 429 {
				require.Equal(t, "0.090", w.Header().Get("Retry-After"))
			}
		})
	}
}

// revokingServer replaces the configuration while a call waits.
type revokingServer struct {
	cluster *fakeCluster
	next    *descriptor.Configuration
	result  Result
}

func (s revokingServer) Serve(context.Context, *Call) Result {
	s.cluster.cfg = s.next
	return s.result
}

// revokingCluster has one backend server, during whose first call the configuration changes.
type revokingCluster struct {
	*fakeCluster

	first revokingServer
	calls int
}

func (c *revokingCluster) Choose(*Call, map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	if c.calls++; c.calls == 1 {
		return c.first, "a", ReasonNone
	}
	return c.servers["b"], "b", ReasonNone
}

// A key that is taken away while a request with it waits.
func TestRevokedKeyIsNotTriedAgain(t *testing.T) {
	acme := descriptor.Customer{Name: "acme", Keys: []string{"k1", "k2"}}
	cases := map[string]struct {
		next   *descriptor.Configuration
		result Result
		status int
		calls  int
	}{
		"key removed":              {closedConfiguration(descriptor.Customer{Name: "acme", Keys: []string{"k2"}}), notRun(ReasonBusy), 503, 0},
		"customer removed":         {closedConfiguration(), notRun(ReasonBusy), 503, 0},
		"key of another customer":  {closedConfiguration(descriptor.Customer{Name: "birch", Keys: []string{"k1"}}), notRun(ReasonBusy), 503, 0},
		"removed, may have run":    {closedConfiguration(), unknown, 502, 0},
		"another key removed":      {closedConfiguration(descriptor.Customer{Name: "acme", Keys: []string{"k1"}}), notRun(ReasonBusy), 200, 1},
		"no keys are required now": {testConfiguration(), notRun(ReasonBusy), 200, 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			server := &fakeServer{results: []Result{ok200()}}
			cluster := &fakeCluster{cfg: closedConfiguration(acme), servers: map[partitioner.NodeID]*fakeServer{"b": server}, fresh: Current, budget: 9}
			v := &revokingCluster{fakeCluster: cluster, first: revokingServer{cluster, tt.next, tt.result}}
			w := serveRequest(v, http.MethodGet, "/read/x", "", http.Header{"Customer-Key": {"k1"}})
			require.Equal(t, tt.status, w.Code)
			require.Len(t, server.calls, tt.calls)
		})
	}
}
