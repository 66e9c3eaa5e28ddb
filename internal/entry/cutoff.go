package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// cutOff reports whether a route with shards has too few replicas in reach of this
// host, though it has enough in all data centres. The balancer should then send callers
// to other hosts, which can answer more.
func (e *Entry) cutOff(now time.Time) bool {
	table := e.view.table.Load()
	if table == nil || len(e.reach.outOfReach()) == 0 {
		return false
	}
	for route := range table.All() {
		if len(route.Shards) == 0 {
			continue
		}
		if p := e.prospect(now, route, route.Shards); p.inReach < p.need && p.known >= p.need {
			return true
		}
	}
	return false
}

// cutOffRetry returns when a caller that was refused for lack of reach is to come back:
// once the balancer has noticed and sends it to a host of another data centre.
func cutOffRetry(route *routing.Route, out time.Duration) time.Duration {
	return max(balancerLag-out, refusedAfter(route))
}
