package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// isolated reports whether a route with shards has too few replicas in reach of this
// host, though enough are registered. The balancer should then send callers to hosts in
// other data centres, which can answer.
func (e *Entry) isolated(now time.Time) bool {
	table := e.view.table.Load()
	if table == nil || len(e.reach.outOfReach()) == 0 {
		return false
	}
	for route := range table.All() {
		if len(route.Shards) == 0 {
			continue
		}
		if a := e.availability(now, route, route.Shards); a.inReach < a.required && a.withReplica >= a.required {
			return true
		}
	}
	return false
}

// isolatedRetryAfter returns when a caller that was refused because too few replicas
// are in reach should retry: once the balancer has noticed and sends it to a host of
// another data centre.
func isolatedRetryAfter(route *routing.Route, outFor time.Duration) time.Duration {
	return max(balancerLag-outFor, refusedRetryAfter(route))
}
