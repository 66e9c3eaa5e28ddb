package query

import (
	"math"
	"time"
)

// pickLeastExpected returns the replica of the set with the lowest expected
// latency. A replica in another data centre is chosen only if it is clearly faster,
// because traffic between data centres is expensive and adds latency.
func (m *Machine) pickLeastExpected(now time.Time, s *service, set uint64) int {
	best, bestCost := 0, math.Inf(1)
	meanLatency := s.groupStats.meanLatency()
	offset := m.rng.IntN(len(s.replicas))
	for n := range s.replicas {
		i := (n + offset) % len(s.replicas)
		if set&(1<<i) == 0 {
			continue
		}
		cost := s.replicas[i].stats.expectedLatency(now, meanLatency)
		if s.replicas[i].dataCentre != m.plan.LocalDataCentre {
			cost += remoteCost * meanLatency
		}
		if s.replicas[i].unreachable {
			cost += unreachableCost * meanLatency
		}
		if s.replicas[i].unconnected {
			cost += connectCost * meanLatency
		}
		if s.replicas[i].lapsed {
			cost += lapsedCost * meanLatency
		}
		if s.replicas[i].cold {
			cost += coldCost * meanLatency
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
