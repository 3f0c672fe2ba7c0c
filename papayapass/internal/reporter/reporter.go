package reporter

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/papayapass/internal/executor"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/meter"
	"papayapass.dev/shared/announcer"
	"papayapass.dev/shared/hasher"
)

// Paths of the status port, besides announcer.AnnouncePath.
const (
	PagePath    = "/"
	StatusPath  = "/v1/status"
	OwnerPath   = "/v1/owner"
	MetricsPath = "/metrics"
	HealthPath  = "/health"
)

const (
	statusTimeout   = time.Second
	readTimeout     = 5 * time.Second
	maxBodyBytes    = 64 << 10
	maxConnections  = 256
	contentTypeJSON = "application/json"
)

// Reporter serves the status port.
type Reporter struct {
	server           *fasthttp.Server
	keeper           *keeper.Keeper
	executor         *executor.Executor
	connector        *messenger.Connector
	meter            *meter.Meter
	zone             string
	announceNetworks []*net.IPNet
}

// NewReporter returns a reporter for a node in a zone. It accepts announcements only
// from the given networks.
func NewReporter(k *keeper.Keeper, e *executor.Executor, c *messenger.Connector, m *meter.Meter, zone string, from []*net.IPNet) *Reporter {
	r := &Reporter{keeper: k, executor: e, connector: c, meter: m, zone: zone, announceNetworks: from}
	r.server = &fasthttp.Server{
		Handler:               r.handle,
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
	}
	return r
}

// Serve serves requests on a listener until Stop is called.
func (r *Reporter) Serve(listener net.Listener) error {
	return errors.Wrap(r.server.Serve(listener), "serve status")
}

// Stop shuts the server down.
func (r *Reporter) Stop(ctx context.Context) error { return r.server.ShutdownWithContext(ctx) }

func (r *Reporter) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case announcer.AnnouncePath:
		r.announce(ctx)
	case PagePath:
		r.writePage(ctx)
	case StatusPath:
		r.status(ctx)
	case OwnerPath:
		r.owner(ctx)
	case MetricsPath:
		var b bytes.Buffer
		r.meter.Write(&b)
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBody(b.Bytes())
	case HealthPath:
		r.health(ctx)
	default:
		ctx.Error("no such page\n", fasthttp.StatusNotFound)
	}
}

func (r *Reporter) announce(ctx *fasthttp.RequestCtx) {
	if !r.allowsAnnouncement(ctx.RemoteIP()) {
		ctx.Error("announcements are not taken from this address\n", fasthttp.StatusForbidden)
		return
	}
	if !ctx.IsPost() {
		ctx.Error("announce with POST\n", fasthttp.StatusMethodNotAllowed)
		return
	}
	a, err := announcer.Decode(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	if a.Zone != r.zone {
		ctx.Error("this node is in zone "+r.zone+"\n", fasthttp.StatusBadRequest)
		return
	}
	r.executor.Announce(a)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (r *Reporter) allowsAnnouncement(ip net.IP) bool {
	for _, n := range r.announceNetworks {
		if n.Contains(ip) {
			return true
		}
	}
	return false
}

func (r *Reporter) status(ctx *fasthttp.RequestCtx) {
	if s, ok := r.current(ctx); ok {
		r.writeJSON(ctx, s)
	}
}

// current returns the current status, or responds with an error if the keeper doesn't
// return it in time.
func (r *Reporter) current(ctx *fasthttp.RequestCtx) (Status, bool) {
	limited, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := r.keeper.Status(limited)
	if err != nil {
		ctx.Error("the node is busy\n", fasthttp.StatusServiceUnavailable)
		return Status{}, false
	}
	usage, _ := r.executor.Usage()
	out := newStatus(s, usage)
	out.Zone = r.zone
	out.ControlBytes = r.connector.ControlBytes()
	return out, true
}

// Owner is the JSON form of a key's ownership.
type Owner struct {
	Pool    string `json:"pool"`
	Owner   string `json:"owner"`
	Standby string `json:"standby"`
	Next    string `json:"next"`
	Token   uint64 `json:"token"`
}

func (r *Reporter) owner(ctx *fasthttp.RequestCtx) {
	pool := string(ctx.QueryArgs().Peek("pool"))
	s, ok := r.keeper.View().Slice(pool, hasher.Key(ctx.QueryArgs().Peek("key")))
	if !ok {
		ctx.Error("no such divided pool\n", fasthttp.StatusNotFound)
		return
	}
	r.writeJSON(ctx, Owner{
		Pool: pool, Owner: string(s.Owner()), Standby: string(s.Standby()),
		Next: string(s.Next()), Token: uint64(s.Token()),
	})
}

func (r *Reporter) health(ctx *fasthttp.RequestCtx) {
	v := r.keeper.View()
	if !r.keeper.Now().Before(v.LeaseUntil()) {
		ctx.Error("no lease\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (r *Reporter) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}
