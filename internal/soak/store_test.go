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
	at       time.Time
	// superseded is set if a later change of the object is older than any state needed.
	superseded bool
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
	era       uint64
	// log holds all changes of the present era's states.
	log []event
}

func newStore() *store {
	return &store{era: 1, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object, or removes it if spec is nil.
func (s *store) put(kind, name string, spec any) { s.putMany(kind, []string{name}, spec) }

// putMany writes objects that are alike, as one change for those who watch.
func (s *store) putMany(kind string, names []string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(kind, names, spec)
}

// change is putMany for a caller that holds mu.
func (s *store) change(kind string, names []string, spec any) {
	for _, name := range names {
		s.revision++
		o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
		e := event{Object: o, Removed: spec == nil, kind: kind, revision: s.revision, at: time.Now()}
		s.apply(e)
		s.history = append(s.history, e)
		s.log = append(s.log, e)
	}
	if len(s.log) > maxLog {
		s.shortenLog()
	}
	s.notify()
}

const (
	// maxLog is the length from which on the log is shortened.
	maxLog = 1 << 16
	// maxCopyAge is the age of the oldest state that the store can be restored to.
	maxCopyAge = 30 * time.Second
)

// shortenLog drops the changes that only states before maxCopyAge need. The caller holds mu.
func (s *store) shortenLog() {
	type key struct{ kind, name string }
	oldest, later := time.Now().Add(-maxCopyAge), map[key]bool{}
	for i := len(s.log) - 1; i >= 0; i-- {
		e := &s.log[i]
		if k := (key{e.kind, e.Object.Meta.Name}); !e.at.After(oldest) {
			e.superseded = later[k]
			later[k] = true
		}
	}
	s.log = slices.DeleteFunc(s.log, func(e event) bool { return e.superseded })
}

// apply applies a change to the objects. The caller holds mu.
func (s *store) apply(e event) {
	if s.objects[e.kind] == nil {
		s.objects[e.kind] = map[string]object{}
	}
	if e.Removed {
		delete(s.objects[e.kind], e.Object.Meta.Name)
	} else {
		s.objects[e.kind][e.Object.Meta.Name] = e.Object
	}
}

// notify wakes those who watch. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// hostKind is the kind of the objects that the hosts write. All others are those of the operator
// and the replicas.
const hostKind = "marigoldlever-hosts"

// restore begins a new era with the state of an earlier time. It returns what the operator and the
// replicas have to write again.
func (s *store) restore(to time.Time) (lost []event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := slices.IndexFunc(s.log, func(e event) bool { return e.at.After(to) })
	if kept < 0 {
		kept = len(s.log)
	}
	for _, e := range s.log[kept:] {
		if e.kind != hostKind {
			lost = append(lost, e)
		}
	}
	s.era++
	s.log = slices.Clone(s.log[:kept])
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(e event) bool { return e.at.After(to) })
	s.objects = map[string]map[string]object{}
	s.revision = 1
	for _, e := range s.log {
		s.apply(e)
		s.revision = e.revision
	}
	s.compacted = min(s.compacted, s.revision)
	s.notify()
	return lost
}

// rewrite repeats a lost change, unless a later one has been made since.
func (s *store) rewrite(lost event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := lost.Object.Meta.Name
	for _, e := range s.log {
		if e.kind == lost.kind && e.Object.Meta.Name == name && e.at.After(lost.at) {
			return
		}
	}
	s.change(lost.kind, []string{name}, lost.Object.Spec)
}

// firstWrite returns the time of the first change of a kind.
func (s *store) firstWrite(kind string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log[slices.IndexFunc(s.log, func(e event) bool { return e.kind == kind })].at
}

// lists reports whether the store has an object.
func (s *store) lists(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
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
	s.tellEra(w)
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

// tellEra adds the era to the header of an answer. The caller holds mu.
func (s *store) tellEra(w http.ResponseWriter) { w.Header().Set("Store-Era", fmt.Sprint(s.era)) }

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellEra(w)
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
		s.tellEra(w)
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if from < compacted || from > revision {
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
