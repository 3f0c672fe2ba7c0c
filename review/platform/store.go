package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store (PROTOCOL.md).
type store struct {
	address string
	mu      sync.Mutex
	rev     uint64
	objects map[string]*object
	// fault, if set, sees each call first and returns true if it has dealt with it.
	fault func(w http.ResponseWriter, r *http.Request) bool
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

const objectsPath = "/papayapass/objects/"

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &store{address: l.Addr().String(), rev: 1, objects: make(map[string]*object)}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes an object as the operator does; the response is the acknowledgement.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	o := &object{Spec: json.RawMessage(spec)}
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.CreatedRev, o.Metadata.Finalizers = name, s.rev, s.rev, []string{}
	s.objects[kind+"/"+name] = o
}

func (s *store) setFault(f func(http.ResponseWriter, *http.Request) bool) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.serve(w, r)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := strings.TrimPrefix(r.URL.Path, objectsPath)
	kind, name, single := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && !single:
		items := []*object{}
		for key, o := range s.objects {
			if strings.HasPrefix(key, kind+"/") {
				items = append(items, o)
			}
		}
		answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "currentRev": s.rev})
	case r.Method == http.MethodGet:
		if o, ok := s.objects[path]; ok {
			answer(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, onlyStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, ok := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && ok:
		answer(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case ok && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	}
	next := &object{Spec: in.Spec}
	s.rev++
	next.Metadata.Name, next.Metadata.CreatedRev, next.Metadata.Finalizers = name, s.rev, in.Metadata.Finalizers
	if ok {
		next.Metadata.CreatedRev, next.Status = old.Metadata.CreatedRev, old.Status
		if onlyStatus {
			next.Spec, next.Status, next.Metadata.Finalizers = old.Spec, in.Status, old.Metadata.Finalizers
		}
	}
	next.Metadata.Revision = s.rev
	s.objects[kind+"/"+name] = next
	answer(w, http.StatusOK, next)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the node may have gone
}

// configuration returns a configuration in which /status/ and /renew/ lead to a service
// divided by key and /record/ to a shared one.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"listeners":[{"host":"h.example","rules":[
{"name":"status","routeKind":"safe","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/status/"},"action":{"service":"permits","timeout":"1200ms","maxAttempts":2}},
{"name":"renew","routeKind":"unsafe","targetLatency":"800ms","priority":1,"match":{"pathPrefix":"/renew/"},"action":{"service":"permits","timeout":"1500ms","maxAttempts":2}},
{"name":"record","routeKind":"safe","targetLatency":"1500ms","priority":2,"match":{"pathPrefix":"/record/"},"action":{"service":"lots","timeout":"3000ms","maxAttempts":2}}]}],
"clusters":[{"name":"permits","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":15.0,"sharded":true,"warm":"5s","grants":"call"},
{"name":"lots","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":15.0}]}`, version)
}
