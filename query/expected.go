package query

import (
	"math"
	"time"
)

// tieMargin is the difference of expected latencies, in mean latencies of the group, up to
// which replicas share the requests if the best of them reports its load. Hosts that know
// similar reports would otherwise all choose the same replica.
const tieMargin = 0.15

// pickLeastExpected returns the replica of the set with the lowest expected
// latency. A replica in another data centre is chosen only if it is clearly faster,
// because traffic between data centres is expensive and adds latency.
func (m *Machine) pickLeastExpected(now time.Time, s *service, set uint64) int {
	best, bestCost := 0, math.Inf(1)
	meanLatency := s.groupStats.meanLatency()
	var costs [maxReplicas]float64
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
		costs[i] = cost
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if s.replicas[best].stats.load.Known() {
		best = m.pickWithinMargin(s, set, costs[:len(s.replicas)], bestCost+tieMargin*meanLatency)
	}
	return best
}

// pickWithinMargin returns a random replica of the set. The probability of a replica is
// proportional to the amount by which its cost is below the limit. One pass suffices: each
// replica takes the place of the chosen one with the probability of its part of the sum so far.
func (m *Machine) pickWithinMargin(s *service, set uint64, costs []float64, limit float64) int {
	chosen, sum := 0, 0.0
	for i, cost := range costs {
		if set&(1<<i) == 0 || cost >= limit {
			continue
		}
		sum += limit - cost
		if m.rng.Float64()*sum < limit-cost {
			chosen = i
		}
	}
	return chosen
}
