package history

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// CheckLoad checks R3: no upstream was sent more than its capacity, cold or warm.
// After an unannounced cold start each owner but the first may send its own share
// until its first reply reports the cold start (design section 6.4). Each of the
// coldStarts therefore allows as many requests above the cold floor as the other
// owners have slots. None of these requests may make the upstream fall over.
func CheckLoad(records []upstreamstandin.ReplicaRecord, coldStarts int) []Violation {
	var found []Violation
	for _, r := range records {
		allowed := int64(coldStarts * max(0, r.Slots-1))
		report := func(what string, n, limit int64) {
			if n > limit {
				found = append(found, Violation{"R3", fmt.Sprintf("replica %s: %s %d, limit %d (longest queue %.1f ms, peak offered %d of %d slots)",
					r.Replica, what, n, limit, r.LongestQueueTimeMS, r.PeakOffered, r.Slots)})
			}
		}
		report("requests that waited for a slot", r.QueuedLong, allowed)
		report("requests above the cold capacity", r.OverCapacityCold, allowed)
		report("falls", int64(r.FallOvers), 0)
		report("refused connections", r.RefusedConnections, 0)
		if r.Connections > 0 {
			report("connections", int64(r.PeakConnections), int64(r.Connections))
		}
	}
	return found
}

// CheckWorkStops checks R4 and R8: no new work arrived later than the bound after
// the data centre was taken out of service or the replica began to leave.
func CheckWorkStops(records []upstreamstandin.ReplicaRecord, bound time.Duration) []Violation {
	limit := float64(bound) / float64(time.Millisecond)
	var found []Violation
	for _, r := range records {
		if r.AfterOut.LastMS > limit {
			found = append(found, Violation{"R4", fmt.Sprintf("replica %s received work %.0f ms after its data centre was taken out of service", r.Replica, r.AfterOut.LastMS)})
		}
		if r.AfterLeave.LastMS > limit {
			found = append(found, Violation{"R8", fmt.Sprintf("replica %s received work %.0f ms after it began to leave", r.Replica, r.AfterLeave.LastMS)})
		}
	}
	return found
}
