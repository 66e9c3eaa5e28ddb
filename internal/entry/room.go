package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// enoughRoom reports whether enough shards of a route have a replica with room for one
// more request of this host. A request that is begun without would take the room of
// others and fail.
func (e *Entry) enoughRoom(now time.Time, route *routing.Route) bool {
	if len(route.Shards) == 0 {
		return true
	}
	return e.view.withRoom(now, route.Shards, e.pool.Full) >= leastParts(route.MinimumShare, len(route.Shards))
}
