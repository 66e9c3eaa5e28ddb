package entry

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
)

// prospect is what a request finds: the services that it is for, with their replicas,
// and how many of them can answer it.
type prospect struct {
	services []query.Service
	need     int // services that an answer needs
	known    int // services that have a replica
	inReach  int // services that have one in a data centre in reach
	withRoom int // services that have one with room for a request, or none at all
}

// prospect returns what a request to these services of a route finds.
func (e *Entry) prospect(now time.Time, route *routing.Route, names []string) prospect {
	services, runs := e.view.services(now, names, e.partitions.of(len(names)), e.allowedIn(route))
	p := prospect{services: services, need: 1}
	if len(route.Shards) > 0 {
		p.need = leastParts(route.MinimumShare, len(names))
	}
	out := e.reach.outOfReach()
	for _, s := range services {
		inReach, room := false, len(s.Replicas) == 0
		for i := range s.Replicas {
			r, found := &s.Replicas[i], e.pool.Availability(runs[0])
			runs = runs[1:]
			r.OutOfReach, r.Unconnected = slices.Contains(out, r.DataCentre), !found.HasIdle
			inReach, room = inReach || !r.OutOfReach, room || !found.AtLimit
		}
		if len(s.Replicas) > 0 {
			p.known++
		}
		if inReach {
			p.inReach++
		}
		if room {
			p.withRoom++
		}
	}
	return p
}

// enoughInReach reports whether an answer is possible with the replicas that this host
// can reach. A lack of replicas is left to the query, as any other host would see the
// same.
func (p *prospect) enoughInReach() bool { return p.inReach >= min(p.need, p.known) }

// enoughRoom reports whether enough shards have a replica with room for one more request
// of this host. A request that is begun without would take the room of others and fail.
// Requests to one service wait for room in the query.
func (p *prospect) enoughRoom(route *routing.Route) bool {
	return len(route.Shards) == 0 || p.withRoom >= p.need
}
