package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// waitTimeout limits waiting in tests; it allows for a busy machine.
const waitTimeout = 30 * time.Second

// instance is a node and its local backend server.
type instance struct {
	t          *testing.T
	customers  string
	ready      string
	heartbeats string
	server     *httptest.Server
	stop       context.CancelFunc
	ended      chan error

	mu  sync.Mutex
	ran map[string]bool
	// onRequest is what the backend server does with a request.
	onRequest func(r *http.Request)
}

// instances counts the addresses given to nodes.
var instances atomic.Uint32

// loopback returns a loopback address that no other node or test process uses. Outgoing
// connections do not take its ports, as they do on 127.0.0.1.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+instances.Add(1)%250)
}

// usedAddresses are the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns an address at which nothing listens, another one at each call.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		require.NoError(t, l.Close())
		if _, used := usedAddresses.LoadOrStore(l.Addr().String(), true); !used {
			return l.Addr().String()
		}
	}
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address) // comes from a listener
	return p
}

// startInstance starts a backend server and its node; both end with the test.
func startInstance(t *testing.T, s *memoryStore, tr *tracer.Tracer, id, service string) *instance {
	t.Helper()
	ip := loopback()
	i := &instance{t: t, customers: freeAddress(t, ip), ready: freeAddress(t, ip), heartbeats: freeAddress(t, ip), ran: make(map[string]bool), ended: make(chan error, 1)}
	i.server = httptest.NewServer(i)
	t.Cleanup(i.server.Close)
	text := fmt.Sprintf(`
[node]
id = %q
zone = "zone-1"
address = %q
service = %q
server = %q
[listen]
customers = %q
ready = %q
heartbeats = %q
peers = %s
metrics = %s
[store]
address = "127.0.0.1:1"
[bounds]
heartbeat = "500ms"
grace = "6s"
zoneOut = "5s"
holdMax = "10s"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 58
`, id, ip, service, strings.TrimPrefix(i.server.URL, "http://"), i.customers, i.ready, i.heartbeats, port(freeAddress(t, ip)), port(freeAddress(t, ip)))
	path := writeSettings(t, text)
	settings, err := ReadSettings(path)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	n := newNode(settings, fakeAdapter(s), tr, zerolog.Nop())
	go func() { i.ended <- n.run(ctx, newReloader(path, settings, n, nil)) }()
	heartbeatCtx, end := context.WithCancel(context.Background())
	go i.sendHeartbeats(heartbeatCtx, "server-"+id, service)
	t.Cleanup(func() {
		stop()
		end()
	})
	return i
}

// sendHeartbeats sends heartbeats as a backend server does.
func (i *instance) sendHeartbeats(ctx context.Context, id, service string) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(descriptor.Heartbeat{ // has no unsupported type
			ID: id, Service: service, Address: strings.TrimPrefix(i.server.URL, "http://"), Slots: 8, Sequence: sequence, StartedAtMillis: 1,
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+i.heartbeats+"/heartbeats/"+id, bytes.NewReader(body))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // the next heartbeat follows
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// ServeHTTP serves requests as the backend server.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/grant" || r.URL.Path == "/release" {
		w.Header().Set("Handover", "h")
		return
	}
	id := r.Header.Get("Id")
	i.mu.Lock()
	i.ran[id] = true
	run := i.onRequest
	i.mu.Unlock()
	if run != nil {
		run(r)
	}
	w.Header().Set("Id", id)
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, id) // the node may have disconnected
}

func (i *instance) setOnRequest(run func(r *http.Request)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onRequest = run
}

func (i *instance) hasRun(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ran[id]
}

// countRuns returns the number of requests that ran whose ids have a prefix.
func (i *instance) countRuns(prefix string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for id := range i.ran {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

// request returns a request of a customer of this instance.
func (i *instance) request(ctx context.Context, method, path, id string, key int) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.customers+path, nil)
	require.NoError(i.t, err)
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Wait", "10s")
	req.Header.Set("Key", strconv.Itoa(key))
	return req
}

// startDeployment starts three nodes of two services and waits until each of them serves
// all keys.
func startDeployment(t *testing.T, tr *tracer.Tracer) []*instance {
	t.Helper()
	s := &memoryStore{objects: make(map[string]descriptor.Object)}
	cfg := descriptor.Configuration{
		Version: 1, Limits: descriptor.Limits{BodyBytes: 1 << 10},
		Services: map[string]descriptor.Service{"permits": {Name: "permits", Divided: true, WarmUpRate: 20}, "records": {Name: "records"}},
		Routes: []descriptor.Route{
			{Name: "status", Host: "h", Prefix: "/status/", Idempotent: true, Targets: []descriptor.Target{{Service: "permits", Weight: 1}}},
			{Name: "renew", Host: "h", Prefix: "/renew/", Targets: []descriptor.Target{{Service: "permits", Weight: 1}}},
			{Name: "record", Host: "h", Prefix: "/record/", Idempotent: true, Targets: []descriptor.Target{{Service: "records", Weight: 1}}},
		},
	}
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].Objective, cfg.Routes[i].Attempts = 10*time.Second, 5*time.Second, 2
	}
	spec, err := json.Marshal(cfg)
	require.NoError(t, err)
	_, err = s.Create(context.Background(), "configurations", descriptor.Object{Name: "main", Spec: spec})
	require.NoError(t, err)
	list := []*instance{startInstance(t, s, tr, "node-1", "permits"), startInstance(t, s, tr, "node-2", "permits"), startInstance(t, s, tr, "node-3", "records")}
	for _, i := range list {
		require.Eventually(t, func() bool { return i.servesAll() }, waitTimeout, 50*time.Millisecond)
	}
	return list
}

// servesAll reports whether requests without keys, and with keys of all parts, are served.
func (i *instance) servesAll() bool {
	const parts = 8
	for k := range parts {
		if status, _ := i.do(http.DefaultClient, http.MethodGet, "/status/", "probe", k*65536/parts); status != http.StatusOK {
			return false
		}
	}
	status, _ := i.do(http.DefaultClient, http.MethodGet, "/record/", "probe", 0)
	return status == http.StatusOK
}

// do sends a request; the status is zero if there was no whole response.
func (i *instance) do(client *http.Client, method, path, id string, key int) (int, error) {
	resp, err := client.Do(i.request(context.Background(), method, path, id, key))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && string(body) != id {
		return 0, fmt.Errorf("response %q to request %q", body, id)
	}
	return resp.StatusCode, nil
}

// A node stops while customers send renewals on persistent connections without a pause.
// Each request that a backend server ran must get its response, and the node must end
// within its grace period.
func TestStopLosesNoRequestThatRan(t *testing.T) {
	list := startDeployment(t, &tracer.Tracer{})
	for _, i := range list {
		i.setOnRequest(func(*http.Request) { time.Sleep(5 * time.Millisecond) })
	}
	const customers = 8
	var wg sync.WaitGroup
	lost := make(chan string, customers)
	for c := range customers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; ; n++ {
				id := fmt.Sprintf("renewal-%d-%d", c, n)
				status, err := list[0].do(client, http.MethodPost, "/renew/", id, (c*8192+n*97)%65536)
				ran := list[0].hasRun(id) || list[1].hasRun(id)
				if ran && status != http.StatusOK || !ran && status == http.StatusOK {
					lost <- fmt.Sprintf("%s: ran %t, status %d, %v", id, ran, status, err)
					return
				}
				if err != nil && strings.Contains(err.Error(), "refused") {
					return // the node has ended
				}
			}
		})
	}
	require.Eventually(t, func() bool { return list[0].countRuns("renewal-0-")+list[1].countRuns("renewal-0-") > 20 }, waitTimeout, time.Millisecond)
	list[0].stop()
	select {
	case err := <-list[0].ended:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the node did not end")
	}
	wg.Wait()
	close(lost)
	for l := range lost {
		require.Fail(t, "lost", l)
	}
}

// A customer disconnects while its request runs at another node's backend server: the work
// there must end.
func TestCustomerDisconnectEndsWorkAtOtherNode(t *testing.T) {
	list := startDeployment(t, &tracer.Tracer{})
	running, ended := make(chan struct{}), make(chan struct{})
	list[2].setOnRequest(func(r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(list[0].request(ctx, http.MethodGet, "/record/", "left", 0))
		if err == nil {
			_ = resp.Body.Close() // the customer has disconnected
		}
		left <- err
	}()
	<-running
	leave()
	require.Error(t, <-left)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "the request still runs at the backend server")
	}
}

// A request served by another node's backend server has a span for each hop, each the
// child of the previous one, in the trace that the customer started.
func TestASpanForEachHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	list := startDeployment(t, tracer.NewTestTracer(spans))
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	req := list[0].request(context.Background(), http.MethodGet, "/record/", "traced", 0)
	req.Header.Set("Traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	byName := make(map[string]tracetest.SpanStub)
	require.Eventually(t, func() bool {
		for _, s := range spans.GetSpans() {
			if s.SpanContext.TraceID().String() == trace {
				byName[s.Name] = s
			}
		}
		return len(byName) == 3
	}, waitTimeout, time.Millisecond)
	for child, parent := range map[string]string{"serve for a node": "request", "backend server": "serve for a node"} {
		require.Equal(t, byName[parent].SpanContext.SpanID(), byName[child].Parent.SpanID(), child)
	}
	require.Equal(t, "00f067aa0ba902b7", byName["request"].Parent.SpanID().String())
}
