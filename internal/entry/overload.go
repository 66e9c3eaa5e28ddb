package entry

import (
	"math/rand/v2"
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

// overload guards an admission.Controller that all requests of this host share.
type overload struct {
	refused metrics.Counter

	mu         sync.Mutex
	controller *admission.Controller
}

func newOverload(registry metrics.Registry) *overload {
	return &overload{
		refused:    metrics.GetOrRegisterCounter("requests.overload", registry),
		controller: admission.New(admissionConfig),
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

// refuses decides at random whether a request to these services is refused, with the
// controller's refusal share as the probability.
func (o *overload) refuses(now time.Time, route *routing.Route, services []string) bool {
	target := route.TargetLatency
	if target <= 0 {
		target = route.Timeout
	}
	o.mu.Lock()
	share := o.controller.RefusalShare(now, services, target)
	o.mu.Unlock()
	if share == 0 || rand.Float64() >= share {
		return false
	}
	o.refused.Inc(1)
	return true
}

func (o *overload) prune(since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.Prune(since)
}
