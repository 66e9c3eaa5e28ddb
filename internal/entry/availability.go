package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
)

// availability describes the services that a request needs, their replicas, and how
// many of the services can answer now.
type availability struct {
	services       []query.Service
	required       int // services needed for an answer
	withReplica    int // services with a usable replica
	reachable      int // services with a usable replica in a reachable data centre
	withConnection int // services with a usable replica to which a connection is free or may be opened, or with no replica at all
	// pauses has an element for each service whose usable replicas all want no requests
	// from this host for a while: the time until the first of them may get one. Such
	// services count as having no replica.
	pauses []pause
}

// availability returns the services of a request to a route, and which of them can
// answer.
func (e *Entry) availability(now time.Time, route *routing.Route, names []string) availability {
	services, runs, pauses := e.view.services(now, names, e.partitions.equal(len(names)), e.allowedIn(route), e.coldShare)
	a := availability{services: services, required: 1, pauses: pauses}
	if len(route.Shards) > 0 {
		a.required = minParts(route.MinimumShare, len(names))
	}
	out := e.reach.unreachable()
	for _, s := range services {
		reachable, connectable := false, len(s.Replicas) == 0
		for i := range s.Replicas {
			r, connections := &s.Replicas[i], e.pool.Availability(runs[0])
			runs = runs[1:]
			r.Unreachable, r.Unconnected = slices.Contains(out, r.DataCentre), !connections.HasIdle
			reachable, connectable = reachable || !r.Unreachable, connectable || !connections.AtLimit
		}
		if len(s.Replicas) > 0 {
			a.withReplica++
		}
		if reachable {
			a.reachable++
		}
		if connectable {
			a.withConnection++
		}
	}
	return a
}

// enoughReachable reports whether the replicas that this host can reach suffice for an
// answer. A lack of replicas does not count: it is left to the query, because any other
// host would see the same.
func (a *availability) enoughReachable() bool { return a.reachable >= min(a.required, a.withReplica) }

// enoughConnections reports whether enough shards have a replica to which this host has
// or may open a free connection. A request started without them would take connections
// from other requests and still fail. Requests to a single service wait for a connection
// in the query instead.
func (a *availability) enoughConnections(route *routing.Route) bool {
	return len(route.Shards) == 0 || a.withConnection >= a.required
}

// resumesIn returns the time until enough paused replicas may get requests again for an
// answer. It returns 0 if the pauses are not what an answer lacks.
func (a *availability) resumesIn() time.Duration {
	lacking := a.required - a.withReplica
	if lacking <= 0 || lacking > len(a.pauses) {
		return 0
	}
	byTime := func(a, b pause) int { return cmp.Compare(a.remaining, b.remaining) }
	return slices.SortedFunc(slices.Values(a.pauses), byTime)[lacking-1].remaining
}

// lacksColdShare reports whether another host might have the share of a cold replica's request
// rate that this host lacks for some service.
func (a *availability) lacksColdShare() bool {
	return slices.ContainsFunc(a.pauses, func(p pause) bool { return p.cold })
}
