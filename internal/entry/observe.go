package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

const (
	// plainLinesPerSecond and failureLinesPerSecond limit the log lines about requests;
	// omitted lines are counted in a line of their own.
	plainLinesPerSecond   = 20
	failureLinesPerSecond = 50
	// latencySamples is the reservoir size of a latency histogram.
	latencySamples = 512
	latencyAlpha   = 0.015
)

// requestLog limits the log lines about requests. Failures have a limit of their own,
// so that successes never displace them.
type requestLog struct {
	mu             sync.Mutex
	second         int64
	plain, failed  int
	omitted, shown int
}

// allow reports whether a request may be logged.
func (l *requestLog) allow(now time.Time, failure bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		if l.omitted > 0 {
			klog.InfoS("Request lines left out", "leftOut", l.omitted, "shown", l.shown)
		}
		l.second, l.plain, l.failed, l.omitted, l.shown = s, 0, 0, 0, 0
	}
	count, limit := &l.plain, plainLinesPerSecond
	if failure {
		count, limit = &l.failed, failureLinesPerSecond
	}
	if *count >= limit {
		l.omitted++
		return false
	}
	*count++
	l.shown++
	return true
}

// requestMetrics counts requests and records their latencies.
type requestMetrics struct {
	registry metrics.Registry
	latency  metrics.Histogram
	whole    metrics.Counter
	partial  metrics.Counter
	failed   metrics.Counter
	notRun   metrics.Counter
	hedges   metrics.Counter
	retries  metrics.Counter
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	return &requestMetrics{
		registry: r,
		latency: metrics.GetOrRegisterHistogram("requests.latency_us", r,
			metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
		whole:   metrics.GetOrRegisterCounter("requests.whole", r),
		partial: metrics.GetOrRegisterCounter("requests.partial", r),
		failed:  metrics.GetOrRegisterCounter("requests.failed", r),
		notRun:  metrics.GetOrRegisterCounter("requests.not_run", r),
		hedges:  metrics.GetOrRegisterCounter("requests.hedges", r),
		retries: metrics.GetOrRegisterCounter("requests.retries", r),
	}
}

func (m *requestMetrics) recordOutcome(o *outcome, took time.Duration) {
	const firstErrorStatus = 400
	m.latency.Update(took.Microseconds())
	m.hedges.Inc(int64(o.counts.Hedges))
	m.retries.Inc(int64(o.counts.Retries))
	switch {
	case o.status == http.StatusServiceUnavailable, o.status == http.StatusTooManyRequests:
		m.notRun.Inc(1)
	case o.status == 0 || o.status >= firstErrorStatus:
		m.failed.Inc(1)
	case o.missing > 0:
		m.partial.Inc(1)
	default:
		m.whole.Inc(1)
	}
}
