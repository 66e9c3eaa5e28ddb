package drain_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/drain"
)

// The example takes a data centre out and back in, and then stops a host that has
// a request in flight.
func Example() {
	now := time.UnixMilli(1764831527000)
	cfg := drain.DefaultConfig()

	gate := drain.NewGate(cfg)
	replicas := []drain.Replica{{ID: "deed-1", DataCentre: "bole", Host: "u1"}}
	gate.SetConfiguration(now, drain.Configuration{Number: 1, Replicas: replicas})
	out := map[string]bool{"bole": true}
	gate.SetConfiguration(now, drain.Configuration{Number: 2, Out: out, Replicas: replicas})
	now = now.Add(cfg.Closing)
	permission, reason := gate.PermissionFor(now, "deed-1")
	fmt.Println(permission == drain.Closed, reason)
	resets := gate.SetConfiguration(now, drain.Configuration{Number: 3, Replicas: replicas})
	fmt.Println(resets[0].DataCentre, resets[0].Replicas, gate.LoadShare(now, "bole"))

	host := drain.NewHostLifecycle(cfg)
	host.SetConfiguration(false)
	host.Begin(now, drain.Request{Work: drain.CallerWork, Deadline: now.Add(cfg.LongestDeadline)})
	fmt.Println(host.Stop(now))
	now = now.Add(cfg.BalancerLag)
	fmt.Println(host.Tick(now))
	fmt.Println(host.SharesReleased(now))
	fmt.Println(host.End(now, drain.CallerWork))
	// Output:
	// true data_centre_out
	// bole [deed-1] 0.1
	// [{leaving}]
	// [{}]
	// []
	// [{stopped} {0 0}]
}
