package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["promise"] = failedRunsOfReplica }

const (
	payoutReplicas = 8
	payoutClients  = 24
	payoutInterval = 100 * time.Millisecond
	payoutWork     = 60 * time.Millisecond
	// One replica fails 2 of greyPeriod requests for greyTime.
	greyTime   = 6500 * time.Millisecond
	greyPeriod = 5
)

// failedRunsOfReplica sends requests that are not idempotent to several replicas. One of
// them fails part of its requests: it has begun to work on them and answers 503 without
// X-Not-Executed.
func failedRunsOfReplica(w *world) (bool, error) {
	replicas := make([]*replica, payoutReplicas)
	for i := range replicas {
		var r *replica
		var served atomic.Int64
		r, err := startReplica(fmt.Sprintf("i-%d", i), "payouts", w.log, func(e exchangeAtReplica) (string, string, string) {
			time.Sleep(payoutWork)
			if w.trouble && i == 0 && served.Add(1)%greyPeriod < 2 {
				return "503 Service Unavailable", r.stamp(e.id), "the slip is written, its receipt failed"
			}
			return "200 OK", r.stamp(e.id), "the receipt"
		})
		if err != nil {
			return false, err
		}
		r.quiet = i != 0
		replicas[i] = r
		w.store.put("servers", r.id, r.registration())
	}
	w.store.put("config", "main", configuration(1, route("/payouts/", "non_idempotent", "payouts", yardTimeout)))
	d, err := w.startDaemon("front-zone-a-1", abayWiki)
	if err != nil {
		return false, err
	}
	var sent, refusedAndRun atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(greyTime)
	for number := range payoutClients {
		c, err := dial(d.caller)
		if err != nil {
			return false, err
		}
		defer c.Close()
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("payout-%d-%d", number, n)
				a := c.do("/payouts/x", id, yardTimeout, "slip")
				sent.Add(1)
				if a.status != http.StatusOK {
					w.log.printf("answer to %s: %v; runs: %d", id, a, runsOf(replicas, id))
				}
				if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && runsOf(replicas, id) > 0 {
					w.log.printf("REFUSED: %s was answered %d, which promises that it has not run, and has run", id, a.status)
					refusedAndRun.Add(1)
				}
				time.Sleep(payoutInterval)
			}
		})
	}
	group.Wait()
	w.log.printf("of %d requests, %d were answered 429 or 503 and have run", sent.Load(), refusedAndRun.Load())
	return refusedAndRun.Load() > 0, nil
}

// runsOf returns how often the replicas have run a request.
func runsOf(replicas []*replica, id string) int {
	n := 0
	for _, r := range replicas {
		n += r.runsOf(id)
	}
	return n
}
