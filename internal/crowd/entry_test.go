package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxDescriptors is the descriptor limit in the settings of an entry, of which
	// fileDescriptors are for files.
	maxDescriptors  = 360
	fileDescriptors = 200
	// longTimeout is the timeout of the routes and the deadline of the crowd's requests: no
	// deadline passes in the test.
	longTimeout = time.Minute
)

// store is a stand-in for the platform's metadata store. Its objects don't change but for the
// registration of hosts.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]any // by kind and name
	revision int
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method != http.MethodGet {
		s.register(w, r, kind, name)
		return
	}
	if wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
		s.watch(w, r, time.Duration(wait)*time.Millisecond)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []any{}
	for name, spec := range s.objects[kind] {
		items = append(items, map[string]any{"meta": map[string]any{"name": name, "revision": 1}, "spec": spec})
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "current_rev": s.revision})
}

func (s *store) register(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o struct {
		Meta struct {
			Name string `json:"name"`
		} `json:"meta"`
		Spec any `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]any{}
	}
	s.objects[kind][name] = o.Spec
	s.revision++
	writeJSON(w, map[string]any{})
}

// watch answers without events when its time is over. It has no history to tell of.
func (s *store) watch(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	from, err := strconv.Atoi(r.URL.Query().Get("watch"))
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	if err != nil || from < revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	writeJSON(w, map[string]any{"events": []any{}, "current_rev": revision})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the daemon has closed the connection
}

// replica is a stand-in for the only replica. It keeps the IDs of what it ran.
type replica struct {
	mu  sync.Mutex
	ids []string
}

const (
	replicaID = "replica-1"
	// shards is the number of shards of the route /scatter/. They share the stand-in's address.
	shards = 30
	// shardWork is how long a shard works on a request.
	shardWork = 200 * time.Millisecond
	// shardedDescriptors is the descriptor limit of an entry that needs connections to all shards.
	shardedDescriptors = 1600
)

// shardID returns the id of the only replica of a shard.
func shardID(i int) string { return fmt.Sprintf("shard-%02d", i) }

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	expected := request.Header.Get("X-Expected-Replica")
	sharded := strings.HasPrefix(request.URL.Path, "/scatter/")
	if _, err := io.Copy(io.Discard, request.Body); err != nil || sharded == (expected == replicaID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if sharded {
		time.Sleep(shardWork)
	}
	r.mu.Lock()
	r.ids = append(r.ids, id)
	r.mu.Unlock()
	w.Header().Set("X-Server-Stamp", expected+"/"+id)
	fmt.Fprintf(w, "%-16s", "record")
}

// all returns the IDs of what ran.
func (r *replica) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// entryHost is an entry under test with what it needs.
type entryHost struct {
	*process
	address string
	replica *replica
}

// startEntry starts an entry with a descriptor limit and waits until it is ready.
func startEntry(t *testing.T, maxFDs int) *entryHost {
	t.Helper()
	r := &replica{}
	replicaServer := httptest.NewServer(r)
	t.Cleanup(func() { replicaServer.CloseClientConnections(); replicaServer.Close() })
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"name": prefix, "host": "h", "path_prefix": prefix, "route_kind": kind, "service": "service",
			"timeout_ms": longTimeout.Milliseconds(), "target_latency_ms": 300, "max_attempts": 2}
	}
	scatter := route("/scatter/", "idempotent")
	delete(scatter, "service")
	names := []string{}
	services := []any{map[string]any{"name": "service", "max_connections": 20}}
	registration := func(service string) any {
		return map[string]any{"service": service, "address": strings.TrimPrefix(replicaServer.URL, "http://"),
			"zone": "dc", "slots": 20, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
	}
	servers := map[string]any{replicaID: registration("service")}
	for i := range shards {
		names = append(names, "service-"+shardID(i))
		services = append(services, map[string]any{"name": names[i], "max_connections": 20})
		servers[shardID(i)] = registration(names[i])
	}
	scatter["fanout_services"], scatter["min_shard_ratio"], scatter["top_k"] = names, 0.9, 5
	s := &store{revision: 1, objects: map[string]map[string]any{
		"config": {"main": map[string]any{"version": 1, "routes": []any{route("/one/", "idempotent"), route("/once/", "non_idempotent"), scatter},
			"services": services,
			"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}},
		"servers": servers,
	}}
	storeServer := httptest.NewServer(s)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	addresses := freeAddresses(t, 2)
	settings, err := json.Marshal(map[string]any{
		"node_name": "front-0", "zone": "dc", "zones": map[string]string{"dc": "r"},
		"limits":   map[string]any{"memory_mb": memoryMB, "max_fds": maxFDs, "cpu_share": 1},
		"listen":   map[string]string{"front": addresses[0], "readiness": addresses[1]},
		"platform": map[string]string{"address": strings.TrimPrefix(storeServer.URL, "http://")},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary, "-entry")
	command.Env = append(os.Environ(), "MARIGOLDLEVER_BOOT="+file)
	h := &entryHost{process: startProcess(t, command), address: addresses[0], replica: r}
	awaitReady(t, "http://"+addresses[1]+"/ready")
	return h
}

// awaitReady waits until a daemon reports that it is ready.
func awaitReady(t *testing.T, url string) {
	t.Helper()
	const startTime = 20 * time.Second
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get(url); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatalf("the daemon is not ready after %v", startTime)
}

// target returns what a crowd sends to a path of the entry.
func (h *entryHost) target(path string) target {
	return target{
		address: h.address,
		header: func(id string) string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", path, id, longTimeout.Milliseconds())
		},
		body: func(size int) string { return strings.Repeat("b", size) },
	}
}

// ask sends a whole request on a connection of its own and returns an error unless it is answered
// with a success. A body is sent in pieces of the given size, each after a pause.
func (h *entryHost) ask(target, body string, piece int, pause, limit time.Duration, id string) error {
	c, err := net.DialTimeout("tcp", h.address, limit)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit)) // fails only on a closed connection
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", target, id, limit.Milliseconds(), len(body))
	for len(body) > 0 {
		n := min(piece, len(body))
		time.Sleep(pause)
		if _, err := io.WriteString(c, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return readSuccess(c)
}

// TestEntryServesBesideACrowd guards against callers that make an entry run out of memory or
// descriptors, or hold all places for connections, without asking a whole request.
func TestEntryServesBesideACrowd(t *testing.T) {
	limit := bounds{memoryMB: memoryMB, descriptors: descriptors{all: maxDescriptors, sockets: maxDescriptors - fileDescriptors}}
	for _, kind := range bodyKinds {
		t.Run(kind.name, func(t *testing.T) {
			h := startEntry(t, maxDescriptors)
			c := h.playCrowd(t, h.target("/once/x"), kind, limit, func(t *testing.T) {
				awaitAnswer(t, "without a body", func(id string) error {
					return h.ask("GET /one/x", "", 0, 0, tryLimit, id)
				})
				awaitAnswer(t, "with a small body", func(id string) error {
					return h.ask("POST /once/x", strings.Repeat("b", 1<<10), 1<<10, 0, tryLimit, id)
				})
			})
			all := h.replica.all()
			ran := map[string]bool{}
			for _, id := range all {
				ran[id] = true
			}
			c.checkRuns(t, func(id string) bool { return ran[id] }, all)
		})
	}
}

// TestEntryServesBesideACrowdOverShards guards against callers that make an entry run out of memory
// with large bodies on a route with many shards, of which each gets the whole body.
func TestEntryServesBesideACrowdOverShards(t *testing.T) {
	limit := bounds{memoryMB: memoryMB, descriptors: descriptors{all: shardedDescriptors, sockets: shardedDescriptors - fileDescriptors}}
	for _, kind := range append(slices.Clone(bodyKinds),
		bodyKind{name: "large-all-complete", size: largeBody, complete: true},
		bodyKind{name: "large-chunks-all-complete", size: largeBody, chunk: largeBody, complete: true},
	) {
		t.Run(kind.name, func(t *testing.T) {
			h := startEntry(t, shardedDescriptors)
			c := h.playCrowd(t, h.target("/scatter/x"), kind, limit, func(t *testing.T) {
				for _, target := range []string{"GET /one/x", "GET /scatter/x"} {
					awaitAnswer(t, target, func(id string) error {
						return h.ask(target, "", 0, 0, tryLimit, id)
					})
				}
			})
			all := h.replica.all()
			ran := map[string]bool{}
			for _, id := range all {
				ran[id] = true
			}
			c.checkRuns(t, func(id string) bool { return ran[id] }, all)
		})
	}
}

// Guards against limits that a caller meets who sends the largest body, slowly, to an entry that
// has nothing else to do.
func TestEntryTakesASlowBodyInCalm(t *testing.T) {
	h := startEntry(t, maxDescriptors)
	const pieces, pause, limit = 40, 100 * time.Millisecond, 30 * time.Second
	if err := h.ask("POST /once/x", strings.Repeat("b", bodyLimit), bodyLimit/pieces, pause, limit, "slow"); err != nil {
		t.Error(err)
	}
}
