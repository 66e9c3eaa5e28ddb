// Package soak runs the real hosts as processes against stand-ins for the platform's store
// and the replicas, and injects faults from outside the processes.
package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store responds.
type storeMode int

const (
	storeHealthy     storeMode = iota
	storeUnavailable           // responds with status 503
	storeHangs                 // holds every call for hangTime
)

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Meta meta `json:"meta"`
	Spec any  `json:"spec"`
}

type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
}

// hangTime is how long the store holds a call in mode storeHangs. It is longer than any
// caller waits.
const hangTime = 8 * time.Second

// store is a stand-in for the platform's metadata store that follows its published
// protocol.
type store struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]map[string]object
	history   []event
	compacted uint64 // the history up to this revision was dropped
	changed   chan struct{}
	mode      storeMode
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object, or removes it if spec is nil.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	if spec == nil {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, event{Object: o, Removed: spec == nil, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putMany writes objects that are alike, as one change for those who watch.
func (s *store) putMany(kind string, names []string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.revision++
		o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
		s.objects[kind][name] = o
		s.history = append(s.history, event{Object: o, kind: kind, revision: s.revision})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// compact drops the history, so that older watches fail with status 410.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// forget drops the history but for the last changes.
func (s *store) forget(kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drop := len(s.history) - kept; drop > 0 {
		s.compacted = s.history[drop-1].revision
		s.history = slices.Clone(s.history[drop:])
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeHangs:
		// The wait needs a limit: net/http cancels the context of a caller that has gone
		// only after the request body has been read.
		select {
		case <-r.Context().Done():
		case <-time.After(hangTime):
		}
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch {
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method == http.MethodPut:
		s.replace(w, r, kind)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, exists := s.objects[kind][o.Meta.Name]
	s.mu.Unlock()
	if exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.put(kind, o.Meta.Name, o.Spec)
	fmt.Fprint(w, "{}")
}

// replace overwrites an object. The path consists of its kind and name.
func (s *store) replace(w http.ResponseWriter, r *http.Request, path string) {
	kind, name, _ := strings.Cut(path, "/")
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put(kind, name, o.Spec)
	fmt.Fprint(w, "{}")
}

// listPage is the maximum number of items in a list response.
const listPage = 3

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > listPage
	items := []object{}
	for _, name := range names[:min(listPage, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "current_rev": s.revision})
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
		changed, revision, compacted := s.changed, s.revision, s.compacted
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if from < compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails if an injected fault has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
