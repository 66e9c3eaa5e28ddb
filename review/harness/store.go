package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type objectMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type storedObject struct {
	Meta objectMeta `json:"meta"`
	Spec any        `json:"spec"`
}

type storeEvent struct {
	Object   storedObject `json:"object"`
	Removed  bool         `json:"removed"`
	kind     string
	revision uint64
}

// store is a stand-in for the platform's metadata store. It answers lists, watches,
// creations and replacements as PROTOCOL.md describes them.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storeEvent
	changed  chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o := storedObject{Meta: objectMeta{Name: name, Revision: s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.history = append(s.history, storeEvent{Object: o, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, exists := s.objects[kind][o.Meta.Name]
	s.mu.Unlock()
	if r.Method == http.MethodPost && exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.put(kind, name, o.Spec)
	reply(w, map[string]any{"meta": objectMeta{Name: name}, "spec": o.Spec})
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedObject{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	reply(w, map[string]any{"items": items, "more": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "%s", data)
}
