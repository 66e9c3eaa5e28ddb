package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

var heapTime = flag.Duration("soak.heap", 12*time.Second, "duration of TestHeapStaysLevel")

const (
	// largestObject is the largest size of an object in the store, in bytes.
	largestObject = 1 << 20
	heapSample    = 200 * time.Millisecond
	// heapParts is the number of parts of the run whose memory is compared.
	heapParts = 6
	// levelFactor is how much more the last part may take than the first one after the start.
	levelFactor = 1.15
	// heldSlackMB is how much more may be held in the last part: the changes of a list that
	// are kept for other hosts, and a version of the configuration.
	heldSlackMB = 4
	// processSlackMB is how much more memory the process may take in the last part.
	processSlackMB = 8
	// minProcessPart is the duration of a part from which on the memory of the process is
	// compared. For seconds after a burst it includes pages that the runtime hasn't returned.
	minProcessPart = time.Minute
)

// largestRoutes returns routes that fill a configuration almost to the largest size.
func largestRoutes(t *testing.T, shards []string, version uint64) []any {
	t.Helper()
	route := func(i int) map[string]any {
		return map[string]any{"name": fmt.Sprintf("added-%d-%d", version%5, i), "host": "h", "path_prefix": fmt.Sprintf("/added%d/", i), "route_kind": "idempotent", "timeout_ms": 900 + version%7,
			"target_latency_ms": 300, "max_attempts": maxAttempts, "fanout_services": shards, "top_k": 2, "min_shard_ratio": minimumShare}
	}
	data, err := json.Marshal(route(1000))
	if err != nil {
		t.Fatal(err)
	}
	const reserve = 32 << 10 // for the rest of the configuration
	routes := make([]any, (largestObject-reserve)/(len(data)+1))
	for i := range routes {
		routes[i] = route(i)
	}
	return routes
}

// Guards against memory that grows with what came and went: versions of the configuration of
// the largest size, replicas that are replaced, callers that leave.
func TestHeapStaysLevel(t *testing.T) {
	f := newFleet(t, buildHost(t), tierSize{hosts: 2, shards: 24, replicas: 2}, grace)
	f.environment = []string{"GODEBUG=gctrace=1"}
	f.startTier(largestRoutes(t, f.shardNames(), 1))
	var others sync.WaitGroup
	for i := range concurrentCallers {
		others.Go(func() { f.sendRequests(rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	others.Go(func() { f.changeEverything() })
	samples := make([][]float64, len(f.hosts))
	for end := time.Now().Add(*heapTime); time.Now().Before(end); time.Sleep(heapSample) {
		for i, h := range f.hosts {
			samples[i] = append(samples[i], anonymousMB(t, h.command.Process.Pid))
		}
	}
	close(f.stop)
	others.Wait()
	f.killAll()
	for i, h := range f.hosts {
		checkHeld(t, h.name, heldAfterCollections(h.output.String()))
		checkProcessMemory(t, h.name, samples[i])
	}
}

// changeEverything writes versions of the configuration and replaces replicas until the run
// ends.
func (f *fleet) changeEverything() {
	f.writeVersions(historyKept, func(version uint64) {
		if version%replaceEvery != 0 {
			return
		}
		f.mu.Lock()
		old := f.replicas[int(version/replaceEvery)%len(f.replicas)]
		f.mu.Unlock()
		f.exchangeReplica(old, int(version))
		f.store.put("servers", old.id, nil)
	})
}

// writeVersions writes versions of the configuration of the largest size until the run ends, and
// calls written after each. The store keeps the given number of changes.
func (f *fleet) writeVersions(kept int, written func(version uint64)) {
	const interval = 400 * time.Millisecond
	shards := f.shardNames()
	for version := uint64(2); ; version++ {
		select {
		case <-f.stop:
			return
		case <-time.After(interval):
		}
		f.configureWith(version, largestRoutes(f.t, shards, version))
		f.store.forget(kept)
		written(version)
	}
}

const (
	// historyKept is the number of changes that the store keeps in this test, like one that
	// forgets its history.
	historyKept = 50
	// replaceEvery is the number of versions for each replica that is replaced.
	replaceEvery = 5
)

// collection is what the runtime writes of a collection: the heap at its start, at its end,
// and what of it is held.
var collection = regexp.MustCompile(`\d+->\d+->(\d+) MB, \d+ MB goal`)

// heldAfterCollections returns the heap that was held after each collection, in MB.
func heldAfterCollections(output string) []float64 {
	var held []float64
	for _, match := range collection.FindAllStringSubmatch(output, -1) {
		megabytes, _ := strconv.Atoi(match[1]) // digits only
		held = append(held, float64(megabytes))
	}
	return held
}

// checkHeld compares the least that a host held in the parts of the run: a burst of
// configurations passes, what is never let go remains.
func checkHeld(t *testing.T, name string, held []float64) {
	t.Helper()
	if len(held) < 2*heapParts {
		t.Fatalf("%s: only %d collections", name, len(held))
	}
	var least, largest []float64
	for _, part := range parts(held) {
		least, largest = append(least, part[0]), append(largest, part[len(part)-1])
	}
	t.Logf("%s: heap held after %d collections, in each sixth of the run in MB: least %.0f, most %.0f", name, len(held), least, largest)
	if first, last := least[1], least[len(least)-1]; last > first*levelFactor+heldSlackMB {
		t.Errorf("%s: what is held rose from %.0f to %.0f MB", name, first, last)
	}
}

// checkProcessMemory compares the memory of a host in the parts of the run, and prints its
// figures.
func checkProcessMemory(t *testing.T, name string, samples []float64) {
	t.Helper()
	var medians, largest []float64
	for _, part := range parts(samples) {
		medians, largest = append(medians, part[len(part)/2]), append(largest, part[len(part)-1])
	}
	t.Logf("%s: memory of the process, median of each sixth of the run in MB: %.0f, largest: %.0f", name, medians, largest)
	if first, last := medians[1], medians[len(medians)-1]; *heapTime/heapParts >= minProcessPart && last > first*levelFactor+processSlackMB {
		t.Errorf("%s: the memory of the process rose from %.0f to %.0f MB", name, first, last)
	}
	if most := slices.Max(largest); most > hostMemoryMB {
		t.Errorf("%s took %.0f of %d MB", name, most, hostMemoryMB)
	}
}

// parts returns the parts of a run, each in ascending order.
func parts(samples []float64) [][]float64 {
	var sorted [][]float64
	for part := range slices.Chunk(samples, (len(samples)+heapParts-1)/heapParts) {
		sorted = append(sorted, slices.Sorted(slices.Values(part)))
	}
	return sorted
}
