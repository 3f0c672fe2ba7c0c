package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// metadata is the metadata of an object in the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object in the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// store is a stand-in for the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, kinds: make(map[string]map[string]*object)}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object for the operator.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := s.object(kind, name)
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}}
		s.add(kind, o)
	}
	o.Metadata.Revision, o.Spec = s.revision, json.RawMessage(spec)
}

func (s *store) object(kind, name string) *object { return s.kinds[kind][name] }

func (s *store) add(kind string, o *object) {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	s.kinds[kind][o.Metadata.Name] = o
}

// ServeHTTP answers a call to the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	path, ok := strings.CutPrefix(r.URL.Path, "/papayapass/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet && len(parts) == 2:
		if o := s.object(parts[0], parts[1]); o != nil {
			answer(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.write(w, r, parts, body)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := make([]*object, 0)
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "currentRev": s.revision})
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		condition, _ = strconv.ParseUint(v, 10, 64)
	}
	o := s.object(kind, name)
	switch {
	case r.Method == http.MethodPost && o != nil:
		answer(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodPost:
		s.revision++
		o = &object{Metadata: metadata{Name: name, Revision: s.revision, CreatedRev: s.revision, Finalizers: []string{}}, Spec: in.Spec}
		s.add(kind, o)
		answer(w, http.StatusCreated, o)
		return
	case o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case condition != 0 && condition != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
	case len(parts) == 3 && string(o.Status) != string(in.Status):
		s.revision++
		o.Metadata.Revision, o.Status = s.revision, in.Status
	case len(parts) == 2 && string(o.Spec) != string(in.Spec):
		s.revision++
		o.Metadata.Revision, o.Spec = s.revision, in.Spec
	}
	answer(w, http.StatusOK, o)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}
