package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// enoughInReach reports whether a route's answer is possible with the replicas that
// this host can reach. While all data centres are in reach, a lack of replicas is
// left to the query, as any other host would see the same.
func (e *Entry) enoughInReach(now time.Time, route *routing.Route) bool {
	if !e.reach.anyOut() {
		return true
	}
	names, need := route.Shards, leastParts(route.MinimumShare, len(route.Shards))
	if len(names) == 0 {
		for _, w := range route.Services {
			names = append(names, w.Service)
		}
		need = 1
	}
	all := e.view.inReach(now, names, func(string) bool { return false })
	return e.view.inReach(now, names, e.reach.out) >= min(need, all)
}

// cutOff reports whether this host can answer none of the routes with shards for
// lack of reach, so that the balancer should send callers to others.
func (e *Entry) cutOff(now time.Time) bool {
	table := e.view.table.Load()
	if table == nil || !e.reach.anyOut() {
		return false
	}
	scattered, possible := 0, 0
	for route := range table.All() {
		if len(route.Shards) == 0 {
			continue
		}
		scattered++
		if e.enoughInReach(now, route) {
			possible++
		}
	}
	return scattered > 0 && possible == 0
}
