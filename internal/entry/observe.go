package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

const (
	// plainLinesPerSecond and failureLinesPerSecond bound the lines about requests;
	// what is left out is counted in a line of its own.
	plainLinesPerSecond   = 20
	failureLinesPerSecond = 50
	// latencySamples is the size of the reservoir of a latency histogram.
	latencySamples = 512
	latencyAlpha   = 0.015
)

// requestLog bounds the log lines about requests. Failures have a bound of their
// own, so that successes never displace them.
type requestLog struct {
	mu             sync.Mutex
	second         int64
	plain, failed  int
	skipped, shown int
}

// allow reports whether a request may have a line.
func (l *requestLog) allow(now time.Time, failure bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		if l.skipped > 0 {
			klog.InfoS("Request lines left out", "leftOut", l.skipped, "shown", l.shown)
		}
		l.second, l.plain, l.failed, l.skipped, l.shown = s, 0, 0, 0, 0
	}
	count, most := &l.plain, plainLinesPerSecond
	if failure {
		count, most = &l.failed, failureLinesPerSecond
	}
	if *count >= most {
		l.skipped++
		return false
	}
	*count++
	l.shown++
	return true
}

// requestMetrics counts requests and their latencies.
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

func (m *requestMetrics) answered(o *outcome, took time.Duration) {
	const firstFailure, notRun = 400, 503
	m.latency.Update(took.Microseconds())
	m.hedges.Inc(int64(o.counts.Hedges))
	m.retries.Inc(int64(o.counts.Retries))
	switch {
	case o.status == notRun:
		m.notRun.Inc(1)
	case o.status == 0 || o.status >= firstFailure:
		m.failed.Inc(1)
	case o.missing > 0:
		m.partial.Inc(1)
	default:
		m.whole.Inc(1)
	}
}
