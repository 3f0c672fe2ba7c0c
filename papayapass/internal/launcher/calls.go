package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/conductor"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
)

// Paths between nodes.
const (
	beatPath  = "/control/beat"
	probePath = "/control/probe"
)

const (
	controlConnect = 300 * time.Millisecond
	controlIdle    = 20 * time.Second
	maxControl     = 4 << 20
)

// Orders says how a backend server is told about keys.
type Orders struct {
	GrantPath      string
	ReleasePath    string
	HandoverHeader string
	EncodeGrant    func(first, last uint16, token uint64, hold time.Duration, handover string) []byte
	EncodeRelease  func(first, last uint16, token uint64) []byte
}

// calls makes a node's calls of other nodes and of its backend server.
type calls struct {
	orders Orders
	server *exchanger.Exchanger
	host   string
	peers  sync.Map // address to *exchanger.Exchanger
}

var _ conductor.Calls = (*calls)(nil)

func newCalls(orders Orders, server string) *calls {
	return &calls{
		orders: orders, host: server,
		server: exchanger.NewExchanger(server, controlConnect, controlIdle, maxControl, nil),
	}
}

func (c *calls) peer(address string) *exchanger.Exchanger {
	if p, ok := c.peers.Load(address); ok {
		return p.(*exchanger.Exchanger)
	}
	p, _ := c.peers.LoadOrStore(address, exchanger.NewExchanger(address, controlConnect, controlIdle, maxControl, nil))
	return p.(*exchanger.Exchanger)
}

func (c *calls) post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode a call")
	}
	answer, err := c.peer(address).Do(ctx, exchanger.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: http.Header{}, Body: body, FreshWithin: controlIdle,
	})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return errors.Newf("%s at %s: status %d", path, address, answer.Status)
	}
	return json.Unmarshal(answer.Body, out)
}

// Beat sends a beat to the node at an address.
func (c *calls) Beat(ctx context.Context, address string, b overseer.Beat) (overseer.Reply, error) {
	var r overseer.Reply
	err := c.post(ctx, address, beatPath, b, &r)
	return r, err
}

// Probe asks the node at an address whether it hears its coordinator.
func (c *calls) Probe(ctx context.Context, address string) (overseer.Probe, error) {
	var p overseer.Probe
	err := c.post(ctx, address, probePath, struct{}{}, &p)
	return p, err
}

// Order makes a call of the backend server about keys.
func (c *calls) Order(ctx context.Context, call granter.Call) (granter.Result, string) {
	path, timeout := c.orders.GrantPath, granter.GrantTimeout
	var body []byte
	if call.Release {
		path, timeout = c.orders.ReleasePath, granter.ReleaseTimeout
		body = c.orders.EncodeRelease(call.First, call.Last, call.Token)
	} else {
		body = c.orders.EncodeGrant(call.First, call.Last, call.Token, call.Hold, call.Handover)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.server.Do(ctx, exchanger.Request{
		Method: http.MethodPost, URI: path, Host: c.host, Body: body, FreshWithin: granter.ReleaseTimeout,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		return granter.NotDone, ""
	case err != nil:
		return granter.Unknown, ""
	case answer.Status == http.StatusOK:
		return granter.Done, answer.Header.Get(c.orders.HandoverHeader)
	case answer.Status == http.StatusConflict:
		return granter.Refused, ""
	default:
		return granter.Unknown, ""
	}
}

// controlHandler serves the control calls of other nodes.
func controlHandler(c *conductor.Conductor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+beatPath, func(w http.ResponseWriter, r *http.Request) {
		var b overseer.Beat
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, c.Receive(r.Context(), b))
	})
	mux.HandleFunc("POST "+probePath, func(w http.ResponseWriter, _ *http.Request) { reply(w, c.Probe()) })
	return mux
}

func reply(w http.ResponseWriter, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b.Bytes()) // the node sends another beat
}
