package entry

import (
	"context"
	"math"
	"math/big"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// targetMargin is the share of the target latency that is left for the way
	// between the caller and this host when its time is not known.
	targetMargin = 0.12
	// answerMargin is left beside the time that answers have taken from the goal to
	// their last byte, for the time in which a request that has arrived waits to be
	// read.
	answerMargin = 2 * time.Millisecond
	// finishShare of the time to answer is left at its end to write the answer,
	// within finishLeast and finishMost.
	finishShare = 0.02
	finishLeast = 2 * time.Millisecond
	finishMost  = 20 * time.Millisecond
	// hedgeQuantile is the share of sub-requests that get no hedge.
	hedgeQuantile = 0.9
	// firstHedge is the share of the target latency after which a hedge is sent
	// while too few latencies are known.
	firstHedge = 0.4
	// retryInterval is the wait between looks at an empty budget.
	retryInterval = 4 * time.Millisecond
	// notReadyRetry is how long a caller waits when this host can't serve yet.
	notReadyRetry = 200 * time.Millisecond
	// refusedRetry is the share of the target latency after which a caller whose
	// request did not run comes back.
	refusedRetry = 0.2
)

// servicesOf returns the services that a request of a route is for: all shards, or the
// one service that is to run it.
func servicesOf(route *routing.Route) []string {
	if len(route.Shards) > 0 {
		return route.Shards
	}
	return []string{route.Pick(rand.Float64())}
}

// plan describes a request as a query over its services.
func (e *Entry) plan(id string, route *routing.Route, services []query.Service, wait time.Duration) query.Plan {
	finishMargin := min(max(time.Duration(finishShare*float64(wait)), finishLeast), finishMost)
	target := route.TargetLatency
	if target <= 0 {
		target = wait
	}
	plan := query.Plan{
		ID: id, Contract: route.Name,
		Groups: []query.Group{{
			Name:     route.Name,
			Services: services,
		}},
		AnswerTime:      wait,
		MinimumCoverage: minimumCoverage(route.MinimumShare, len(services)),
		Prefer:          query.PreferCoverage,
		AtMostOnce:      !route.Idempotent,
		LocalDataCentre: e.settings.DataCentre,
		Tuning: query.Tuning{
			Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: hedgeQuantile,
			HedgeDelay:   time.Duration(firstHedge * float64(target)),
			FinishMargin: finishMargin, RetryInterval: retryInterval, MaxTries: route.MaxAttempts,
		},
	}
	if len(route.Shards) > 0 {
		plan.Prefer = query.PreferLatency
	}
	return plan
}

// refusedAfter returns when a caller whose request did not run is to come back.
func refusedAfter(route *routing.Route) time.Duration {
	return time.Duration(refusedRetry * float64(route.TargetLatency))
}

// goalOf returns the time from now at which the last byte of an answer has to leave this
// host to reach the caller within the target latency.
func (e *Entry) goalOf(ctx context.Context, route *routing.Route, wait time.Duration) time.Duration {
	target := route.TargetLatency
	if target <= 0 {
		return wait
	}
	way, known := wayTime(ctx)
	if !known {
		way = time.Duration(targetMargin * float64(target))
	}
	return target - way - answerMargin
}

// leastParts returns the number of parts that have the share of n. The product may be
// off by rounding.
func leastParts(share float64, n int) int {
	const rounding = 1e-9
	return int(math.Ceil(share*float64(n) - rounding))
}

// minimumCoverage returns the least coverage with which an answer has the share of
// n parts. Half a part is left, as the ranges of the parts differ by rounding.
func minimumCoverage(share float64, n int) *big.Rat {
	need := int64(leastParts(share, n))
	return big.NewRat(max(2*need-1, 1), int64(2*n))
}

// allowedIn returns whether replicas of a data centre may run requests of a route.
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

// partitions keeps the equal divisions of the hash space among n services.
type partitions struct{ known sync.Map }

func (p *partitions) of(n int) []query.Service {
	if s, ok := p.known.Load(n); ok {
		return s.([]query.Service)
	}
	s := make([]query.Service, n)
	for i, r := range upstream.Split(n) {
		s[i].Partition = r
	}
	p.known.Store(n, s)
	return s
}
