package entry

import (
	"context"
	"math"
	"math/big"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// networkMarginShare of the target latency is reserved for the network between the
	// caller and this host when the round-trip time is not known.
	networkMarginShare = 0.12
	// answerMargin is reserved, in addition to the network time and to the measured time
	// between the latency goal and the last byte of an answer, for the time that a
	// request waits in the socket buffer before it is read.
	answerMargin = 2 * time.Millisecond
	// acceptTime is the processor time that accepting a connection and reading a request
	// takes before the request's clock starts. On a host with a fraction of a core it takes
	// acceptTime divided by the fraction.
	acceptTime = 1200 * time.Microsecond
	// finishShare of the timeout is reserved at its end for writing the answer, within
	// minFinishMargin and maxFinishMargin.
	finishShare     = 0.02
	minFinishMargin = 2 * time.Millisecond
	maxFinishMargin = 20 * time.Millisecond
	// hedgeQuantile is the share of sub-requests that get no hedge.
	hedgeQuantile = 0.9
	// initialHedgeShare of the target latency is the hedge delay while too few
	// latencies are known.
	initialHedgeShare = 0.4
	// retryInterval is the time between checks of an exhausted retry budget.
	retryInterval = 4 * time.Millisecond
	// notReadyRetry is the Retry-After time while this host can't serve yet.
	notReadyRetry = 200 * time.Millisecond
	// refusedRetryShare of the target latency is the Retry-After time of a request that
	// has not run.
	refusedRetryShare = 0.2
)

// servicesOf returns the services that a request of a route needs: all shards, or one
// service chosen by weight.
func servicesOf(route *routing.Route) []string {
	if len(route.Shards) > 0 {
		return route.Shards
	}
	return []string{route.Pick(rand.Float64())}
}

// plan returns the query for a request.
func (e *Entry) plan(id string, route *routing.Route, services []query.Service, timeout time.Duration) query.Plan {
	finishMargin := min(max(time.Duration(finishShare*float64(timeout)), minFinishMargin), maxFinishMargin)
	target := route.TargetLatency
	if target <= 0 {
		target = timeout
	}
	plan := query.Plan{
		ID: id, Contract: route.Name,
		Groups: []query.Group{{
			Name:     route.Name,
			Services: services,
		}},
		AnswerTime:      timeout,
		MinimumCoverage: minimumCoverage(route.MinimumShare, len(services)),
		Prefer:          query.PreferCoverage,
		AtMostOnce:      !route.Idempotent,
		LocalDataCentre: e.settings.DataCentre,
		Tuning: query.Tuning{
			Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: hedgeQuantile,
			HedgeDelay:   time.Duration(initialHedgeShare * float64(target)),
			FinishMargin: finishMargin, RetryInterval: retryInterval, MaxTries: route.MaxAttempts,
		},
	}
	if len(route.Shards) > 0 {
		plan.Prefer = query.PreferLatency
	}
	return plan
}

// refusedRetryAfter returns the Retry-After time of a request that has not run.
func refusedRetryAfter(route *routing.Route) time.Duration {
	return time.Duration(refusedRetryShare * float64(route.TargetLatency))
}

// latencyGoalFor returns the time from now by which the last byte of an answer must
// leave this host to reach the caller within the target latency.
func (e *Entry) latencyGoalFor(ctx context.Context, route *routing.Route, timeout time.Duration) time.Duration {
	target := route.TargetLatency
	if target <= 0 {
		return timeout
	}
	network, known := callers.FromContext(ctx).NetworkTime()
	if !known {
		network = time.Duration(networkMarginShare * float64(target))
	}
	return target - network - answerMargin - e.acceptDelay()
}

// acceptDelay returns how long a request has waited on this host before its clock starts.
func (e *Entry) acceptDelay() time.Duration {
	if cores := e.settings.Cores; cores > 0 {
		return time.Duration(float64(acceptTime) / cores)
	}
	return 0
}

// minParts returns the smallest number of parts that is at least the share of n,
// allowing for rounding errors of the product.
func minParts(share float64, n int) int {
	const rounding = 1e-9
	return int(math.Ceil(share*float64(n) - rounding))
}

// minimumCoverage returns the smallest coverage of an answer with at least the share of
// n parts. It is lower by half a part, because the parts' hash ranges differ in size by
// rounding.
func minimumCoverage(share float64, n int) *big.Rat {
	required := int64(minParts(share, n))
	return big.NewRat(max(2*required-1, 1), int64(2*n))
}

// allowedIn returns a function that reports whether replicas in a data centre may run
// requests of a route.
func (e *Entry) allowedIn(route *routing.Route) func(string) bool {
	return func(dataCentre string) bool {
		if len(route.Regions) == 0 {
			return true
		}
		for _, region := range route.Regions {
			if e.settings.Regions[dataCentre] == region {
				return true
			}
		}
		return false
	}
}

// partitions caches the division of the hash space into n equal parts, for the numbers of
// parts in use.
type partitions struct {
	mu      sync.Mutex
	byCount map[int][]query.Service
}

// maxPartitions limits the numbers of parts whose division is cached.
const maxPartitions = 32

func (p *partitions) equal(n int) []query.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.byCount[n]; ok {
		return s
	}
	s := make([]query.Service, n)
	for i, r := range upstream.Split(n) {
		s[i].Partition = r
	}
	if p.byCount == nil || len(p.byCount) == maxPartitions {
		p.byCount = map[int][]query.Service{}
	}
	p.byCount[n] = s
	return s
}
