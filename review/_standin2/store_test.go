package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store as PROTOCOL.md describes it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   map[string][]event // by kind, in order of their revisions
	changed  chan struct{}      // closed and replaced at each change
	address  string
}

func startStore(ip string) (*store, error) {
	s := &store{revision: 1, kinds: map[string]map[string]object{}, events: map[string][]event{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes the spec of an object without a condition.
func (s *store) put(kind, name string, spec []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	return s.writeLocked(kind, o)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) writeLocked(kind string, o object) uint64 {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.notifyLocked(kind, event{Object: o})
	return s.revision
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.notifyLocked(kind, event{Object: o, Deleted: true})
}

func (s *store) notifyLocked(kind string, e event) {
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name, len(parts) > 2 && parts[2] == "status")
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	after := r.URL.Query().Get("after")
	for name, o := range s.kinds[kind] {
		if after == "" || name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		reply(w, http.StatusOK, o)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []event{}
		for _, e := range s.events[kind] {
			if e.Object.Metadata.Revision > since {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	raw, err := io.ReadAll(r.Body)
	var sent object
	if err != nil || json.Unmarshal(raw, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	switch {
	case create && exists, !create && exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	before := fmt.Sprint(string(o.Spec), string(o.Status), o.Metadata.Finalizers)
	o.Metadata.Name = name
	if status {
		o.Status = sent.Status
	} else {
		o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	if create || before != fmt.Sprint(string(o.Spec), string(o.Status), o.Metadata.Finalizers) {
		s.writeLocked(kind, o)
	}
	reply(w, http.StatusOK, s.kinds[kind][name])
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	default:
		s.removeLocked(kind, name)
		w.WriteHeader(http.StatusOK)
	}
}
