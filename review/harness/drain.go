package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = lateRequestDuringStop }

// route is the operator's configuration of one route to a single service.
func route(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": "yards.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 500, "priority": 2, "service": service, "max_attempts": 2,
	}
}

func configuration(version int, routes ...map[string]any) map[string]any {
	names := map[any]bool{}
	services := []map[string]any{}
	for _, r := range routes {
		if names[r["service"]] {
			continue
		}
		names[r["service"]] = true
		services = append(services, map[string]any{
			"name": r["service"], "health_path": "/health", "max_connections": 49, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 50.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

const (
	yardTimeout = 5 * time.Second
	// longWork is the work time of a request at its replica.
	longWork = 1900 * time.Millisecond
	// clients is the number of clients with a kept connection. They send one request
	// each, clientInterval apart.
	clients        = 11
	clientInterval = 380 * time.Millisecond
	// excusedUntil is the time after SIGTERM up to which the rule excuses requests that
	// are still in progress in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
)

// lateRequestDuringStop sends requests on kept connections during a planned stop.
func lateRequestDuringStop(w *world) (bool, error) {
	var r *replica
	r, err := startReplica("i-1", "yards", w.log, func(e exchangeAtReplica) (string, string, string) {
		if e.target == "/totals/long" {
			time.Sleep(longWork)
		}
		return "200 OK", r.stamp(e.id), "the whole body"
	})
	if err != nil {
		return false, err
	}
	w.store.put("servers", r.id, r.registration())
	w.store.put("config", "main", configuration(1, route("/totals/", "non_idempotent", "yards", yardTimeout)))
	d, err := w.startDaemon("front-zone-a-1", abayWiki)
	if err != nil {
		return false, err
	}
	kept := make([]*client, clients)
	for i := range kept {
		if kept[i], err = dial(d.caller); err != nil {
			return false, err
		}
		defer kept[i].Close()
		a := kept[i].do("/totals/short", fmt.Sprintf("first-%d", i), yardTimeout, "slip")
		w.log.printf("client %d opens its connection; answer to first-%d: %v", i, i, a)
		if a.status != http.StatusOK {
			return false, errors.New("no answer before the disruption")
		}
	}
	// The machine has been in touch for contact_ms when the stop begins.
	time.Sleep(time.Duration(abayWiki.contactMS) * time.Millisecond)
	begin := time.Now()
	if w.trouble {
		w.log.printf("SIGTERM")
		if err := d.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var group sync.WaitGroup
	var lost atomic.Int64
	for i, c := range kept {
		id, at := fmt.Sprintf("second-%d", i), time.Duration(i)*clientInterval
		group.Go(func() {
			time.Sleep(time.Until(begin.Add(at)))
			w.log.printf("client %d sends %s on its kept connection, %v after SIGTERM", i, id, at)
			a := c.do("/totals/long", id, yardTimeout, "slip")
			w.log.printf("answer to %s: %v; runs: %d", id, a, r.runsOf(id))
			if a.status == 0 && a.took < yardTimeout && r.runsOf(id) > 0 {
				w.log.printf("LOST: %s was sent %v after SIGTERM and passed on to a sound replica; its connection ended without an answer %v later", id, at, a.took.Round(time.Millisecond))
				if at > excusedUntil {
					lost.Add(1)
				}
			}
		})
	}
	group.Wait()
	time.Sleep(longWork) // the replica finishes its work
	select {
	case err := <-d.exited:
		w.log.printf("the process has ended: %v", err)
	default:
	}
	w.log.printf("requests sent later than %v after SIGTERM and lost: %d", excusedUntil, lost.Load())
	return lost.Load() > 0, nil
}
