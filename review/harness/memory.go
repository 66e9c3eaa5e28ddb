package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["memory"] = configurationStorms }

const (
	// addedRoutes is the largest dose of big_config, and valueBytes the store's limit on
	// the size of an object.
	addedRoutes = 350
	shardCount  = 90
	valueBytes  = 1 << 20
	// A storm is stormChanges changes, stormGap apart: one of the doses of config_storm.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	stormPause   = 1500 * time.Millisecond
	maxStorms    = 24

	memoryClients = 6
	shortWork     = 500 * time.Millisecond
	// toleratedLosses is the number of lost requests up to which the rule holds.
	toleratedLosses = 3
)

// largeConfiguration returns a version with addedRoutes routes over all shards.
func largeConfiguration(version int) map[string]any {
	c := configuration(version, route("/totals/", "idempotent", "yards", yardTimeout))
	shards := make([]string, shardCount)
	services := c["services"].([]map[string]any)
	for i := range shards {
		shards[i] = fmt.Sprintf("gate%03d", i)
		services = append(services, map[string]any{
			"name": shards[i], "health_path": "/health", "max_connections": 25, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0,
		})
	}
	routes := c["routes"].([]map[string]any)
	for i := range addedRoutes {
		r := route(fmt.Sprintf("/added%d/", i), "idempotent", "", 800*time.Millisecond+time.Duration(version%7)*time.Millisecond)
		delete(r, "service")
		r["fanout_services"], r["top_k"], r["min_shard_ratio"] = shards, 20, 0.89
		routes = append(routes, r)
	}
	c["services"], c["routes"] = services, routes
	return c
}

// memoryKB returns the memory of a process in kB, without its program file where the
// kernel tells that.
func memoryKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, field := range []string{"RssAnon:", "VmRSS:"} {
		for line := range strings.SplitSeq(string(data), "\n") {
			if text, ok := strings.CutPrefix(line, field); ok {
				return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			}
		}
	}
	return 0, errors.New("the status of the process tells no memory")
}

// configurationStorms changes a large configuration again and again, while clients send
// requests on kept connections. Like the platform, it kills the process if that exceeds
// its memory limit.
func configurationStorms(w *world) (bool, error) {
	var r *replica
	r, err := startReplica("i-1", "yards", w.log, func(e exchangeAtReplica) (string, string, string) {
		time.Sleep(shortWork)
		return "200 OK", r.stamp(e.id), "the whole body"
	})
	if err != nil {
		return false, err
	}
	r.quiet = true
	w.store.put("servers", r.id, r.registration())
	first := largeConfiguration(1)
	data, err := json.Marshal(first)
	if err != nil || len(data) > valueBytes {
		return false, fmt.Errorf("the configuration has %d bytes: %v", len(data), err)
	}
	w.store.put("config", "main", first)
	w.log.printf("operator writes version 1 with %d routes, %d bytes", addedRoutes+1, len(data))
	d, err := w.startDaemon("front-zone-a-1", abayWikiGrown)
	if err != nil {
		return false, err
	}
	if _, err := memoryKB(d.command.Process.Pid); err != nil {
		return false, err
	}
	// The machine has been in touch for contact_ms when the changes begin.
	time.Sleep(time.Duration(abayWikiGrown.contactMS) * time.Millisecond)
	stop, killed := make(chan struct{}), make(chan struct{})
	var lost atomic.Int64
	var group sync.WaitGroup
	for i := range memoryClients {
		group.Go(func() { sendUntil(w, d, r, i, stop, &lost) })
	}
	go func() {
		for {
			kb, err := memoryKB(d.command.Process.Pid)
			if err != nil {
				w.log.printf("memory can't be read: %v", err)
				return
			}
			if kb > abayWikiGrown.memoryMB<<10 {
				w.log.printf("the process takes %d kB, its limit is %d MB: the platform kills it", kb, abayWikiGrown.memoryMB)
				d.kill()
				close(killed)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	version := 1
	for storm := 1; storm <= maxStorms; storm++ {
		for range stormChanges {
			select {
			case <-killed:
			case <-time.After(stormGap):
			}
			if version++; w.trouble {
				w.store.put("config", "main", largeConfiguration(version))
			}
		}
		time.Sleep(stormPause)
		kb, err := memoryKB(d.command.Process.Pid)
		w.log.printf("storm %d has ended with version %d; the process takes %d kB (%v)", storm, version, kb, err)
		select {
		case <-killed:
			storm = maxStorms
		default:
		}
	}
	close(stop)
	group.Wait()
	w.log.printf("requests that were passed on and lost: %d", lost.Load())
	return lost.Load() > toleratedLosses, nil
}

// sendUntil sends requests on one kept connection and counts those that are lost.
func sendUntil(w *world, d *daemon, r *replica, number int, stop <-chan struct{}, lost *atomic.Int64) {
	c, err := dial(d.caller)
	if err != nil {
		w.log.printf("client %d can't connect: %v", number, err)
		return
	}
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("client-%d-%d", number, n)
		a := c.do("/totals/x", id, yardTimeout, "")
		if a.status == 0 {
			w.log.printf("answer to %s on a kept connection: %v; runs: %d", id, a, r.runsOf(id))
			if a.took < yardTimeout && r.runsOf(id) > 0 {
				lost.Add(1)
			}
			return
		}
		if a.status != http.StatusOK {
			w.log.printf("answer to %s: %v", id, a)
		}
	}
}
