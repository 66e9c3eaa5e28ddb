package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/admission"
	"github.com/marigoldlever/marigoldlever/routing"
)

// admissionConfig keeps about one request waiting for each slot in an overload. A
// reported queue length counts for half a second, in which a host gets several reports
// from a busy replica. The slowest of many parts takes several times the usual time, so
// a target latency is not at risk if it is ten times the usual time.
var admissionConfig = admission.Config{Waiting: 1, ProportionalGain: 0.2, IntegralGain: 3, MaxShare: 0.8, MaxReportAge: 500 * time.Millisecond, TargetFraction: 0.1}

// overload guards an admission.Controller that all requests of this host share, and the demand
// that its refusals are divided among.
type overload struct {
	registry metrics.Registry
	refused  metrics.Counter

	mu         sync.Mutex
	controller *admission.Controller
	// demand holds the recent requests by pool, which is a set of services that requests need.
	// Its key is the first of them by name.
	demand map[string]*admission.Demand
}

// rank is what decides which requests are refused first in an overload.
type rank struct {
	class admission.Class
	// weight is the account's part in a fair division: its quota, or 1 without one.
	weight float64
}

// rankOf returns the rank of a request of an account on a route. The account may be nil.
// Accounts share in proportion to their quotas.
func rankOf(route *routing.Route, account *routing.Account) rank {
	r := rank{class: admission.Class{Priority: route.PriorityOf(account)}, weight: 1}
	if account != nil {
		r.class.Account = account.Name
		if account.RequestsPerSecond > 0 {
			r.weight = account.RequestsPerSecond
		}
	}
	return r
}

func newOverload(registry metrics.Registry) *overload {
	return &overload{
		registry:   registry,
		refused:    metrics.GetOrRegisterCounter("requests.overload", registry),
		controller: admission.New(admissionConfig),
		demand:     make(map[string]*admission.Demand),
	}
}

// recordLoad records the load that a replica reported with a reply, and how long the
// reply took.
func (o *overload) recordLoad(now time.Time, service, replica string, load admission.Load, took time.Duration) {
	o.mu.Lock()
	change, ok := o.controller.Report(now, service, replica, load, took)
	o.mu.Unlock()
	if ok {
		klog.InfoS("Overload changed", "service", change.Service, "refusing", change.Refusing, "waitingPerSlot", change.Waiting)
	}
}

// refuses decides at random whether a request to these services is refused. The controller
// says which share of all requests must be, and the demand which share of those with this rank.
func (o *overload) refuses(now time.Time, route *routing.Route, services []string, r rank) bool {
	o.mu.Lock()
	o.demandFor(services).Record(now, r.class, r.weight)
	o.mu.Unlock()
	share := o.refusalShare(now, route, services, r)
	if share == 0 || rand.Float64() >= share {
		return false
	}
	o.refused.Inc(1)
	metrics.GetOrRegisterCounter(fmt.Sprint("requests.overload.priority_", min(r.class.Priority, maxCountedPriority)), o.registry).Inc(1)
	return true
}

// refusalShare returns the probability with which a request to these services is refused.
func (o *overload) refusalShare(now time.Time, route *routing.Route, services []string, r rank) float64 {
	target := route.TargetLatency
	if target <= 0 {
		target = route.Timeout
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	share := o.controller.RefusalShare(now, services, target)
	if share == 0 {
		return 0
	}
	return o.demandFor(services).RefusalShare(now, r.class, share)
}

// maxCountedPriority bounds the number of counters of refusals by priority.
const maxCountedPriority = 9

// demandFor returns the demand for a set of services. The caller holds mu.
func (o *overload) demandFor(services []string) *admission.Demand {
	pool := ""
	if len(services) > 0 {
		pool = slices.Min(services)
	}
	d := o.demand[pool]
	if d == nil {
		d = admission.NewDemand()
		o.demand[pool] = d
	}
	return d
}

// prune forgets reports received before the given time, and classes without recent requests.
func (o *overload) prune(now, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.Prune(since)
	for pool, d := range o.demand {
		if d.Prune(now); d.Empty() {
			delete(o.demand, pool)
		}
	}
}

// overloadRetryAfter returns when a caller should repeat a request that was refused in an
// overload. The times are spread so that callers do not all return at once, and are shorter for
// higher priorities.
func overloadRetryAfter(route *routing.Route, r rank) time.Duration {
	usual := float64(refusedRetryAfter(route))
	later := min(float64(r.class.Priority), maxRetryRanks)
	return time.Duration(usual * (1 + retryRankStep*later + retrySpread*(rand.Float64()-0.5)))
}

const (
	// retryRankStep is added to the usual time for each step down in priority, as a share of
	// the usual time.
	retryRankStep = 0.25
	// retrySpread is the span around it over which callers with one priority return, as a share
	// of the usual time.
	retrySpread = 0.5
	// maxRetryRanks bounds the steps that are added, because callers wait only for a part of
	// their deadline.
	maxRetryRanks = 4
)
