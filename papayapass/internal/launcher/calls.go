package launcher

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/papayapass/internal/partitioner"
)

// Paths of control calls between nodes.
const (
	heartbeatPath = "/control/beat"
	probePath     = "/control/probe"
	tablePath     = "/control/table"
	chargePath    = "/control/charge"
)

const (
	controlConnectTimeout = 300 * time.Millisecond
	controlMaxIdle        = 20 * time.Second
	maxControlBytes       = 4 << 20
)

// GrantAPI describes a backend server's API for grants and releases of keys.
type GrantAPI struct {
	GrantPath      string
	ReleasePath    string
	HandoverHeader string
	// InstanceHeader names the backend server that a grant is meant for; any other one answers
	// 421 and does not execute it.
	InstanceHeader string
	EncodeGrant    func(first, last uint16, token uint64, hold time.Duration, handover string) []byte
	EncodeRelease  func(first, last uint16, token uint64) []byte
}

// client calls other nodes and the local backend server.
type client struct {
	grantAPI  GrantAPI
	enveloper *enveloper.Enveloper
	server    *exchanger.Exchanger
	// monitor tells whether grants reach the start that they are meant for; nil accepts all.
	monitor *exchanger.StartMonitor
	host    string
	peers   sync.Map // address to *exchanger.Exchanger
	// memory limits the replies of other nodes that are read at the same time; nil does not.
	memory *budgeter.Budget
	logger zerolog.Logger
	// connections closes those to nodes that are not called any more; nil does not.
	connections *exchanger.ConnectionLimit
}

var _ participant.Client = (*client)(nil)

func newClient(grantAPI GrantAPI, server string, e *enveloper.Enveloper) *client {
	return &client{
		grantAPI: grantAPI, host: server, enveloper: e,
		server: exchanger.NewExchanger(server, controlConnectTimeout, controlMaxIdle, maxControlBytes, nil),
	}
}

func (c *client) peer(address string) *exchanger.Exchanger {
	if p, ok := c.peers.Load(address); ok {
		return p.(*exchanger.Exchanger)
	}
	e := exchanger.NewExchanger(address, controlConnectTimeout, controlMaxIdle, maxControlBytes, nil)
	if c.connections != nil {
		e.Limit(c.connections)
	}
	p, _ := c.peers.LoadOrStore(address, e)
	return p.(*exchanger.Exchanger)
}

func (c *client) post(ctx context.Context, address, path string, in, out any) error {
	body, err := c.enveloper.Pack(in, nil)
	if err != nil {
		return errors.Wrap(err, "encode a call")
	}
	var lease *budgeter.Lease
	if c.memory != nil {
		lease = c.memory.Lease()
		defer lease.Close()
	}
	response, err := c.peer(address).Do(ctx, exchanger.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: http.Header{}, Body: body, MaxIdle: controlMaxIdle, Memory: lease,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Newf("%s at %s: status %d", path, address, response.Status)
	}
	_, err = c.enveloper.Open(response.Body, out)
	return err
}

// Heartbeat sends a heartbeat to the node at an address.
func (c *client) Heartbeat(ctx context.Context, address string, h overseer.Heartbeat) (overseer.HeartbeatReply, error) {
	var r overseer.HeartbeatReply
	err := c.post(ctx, address, heartbeatPath, h, &r)
	return r, err
}

// Probe asks the node at an address whether it is in contact with its coordinator.
func (c *client) Probe(ctx context.Context, address string, r overseer.ProbeRequest) (overseer.ProbeReply, error) {
	var p overseer.ProbeReply
	err := c.post(ctx, address, probePath, r, &p)
	return p, err
}

// Announce sends the coordinator's table to the node at an address.
func (c *client) Announce(ctx context.Context, address string, t *partitioner.Table) error {
	var p overseer.ProbeReply
	return c.post(ctx, address, tablePath, t, &p)
}

// Charge asks the node at an address for credits of a customer.
func (c *client) Charge(ctx context.Context, address string, charge accountant.Charge) (accountant.Answer, error) {
	var a accountant.Answer
	err := c.post(ctx, address, chargePath, charge, &a)
	return a, err
}

// startName returns the name of a start of the backend server.
func startName(id string, startedAtMillis int64) string {
	return strconv.FormatInt(startedAtMillis, 10) + " " + id
}

// Observe records that a start of the backend server has just been heard over a connection, so that
// grants for it are not sent to another one.
func (c *client) Observe(id string, startedAtMillis int64, sender net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), controlConnectTimeout)
	defer cancel()
	if err := c.monitor.Observe(ctx, startName(id, startedAtMillis), sender); err != nil {
		c.logger.Info().Err(err).Str("server", id).Msg("no connection to the backend server, it gets no grants until its next heartbeat")
	}
}

// UpdateGrant sends a key request to the local backend server.
func (c *client) UpdateGrant(ctx context.Context, call granter.Call) (granter.Result, string) {
	path, timeout := c.grantAPI.GrantPath, granter.GrantTimeout
	var body []byte
	if call.Release {
		path, timeout = c.grantAPI.ReleasePath, granter.ReleaseTimeout
		body = c.grantAPI.EncodeRelease(call.First, call.Last, call.Token)
	} else {
		body = c.grantAPI.EncodeGrant(call.First, call.Last, call.Token, call.Hold, call.Handover)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Backend servers echo no id here. If one repeats an earlier answer, a release must not
	// end while work on the keys runs, and keys must not count as held before they are.
	request := exchanger.Request{
		OwnConnection: !call.Renewal, Method: http.MethodPost, URI: path, Host: c.host, Body: body, MaxIdle: granter.ReleaseTimeout,
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	if call.Release {
		request.Matches = c.mayAnswerRelease
	} else {
		request.Header.Set(c.grantAPI.InstanceHeader, call.Server)
		if c.monitor != nil { // a backend server may start again under its id
			request.Guard = func() bool { return c.monitor.Confirms(startName(call.Server, call.ServerStartedAtMillis)) }
		}
	}
	response, err := c.server.Do(ctx, request)
	switch {
	case errors.Is(err, exchanger.ErrNotSent) && errors.Is(err, syscall.ECONNRESET):
		return granter.NotDelivered, "" // the backend server has no room for the connection
	case errors.Is(err, exchanger.ErrRefused):
		return granter.Unreachable, ""
	case errors.Is(err, exchanger.ErrNotSent):
		return granter.Unconfirmed, ""
	case err != nil:
		return granter.Unknown, ""
	case response.Status == http.StatusOK:
		return granter.Done, response.Header.Get(c.grantAPI.HandoverHeader)
	case response.Status == http.StatusConflict:
		return granter.Refused, ""
	case response.Status == http.StatusMisdirectedRequest && !call.Release:
		c.logger.Info().Str("server", call.Server).Uint64("token", call.Token).Msg("another backend server answered a grant, none are sent until the next heartbeat")
		return granter.Unreachable, ""
	default:
		return granter.Unknown, ""
	}
}

// mayAnswerRelease reports whether a response may be one to a release. Responses to key
// requests carry no id, and one to a grant may arrive twice; a release is never refused, and
// its response has a handover.
func (c *client) mayAnswerRelease(r *exchanger.Response) bool {
	switch r.Status {
	case http.StatusOK:
		return r.Header.Get(c.grantAPI.HandoverHeader) != ""
	case http.StatusConflict:
		return false
	default:
		return true
	}
}

// newPeerHandler returns the handler of other nodes' calls.
func newPeerHandler(p *participant.Participant, calls *dispatcher.PeerHandler, e *enveloper.Enveloper, memory *budgeter.Budget) http.Handler {
	mux := http.NewServeMux()
	// open reads a control call, or rejects it.
	open := func(w http.ResponseWriter, r *http.Request, out any) bool {
		lease := memory.Lease()
		defer lease.Close()
		packed, err := lease.ReadAll(r.Body, maxControlBytes, r.ContentLength)
		if err != nil { // the node calls again
			rejectControl(w, err)
			return false
		}
		if _, err := e.Open(packed, out); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return false
		}
		return true
	}
	mux.Handle("POST "+dispatcher.CallPath, calls)
	mux.HandleFunc("POST "+dispatcher.StreamPath, calls.ServeStream)
	mux.HandleFunc("POST "+heartbeatPath, func(w http.ResponseWriter, r *http.Request) {
		var h overseer.Heartbeat
		if !open(w, r, &h) {
			return
		}
		writeReply(w, e, p.HandleHeartbeat(r.Context(), h))
	})
	mux.HandleFunc("POST "+tablePath, func(w http.ResponseWriter, r *http.Request) {
		var t partitioner.Table
		if !open(w, r, &t) {
			return
		}
		p.HandleTable(&t)
		writeReply(w, e, p.HandleProbe(overseer.ProbeRequest{}))
	})
	mux.HandleFunc("POST "+probePath, func(w http.ResponseWriter, r *http.Request) {
		var request overseer.ProbeRequest
		if !open(w, r, &request) {
			return
		}
		writeReply(w, e, p.HandleProbe(request))
	})
	mux.HandleFunc("POST "+chargePath, func(w http.ResponseWriter, r *http.Request) {
		var charge accountant.Charge
		if !open(w, r, &charge) {
			return
		}
		writeReply(w, e, p.HandleCharge(charge))
	})
	return mux
}

// rejectControl answers a control call or heartbeat whose body could not be read.
func rejectControl(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, budgeter.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, budgeter.ErrExhausted):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

func writeReply(w http.ResponseWriter, e *enveloper.Enveloper, v any) {
	packed, err := e.Pack(v, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	dispatcher.WriteEnvelope(w, packed, nil)
}

// dictionary returns sample text of the messages between nodes; sample holds headers of
// the platform's requests and responses.
func dictionary(sample string) string {
	return `{"coordinates":true,"epoch":1,"stamp":10000000000,"lease":1500000000,"delta":{"epoch":1,"from":10,"version":11,"lastToken":100,` +
		`"members":[{"id":"","address":"10.0.0.1:7660","zone":"","server":{"id":"i-","born":1792686224813,"service":"","slots":12,"divided":true,"leaving":true}}],` +
		`"divisions":[{"service":"","ranges":[{"first":0,"last":10,"owner":"","server":"i-","born":1792686224813,"token":1,"handover":"","next":""}]}]},` +
		`"loads":[{"node":"","running":1,"waiting":0,"mean":100000000}],"zonesOut":[""],"zonesRevision":100,"fresh":true}` +
		`{"member":{"id":"","address":"10.0.0.1:7660","zone":"","server":{"id":"i-","born":1792686224813,"service":"","slots":12,"divided":true}},` +
		`"incarnation":1792686224813000000,"epoch":1,"version":10,"echo":10000000000,"work":[{"key":1000,"work":0.1},{"key":2000,"work":0.2}],` +
		`"running":1,"waiting":1,"mean":100000000,"configurationVersion":10,"wait":250000000}` +
		`{"outcome":"not-run","reason":"busy","retryMillis":100}{"outcome":"unknown","reason":"broken","offered":true}` +
		`{"outcome":"answered","offered":true,"status":200,"header":` + sample + `}` +
		`{"id":"","method":"POST","uri":"/","host":".example","header":` + sample + `,"route":"r-","service":"","divided":true,"key":1000,"idempotent":true,` +
		`"priority":1,"objectiveMillis":600,"caller":"","leftMillis":1000,"impatient":true}`
}
