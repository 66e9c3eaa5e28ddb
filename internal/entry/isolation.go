package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// isolated reports whether this host reaches the replicas of too few shards of a route,
// although enough shards have usable replicas. The balancer should then send callers to
// hosts in other data centres, which can reach more of them.
func (e *Entry) isolated(now time.Time) bool {
	table := e.view.table.Load()
	if table == nil || len(e.reach.unreachable()) == 0 {
		return false
	}
	for route := range table.All() {
		if len(route.Shards) == 0 {
			continue
		}
		if a := e.availability(now, route, route.Shards); a.reachable < a.required && a.withReplica >= a.required {
			return true
		}
	}
	return false
}

// isolatedRetryAfter returns when a caller that was refused because too few replicas
// are reachable should retry: once the balancer has noticed and sends it to a host of
// another data centre.
func isolatedRetryAfter(route *routing.Route, unreachableFor time.Duration) time.Duration {
	return max(balancerLag-unreachableFor, refusedRetryAfter(route))
}
