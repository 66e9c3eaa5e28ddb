package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/loopback"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 8*time.Second, "duration of the fault injection for each seed")
)

const (
	minimumShare = 0.75 // of the parts of a response
	// maxAttempts is the maximum number of replicas of a shard that may get a request.
	maxAttempts = 2
	drainTime   = 3 * time.Second
	// routeTimeout is the timeout of the routes, unless a test changes it.
	routeTimeout = 900 * time.Millisecond
	// grace is the time that the platform leaves between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// settleTime is how long the effects of a fault may last after it has ended. It
	// equals the setting contact_ms of the hosts.
	settleTime = 4 * time.Second
	// hostMemoryMB is the memory limit of a host.
	hostMemoryMB = 200
)

// tierSize is the size of a tier of hosts and of the replicas behind it.
type tierSize struct{ hosts, strong, shards, replicas int }

// sizes are the tier sizes, which alternate with the seed. In the larger tier, one host
// watches the store for the others, and two hosts with more cores handle the requests over
// all shards for the others.
var sizes = []tierSize{{hosts: 3, shards: 4, replicas: 2}, {hosts: 8, strong: 2, shards: 24, replicas: 3}}

// regressions maps seeds that failed in the past to the cause.
var regressions = map[uint64]string{}

// TestSoak checks the guarantees to callers and replicas under consecutive and overlapping
// faults: complete and correct responses, at most one run of a non-idempotent request, no run
// of a request that was reported as not run, planned stops that abort no request, no requests
// to a replica that has drained or said that it is leaving or paused, and a bounded memory.
func TestSoak(t *testing.T) {
	binary := buildHost(t)
	allSeeds := make([]uint64, 0, *seeds+len(regressions))
	for i := range *seeds {
		allSeeds = append(allSeeds, *firstSeed+uint64(i))
	}
	for seed := range regressions {
		allSeeds = append(allSeeds, seed)
	}
	for _, seed := range allSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// buildHost builds the program of the hosts.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marigoldleverd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/marigoldleverd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// host is one host process of the system under test.
type host struct {
	name, caller, readiness string
	settings                string
	storeRelay              *relay
	mu                      sync.Mutex
	command                 *exec.Cmd
	output                  bytes.Buffer
	lastDisturbance         time.Time // end of the last kill or pause
}

// fleet is the system under test together with the store and the replicas that it uses.
type fleet struct {
	t              *testing.T
	binary         string
	tierSize       tierSize
	store          *store
	storeAddress   string
	hosts          []*host
	counter        *runCounter
	starts         atomic.Int64 // of host processes
	stop           chan struct{}
	grace          time.Duration
	memoryMB       int                 // the memory limit of a host
	timeout        time.Duration       // of the routes
	environment    []string            // of the hosts, besides the one of the test
	run            func(*http.Request) // of each replica; may be nil
	faultMu        sync.Mutex
	lastStoreFault time.Time // end of the last store fault

	mu       sync.Mutex
	replicas []*replica
	refused  []string // IDs of requests that were reported as not run
	sentOnce []string // IDs of non-idempotent requests
	answered int
}

func runSeed(t *testing.T, binary string, seed uint64) {
	f := newFleet(t, binary, sizes[seed%uint64(len(sizes))], grace)
	f.startTier(nil)
	var callers sync.WaitGroup
	for i := range concurrentCallers {
		callers.Go(func() { f.sendRequests(rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	f.injectFaults(rand.New(rand.NewPCG(seed, 1000)))
	close(f.stop)
	callers.Wait()
	f.checkAfterRun()
}

// newFleet returns a fleet without hosts and replicas.
func newFleet(t *testing.T, binary string, size tierSize, grace time.Duration) *fleet {
	f := &fleet{
		t: t, binary: binary, tierSize: size, store: newStore(), grace: grace, memoryMB: hostMemoryMB, timeout: routeTimeout, stop: make(chan struct{}),
		counter: newRunCounter(),
	}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f.storeAddress = strings.TrimPrefix(server.URL, "http://")
	return f
}

// startTier registers the replicas, writes the first configuration with added routes, and starts
// the hosts.
func (f *fleet) startTier(added []any) {
	for i, name := range f.shardNames() {
		for j := range f.tierSize.replicas {
			f.addReplica(name, fmt.Sprintf("i-%d-%d", i, j))
		}
	}
	f.configureWith(1, added)
	for i := range f.tierSize.hosts {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	f.startAll()
}

// startAll starts the hosts and waits until they are ready.
func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
	f.t.Cleanup(f.killAll)
	for _, h := range f.hosts {
		f.awaitReady(h)
	}
}

func shardName(i int) string { return fmt.Sprintf("shard-%02d", i) }

func (f *fleet) shardNames() []string {
	names := make([]string, f.tierSize.shards)
	for i := range names {
		names[i] = shardName(i)
	}
	return names
}

// minimumParts returns the number of parts that a response must have.
func (f *fleet) minimumParts() int { return int(minimumShare * float64(f.tierSize.shards)) }

func (f *fleet) addReplica(service, id string) {
	r := startReplica(f.t, service, id, f.counter, f.run)
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	f.store.put("servers", id, r.registration("ready"))
}

func (f *fleet) configure(version uint64) { f.configureWith(version, nil) }

// configureWith writes a version of the configuration with added routes.
func (f *fleet) configureWith(version uint64, added []any) {
	names := f.shardNames()
	services := []map[string]any{}
	for _, name := range names {
		services = append(services, map[string]any{"name": name, "max_connections": 30})
	}
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"name": prefix, "host": "h", "path_prefix": prefix, "route_kind": kind, "timeout_ms": f.timeout.Milliseconds(), "target_latency_ms": 300, "max_attempts": maxAttempts}
	}
	scatter, once := route("/scatter/", "idempotent"), route("/once/", "non_idempotent")
	scatter["fanout_services"], scatter["top_k"], scatter["min_shard_ratio"] = names, 2, minimumShare
	once["service"] = names[0]
	f.store.put("config", "main", map[string]any{"version": version, "routes": append([]any{scatter, once}, added...), "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

func (f *fleet) newHost(number int) *host {
	name, cores := fmt.Sprint("front-", number), 0.2
	if number < f.tierSize.strong {
		cores = 0.8
	}
	h := &host{name: name, caller: freeAddress(f.t), readiness: freeAddress(f.t), storeRelay: startRelay(f.t, f.storeAddress)}
	h.settings = filepath.Join(f.t.TempDir(), "boot.json")
	internal := []int{freePort(f.t), freePort(f.t)}
	slices.Sort(internal)
	data, err := json.Marshal(map[string]any{
		"node_name": name, "internal_ports": internal, "zone": "dc", "zones": map[string]string{"dc": "r"}, "limits": map[string]any{"memory_mb": f.memoryMB, "cpu_share": cores},
		"listen":   map[string]string{"front": h.caller, "readiness": h.readiness},
		"bounds":   map[string]any{"drain_ms": 3000, "contact_ms": 4000, "grace_s": f.grace.Seconds(), "config_apply_ms": 3000, "evacuation_ms": 5000, "retry_budget_ratio": 0.2, "retry_budget_slack": 50, "budget_window_s": 10, "cold_slack": 5},
		"platform": map[string]string{"address": h.storeRelay.address()},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return h
}

func freeAddress(t *testing.T) string {
	t.Helper()
	addresses, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return addresses[0]
}

func freePort(t *testing.T) int {
	t.Helper()
	_, text, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (f *fleet) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.starts.Add(1)
	h.command = exec.Command(f.binary, "-entry")
	h.command.Env = append(os.Environ(), append(f.environment, "MARIGOLDLEVER_BOOT="+h.settings)...)
	h.command.Stdout, h.command.Stderr = &h.output, &h.output
	if err := h.command.Start(); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) killAll() {
	offloaded := 0
	defer func() {
		if f.tierSize.strong > 0 && offloaded == 0 {
			f.t.Error("no request was handled by a stronger host")
		}
	}()
	for _, h := range f.hosts {
		// A process that has already ended is not an error.
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
		offloaded += strings.Count(h.output.String(), ` by="front-`)
		if f.t.Failed() {
			text := h.output.String()
			f.t.Logf("%s:\n%s", h.name, text[max(0, len(text)-4000):])
		}
	}
}

func (f *fleet) awaitReady(h *host) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + h.readiness + "/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	f.t.Errorf("%s is not ready", h.name)
}

// sendRequests sends requests over keep-alive connections until stop is closed.
func (f *fleet) sendRequests(rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 1500 * time.Millisecond}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
		if rng.IntN(leaveEvery) == 0 {
			f.leaveRequest(f.hosts[rng.IntN(len(f.hosts))], fmt.Sprintf("%016x", rng.Uint64()))
		}
		f.sendRequest(client, f.hosts[rng.IntN(len(f.hosts))], fmt.Sprintf("%016x", rng.Uint64()), rng.IntN(3) == 0)
	}
}

func (f *fleet) sendRequest(client *http.Client, h *host, id string, once bool) {
	method, path := http.MethodGet, "/scatter/x"
	if once {
		method, path = http.MethodPost, "/once/x"
		f.mu.Lock()
		f.sentOnce = append(f.sentOnce, id)
		f.mu.Unlock()
	}
	request, err := http.NewRequest(method, "http://"+h.caller+path, strings.NewReader(strings.Repeat("b", 10)))
	if err != nil {
		f.t.Error(err)
		return
	}
	request.GetBody = nil // otherwise net/http may resend the request
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1000")
	startedAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		f.checkMissingResponse(h, id, startedAt, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		f.checkMissingResponse(h, id, startedAt, err)
		return
	}
	f.checkResponse(id, once, response, string(body))
}

// leaveEvery is the number of requests of a caller for each one that it leaves.
const leaveEvery = 30

// leaveRequest sends a request, ends the sending side of the connection and reads on: what
// comes must be no success, unless it is whole.
func (f *fleet) leaveRequest(h *host, id string) {
	c, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return // the host is ending or starting
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond)) // fails only on a closed connection
	fmt.Fprintf(c, "GET /scatter/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", id)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the connection may have been reset
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if body, err := io.ReadAll(response.Body); err == nil {
		f.checkResponse(id, false, response, string(body))
	}
}

// checkMissingResponse checks a request without a response. This is allowed only if a kill
// or a pause of the host may still have had an effect, or if the connection was closed and no
// run was counted, as when it is closed before the host has read the request.
func (f *fleet) checkMissingResponse(h *host, id string, startedAt time.Time, err error) {
	text := err.Error()
	connectionClosed := strings.Contains(text, "refused") || strings.Contains(text, "server closed idle connection") || strings.Contains(text, "connection reset") || strings.Contains(text, "EOF") || strings.Contains(text, "broken pipe")
	if !h.undisturbedSince(startedAt) || (connectionClosed && f.counter.runsOf(id) == 0) {
		return
	}
	f.t.Errorf("LOST: %s got no response from %s after %v: %v", id, h.name, time.Since(startedAt), err)
}

func (f *fleet) checkResponse(id string, once bool, response *http.Response, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		f.refused = append(f.refused, id)
	case response.StatusCode != http.StatusOK:
	case once:
		if stamp := response.Header.Get("X-Server-Stamp"); !strings.HasSuffix(stamp, "/"+id) || len(body) != 16 {
			f.t.Errorf("MIXED: %s was answered with %q, signature %q", id, body, stamp)
		}
	default:
		f.checkParts(id, response, body)
	}
}

func (f *fleet) checkParts(id string, response *http.Response, body string) {
	var services []string
	for _, stamp := range strings.Split(response.Header.Get("X-Part-Stamps"), ",") {
		parts := strings.Split(strings.TrimSpace(stamp), "/")
		if len(parts) != 3 || parts[2] != id {
			f.t.Errorf("MIXED: %s has the signature %q", id, stamp)
			return
		}
		services = append(services, parts[0])
	}
	sort.Sort(sort.Reverse(sort.StringSlice(services)))
	want := ""
	for i, s := range services {
		if i > 0 && s == services[i-1] {
			f.t.Errorf("MIXED: %s has two parts of %s", id, s)
		}
		if i < 2 {
			want += fmt.Sprintf("%-16s", s)
		}
	}
	if missing := fmt.Sprint(f.tierSize.shards - len(services)); len(services) < f.minimumParts() || response.Header.Get("X-Missing-Parts") != missing || body != want {
		f.t.Errorf("MIXED: %s has %d parts, %s missing, body %q, want %q", id, len(services), response.Header.Get("X-Missing-Parts"), body, want)
	}
}

// checkRuns checks what the replicas ran against what callers were told.
func (f *fleet) checkRuns() {
	time.Sleep(300 * time.Millisecond) // replicas may still be running requests
	for _, id := range f.sentOnce {
		if n := f.counter.runsOf(id); n > 1 {
			f.t.Errorf("TWICE: %s ran %d times", id, n)
		}
	}
	for _, id := range f.refused {
		if f.counter.ran(id) {
			f.t.Errorf("REFUSED: %s was reported as not run, but ran", id)
		}
	}
	f.counter.checkSpread(f.t)
}

// checkAfterRun checks the guarantees that hold over the whole run.
func (f *fleet) checkAfterRun() {
	f.checkRuns()
	f.checkHostsListed()
	for _, h := range f.hosts {
		f.checkMemory(h)
	}
	const minimumAnswers = 50
	if f.answered < minimumAnswers {
		f.t.Errorf("got %d responses, want at least %d", f.answered, minimumAnswers)
	}
}
