package entry

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/query"
)

// loadInterval is the time between summaries of the replicas' reported load.
const loadInterval = 10 * time.Second

// loadMetrics shows how evenly the replicas are loaded, and how old the reports are that
// choices rest on.
type loadMetrics struct {
	informed, uninformed metrics.Counter
	reportAge            metrics.Gauge
	replicas             metrics.Gauge
	median, high         metrics.GaugeFloat64
}

func newLoadMetrics(r metrics.Registry) *loadMetrics {
	return &loadMetrics{
		informed:   metrics.GetOrRegisterCounter("choices.informed", r),
		uninformed: metrics.GetOrRegisterCounter("choices.uninformed", r),
		reportAge:  metrics.GetOrRegisterGauge("choices.report_age_us", r),
		replicas:   metrics.GetOrRegisterGauge("replicas.load.reporting", r),
		median:     metrics.GetOrRegisterGaugeFloat64("replicas.load.median_per_slot", r),
		high:       metrics.GetOrRegisterGaugeFloat64("replicas.load.p90_per_slot", r),
	}
}

// record updates the metrics, and logs the summary if some choices were informed.
func (m *loadMetrics) record(s query.LoadSummary) {
	m.informed.Inc(int64(s.Informed))
	m.uninformed.Inc(int64(s.Uninformed))
	m.reportAge.Update(s.ReportAge.Microseconds())
	m.replicas.Update(int64(s.Replicas))
	m.median.Update(s.MedianLoad)
	m.high.Update(s.HighLoad)
	if s.Informed > 0 {
		klog.InfoS("Choices by reported load", "informed", s.Informed, "uninformed", s.Uninformed, "reportAgeMS", s.ReportAge.Milliseconds(),
			"replicas", s.Replicas, "medianPerSlot", roundForLog(s.MedianLoad), "p90PerSlot", roundForLog(s.HighLoad))
	}
}

// roundForLog returns a number with two decimals.
func roundForLog(x float64) float64 {
	const hundredths = 100
	return math.Round(x*hundredths) / hundredths
}
