package ringrouter

import (
	"bytes"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"papayapass.dev/shared/announcer"
)

// Limits of the naive router. A server is skipped for downDuration after a try
// without a response.
const (
	maxTries     = 3
	tryTimeout   = 2 * time.Second
	downDuration = 5 * time.Second
	dialTimeout  = 500 * time.Millisecond
)

// Route maps a path prefix to a pool.
type Route struct {
	// Prefix is the prefix of matching paths.
	Prefix string
	// Servers lists the addresses of the pool's backend servers.
	Servers []string
	// Keyed reports whether the path segment after the prefix is the key.
	Keyed bool
	// Connections is the maximum number of connections to each server.
	Connections int
}

// server is a backend server and the end of its down time.
type server struct {
	client    *fasthttp.HostClient
	downUntil atomic.Int64
}

// pool is a route with its servers.
type pool struct {
	route   Route
	ring    *ring
	servers []*server
}

// RingRouter forwards callers' requests to backend servers.
type RingRouter struct {
	pools []*pool
}

// NewRingRouter returns a router for the given routes.
func NewRingRouter(routes []Route) *RingRouter {
	r := &RingRouter{}
	for _, route := range routes {
		p := &pool{route: route, ring: newRing(route.Servers)}
		for _, address := range route.Servers {
			p.servers = append(p.servers, &server{client: &fasthttp.HostClient{
				Addr: address, MaxConns: route.Connections, MaxIdemponentCallAttempts: 1,
				Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, dialTimeout) },
			}})
		}
		r.pools = append(r.pools, p)
	}
	return r
}

// Serve handles requests from the listener until it is closed.
func (r *RingRouter) Serve(listener net.Listener) error {
	return fasthttp.Serve(listener, r.handle)
}

func (r *RingRouter) handle(ctx *fasthttp.RequestCtx) {
	for _, p := range r.pools {
		if strings.HasPrefix(string(ctx.Path()), p.route.Prefix) {
			p.handle(ctx)
			return
		}
	}
	ctx.Error("no route\n", fasthttp.StatusNotFound)
}

// handle tries up to maxTries servers in order until one responds below 500.
func (p *pool) handle(ctx *fasthttp.RequestCtx) {
	tried := 0
	for _, i := range p.serverOrder(ctx.Path()) {
		s := p.servers[i]
		if time.Now().UnixNano() < s.downUntil.Load() {
			continue
		}
		if tried++; tried > maxTries {
			break
		}
		if s.try(ctx) {
			return
		}
	}
	ctx.Response.Reset()
	ctx.Response.Header.Set(announcer.HeaderOutcome, "unknown")
	ctx.Response.Header.Set(announcer.HeaderReason, "no-server")
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
}

func (p *pool) serverOrder(path []byte) []int {
	if !p.route.Keyed {
		return rand.Perm(len(p.servers))
	}
	key, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte(p.route.Prefix)), []byte("/"))
	return p.ring.serverOrder(key)
}

// try forwards a request and reports whether the response status is below 500.
func (s *server) try(ctx *fasthttp.RequestCtx) bool {
	ctx.Response.Reset()
	if err := s.client.DoTimeout(&ctx.Request, &ctx.Response, tryTimeout); err != nil {
		s.downUntil.Store(time.Now().Add(downDuration).UnixNano())
		return false
	}
	if ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		return false
	}
	ctx.Response.Header.Set(announcer.HeaderOutcome, "answered")
	return true
}
