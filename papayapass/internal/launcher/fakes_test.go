package launcher

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/shared/descriptor"
)

// memoryStore is an object store in memory.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]descriptor.Object
}

func (s *memoryStore) Get(_ context.Context, kind, name string) (descriptor.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return o, descriptor.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) List(_ context.Context, kind string) (descriptor.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []descriptor.Object
	for path, o := range s.objects {
		if strings.HasPrefix(path, kind+"/") {
			out = append(out, o)
		}
	}
	return descriptor.Listing{Objects: out, State: descriptor.StoreState{Revision: s.revision}}, nil
}

func (s *memoryStore) Create(_ context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error) {
	return s.write(kind, o, func(_ descriptor.Object, ok bool) bool { return !ok }, func(_, o descriptor.Object) descriptor.Object { return o })
}

func (s *memoryStore) Replace(_ context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error) {
	return s.write(kind, o, sameRevision(o), func(old, o descriptor.Object) descriptor.Object { o.Status = old.Status; return o })
}

func (s *memoryStore) ReplaceStatus(_ context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error) {
	return s.write(kind, o, sameRevision(o), func(old, o descriptor.Object) descriptor.Object { o.Spec = old.Spec; return o })
}

func sameRevision(o descriptor.Object) func(descriptor.Object, bool) bool {
	return func(old descriptor.Object, ok bool) bool { return ok && old.Revision == o.Revision }
}

func (s *memoryStore) write(kind string, o descriptor.Object, allowed func(descriptor.Object, bool) bool, merge func(old, o descriptor.Object) descriptor.Object) (descriptor.StoreState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind+"/"+o.Name]
	if !allowed(old, ok) {
		return descriptor.StoreState{}, descriptor.ErrConflict
	}
	s.revision++
	o = merge(old, o)
	o.Revision = s.revision
	s.objects[kind+"/"+o.Name] = o
	return descriptor.StoreState{Revision: s.revision}, nil
}

// fakeCodec reads and writes short header names.
type fakeCodec struct{}

func (fakeCodec) RequestID(h http.Header) string { return h.Get("Id") }
func (fakeCodec) Deadline(h http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(h.Get("Wait"))
	return d, err == nil
}

func (fakeCodec) Key(h http.Header) (uint16, bool) {
	n, err := strconv.ParseUint(h.Get("Key"), 10, 16)
	return uint16(n), err == nil
}

func (fakeCodec) CustomerKey(h http.Header) (string, bool) {
	return h.Get("Customer-Key"), len(h["Customer-Key"]) <= 1
}

func (fakeCodec) RemoveCustomer(h http.Header) {
	h.Del("Customer-Key")
	h.Del("Customer")
}

func (fakeCodec) SetCustomer(h http.Header, name string) { h.Set("Customer", name) }

func (fakeCodec) SetRequestHeaders(h http.Header, server, _ string, _ time.Duration) {
	h.Set("Server", server)
}
func (fakeCodec) MatchesRequest(h http.Header, id string) bool { return h.Get("Id") == id }
func (fakeCodec) Signed(h http.Header) bool                    { return h.Get("Seal") != "" }
func (fakeCodec) NotRun(_ int, h http.Header) bool             { return h.Get("Not-Run") != "" }
func (fakeCodec) Notice(http.Header) (descriptor.ServerNotice, error) {
	return descriptor.ServerNotice{}, nil
}

// grantRequest is a key request.
type grantRequest struct {
	First, Last uint16
	Token       uint64
}

func fakeAdapter(s *memoryStore) Adapter {
	encode := func(first, last uint16, token uint64) []byte {
		b, _ := json.Marshal(grantRequest{first, last, token}) // has no unsupported type
		return b
	}
	return Adapter{
		Store: func(string, http.RoundTripper) participant.Store { return s },
		StoreLayout: participant.StoreLayout{
			ConfigurationKind: "configurations", ConfigurationName: "main", ZonesOutKind: "zonesOut",
			Decode: func(spec []byte) (*descriptor.Configuration, error) {
				cfg := &descriptor.Configuration{}
				err := json.Unmarshal(spec, cfg)
				cfg.Source = spec
				cfg.BuildIndex()
				return cfg, err
			},
		},
		GrantAPI: GrantAPI{
			GrantPath: "/grant", ReleasePath: "/release", HandoverHeader: "Handover", InstanceHeader: "Instance",
			EncodeGrant: func(first, last uint16, token uint64, _ time.Duration, _ string) []byte {
				return encode(first, last, token)
			},
			EncodeRelease: encode,
		},
		HeaderCodec: fakeCodec{}, ReadyPath: "/ready", HeartbeatPath: "/heartbeats/", SampleHeaders: "{}",
		DecodeHeartbeat: func(_ string, body []byte) (h descriptor.Heartbeat, err error) {
			err = json.Unmarshal(body, &h)
			return h, err
		},
		EncodeHeartbeatReply: func(r descriptor.HeartbeatReply) []byte {
			b, _ := json.Marshal(r) // has no unsupported type
			return b
		},
		DecodeLeave: func(path string) string { return strings.TrimPrefix(path, "/heartbeats/") },
	}
}
