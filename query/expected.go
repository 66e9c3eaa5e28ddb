package query

import (
	"math"
	"time"
)

// leastExpected returns the replica of the set whose reply is expected first.
// A replica of another data centre has to be clearly faster, since what is sent
// between data centres costs and adds latency.
func (m *Machine) leastExpected(now time.Time, s *service, set uint64) int {
	best, bestCost := 0, math.Inf(1)
	usual := s.groupStats.usual()
	offset := m.rng.IntN(len(s.replicas))
	for n := range s.replicas {
		i := (n + offset) % len(s.replicas)
		if set&(1<<i) == 0 {
			continue
		}
		cost := s.replicas[i].stats.expected(now, usual)
		if s.replicas[i].dataCentre != m.plan.LocalDataCentre {
			cost += awayCost * usual
		}
		if s.replicas[i].outOfReach {
			cost += outOfReachCost * usual
		}
		if s.replicas[i].unconnected {
			cost += connectCost * usual
		}
		if s.replicas[i].lapsed {
			cost += lapsedCost * usual
		}
		if s.replicas[i].cold {
			cost += coldCost * usual
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
