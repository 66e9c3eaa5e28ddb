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

// admissionConfig keeps about one request waiting for each slot in an overload. A queue
// is believed for half a second, in which a host hears of a busy replica several times.
// The slowest of many parts takes several times the usual time, so that a target ten
// times as long is not endangered.
var admissionConfig = admission.Config{Waiting: 1, ProportionalGain: 0.2, IntegralGain: 3, MaxShare: 0.8, MaxReportAge: 500 * time.Millisecond, TargetFraction: 0.1}

// overload shares an admission.Controller among the requests of this host.
type overload struct {
	refused metrics.Counter

	mu   sync.Mutex
	gate *admission.Controller
}

func newOverload(registry metrics.Registry) *overload {
	return &overload{
		refused: metrics.GetOrRegisterCounter("requests.overload", registry),
		gate:    admission.New(admissionConfig),
	}
}

// reported takes the load that a replica reported with a reply that took some time.
func (o *overload) reported(now time.Time, service, replica string, load admission.Load, took time.Duration) {
	o.mu.Lock()
	change, ok := o.gate.Report(now, service, replica, load, took)
	o.mu.Unlock()
	if ok {
		klog.InfoS("Overload changed", "service", change.Service, "refusing", change.Refusing, "waitingPerSlot", change.Waiting)
	}
}

// refuses draws whether a request of a route to these services is refused.
func (o *overload) refuses(now time.Time, route *routing.Route, services []string) bool {
	target := route.TargetLatency
	if target <= 0 {
		target = route.Timeout
	}
	o.mu.Lock()
	share := o.gate.RefusalShare(now, services, target)
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
	o.gate.Prune(since)
}
