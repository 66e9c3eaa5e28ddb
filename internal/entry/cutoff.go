package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// reachable is what a route needs for an answer and what there is of it.
type reachable struct {
	need    int // services that need a replica
	all     int // services that have a replica in any data centre
	inReach int // services that have one in a data centre in reach
}

func (e *Entry) reachable(now time.Time, route *routing.Route) reachable {
	names, need := route.Shards, leastParts(route.MinimumShare, len(route.Shards))
	if len(names) == 0 {
		for _, w := range route.Services {
			names = append(names, w.Service)
		}
		need = 1
	}
	return reachable{
		need:    need,
		all:     e.view.inReach(now, names, func(string) bool { return false }),
		inReach: e.view.inReach(now, names, e.reach.out),
	}
}

// enoughInReach reports whether a route's answer is possible with the replicas that
// this host can reach. While all data centres are in reach, a lack of replicas is
// left to the query, as any other host would see the same.
func (e *Entry) enoughInReach(now time.Time, route *routing.Route) bool {
	if !e.reach.anyOut() {
		return true
	}
	r := e.reachable(now, route)
	return r.inReach >= min(r.need, r.all)
}

// cutOff reports whether a route with shards has too few replicas in reach of this
// host, though it has enough in all data centres. The balancer should then send callers
// to other hosts, which can answer more.
func (e *Entry) cutOff(now time.Time) bool {
	table := e.view.table.Load()
	if table == nil || !e.reach.anyOut() {
		return false
	}
	for route := range table.All() {
		if len(route.Shards) == 0 {
			continue
		}
		if r := e.reachable(now, route); r.inReach < r.need && r.all >= r.need {
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
