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

// store is a stand-in for the platform's metadata store. It keeps its objects in memory and
// answers lists, watches, reads and writes as the pages describe them. Its methods are safe for
// concurrent use.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

// object is one object of the store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created_rev"`
		Finalizers []string `json:"finalizers"`
		Pending    bool     `json:"deletion_pending"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one change of an object.
type event struct {
	kind     string
	revision uint64
	object   object
	removed  bool
}

// maxWatch is the longest time for which a watch may wait.
const maxWatch = 30 * time.Second

// startStore starts a store on a free port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes the spec of an object, as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// write sets the spec of an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil {
		o = &object{}
		o.Meta.Name, o.Meta.Created = name, s.revision
		s.kinds[kind][name] = o
	}
	o.Spec, o.Meta.Revision = spec, s.revision
	s.record(event{kind: kind, revision: s.revision, object: *o})
	return o
}

// record adds an event and wakes the watches. The caller holds mu.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case r.Method == http.MethodPost && len(parts) == 1:
		s.create(w, r, parts[0])
	case r.Method == http.MethodPut && len(parts) == 2:
		s.replace(w, r, parts[0], parts[1])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const pageSize = 500
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	var items []string
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name].text())
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"more":%v,"current_rev":%d}`, strings.Join(items, ","), more, revision))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := s.since(kind, from), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"current_rev":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answer(w, http.StatusOK, fmt.Sprintf(`{"events":[],"current_rev":%d}`, revision))
			return
		}
	}
}

// since returns the changes of a kind after a revision. The caller holds mu.
func (s *store) since(kind string, revision uint64) []string {
	var events []string
	for _, e := range s.events {
		if e.kind == kind && e.revision > revision {
			events = append(events, fmt.Sprintf(`{"object":%s,"removed":%v}`, e.object.text(), e.removed))
		}
	}
	return events
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o.text())
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.kinds[kind][o.Meta.Name]; known != nil {
		answer(w, http.StatusConflict, known.text())
		return
	}
	answer(w, http.StatusOK, s.write(kind, o.Meta.Name, o.Spec).text())
}

func (s *store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.kinds[kind][name]
	switch {
	case known == nil:
		w.WriteHeader(http.StatusNotFound)
	case o.Meta.Revision != 0 && o.Meta.Revision != known.Meta.Revision:
		answer(w, http.StatusConflict, known.text())
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec).text())
	}
}

// text returns the encoding of the object. The spec stands in it as it was written.
func (o *object) text() string {
	meta, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err)
	}
	spec := string(o.Spec)
	if spec == "" {
		spec = "null"
	}
	return fmt.Sprintf(`{"meta":%s,"spec":%s,"status":null}`, meta, spec)
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
