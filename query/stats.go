package query

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldlever/marigoldlever/loadestimate"
)

const (
	// latencyUnit is the resolution of recorded latencies.
	latencyUnit = 20 * time.Microsecond
	// maxLatency is the highest latency that the histograms distinguish.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histograms. With 1,
	// a histogram takes about 3 kB, two histograms for each of 620 services take
	// 4 MB, and the error is below 7 %.
	latencyDigits = 1
	// windowSamples is the maximum number of samples in the window. When it is
	// reached, the older half of the window is dropped.
	windowSamples = 2000
	// quantileRefreshInterval is the number of samples after which a cached quantile
	// is computed again.
	quantileRefreshInterval = 100
	// minQuantileSamples is the number of samples below which no quantile is given.
	// With 1 straggler in 100 requests, the 0.975 quantile of 100 samples is too often
	// the latency of a straggler; of 400 samples, it is the tenth highest latency.
	minQuantileSamples = 400
	// meanWeight is the weight of a new sample in a replica's mean latency.
	meanWeight = 0.1
	// increaseWeight is the weight of a sample above the mean. It is higher than
	// meanWeight, so that a replica that becomes slow is soon avoided.
	increaseWeight = 0.25
	// serviceMeanWeight is the weight of a new sample in the mean latency of a
	// service or group, which gets many more samples than a replica.
	serviceMeanWeight = 0.02
	// maxMeanAge is the time after which a replica's mean latency is ignored, so that
	// a replica that was avoided for its latency is tried again.
	maxMeanAge = 2 * time.Second
	// failureWeight is the weight of a new outcome in a replica's failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of a failure rate.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a failure in mean latencies of the group: the failed
	// attempt, its detection and the retry.
	failureCost = 6
	// stallFactor is the age of an unanswered request, in mean latencies of the group,
	// above which its replica is taken to have stalled.
	stallFactor = 2
	// reportedStallFactor is the same for a replica that reports its load, whose expected
	// latency is known better.
	reportedStallFactor = 1.3
	// remoteCost is added for a replica in another data centre, in mean latencies of
	// the group. Such a replica has to be faster by this amount to be chosen.
	remoteCost = 0.35
	// coldCost is added for a cold replica, in mean latencies of the group. It exceeds
	// the other costs, except unreachableCost, so that cold replicas are chosen last.
	coldCost = 1000
	// unreachableCost is added for an unreachable replica. It exceeds coldCost, so that
	// unreachable replicas are chosen after cold ones.
	unreachableCost = 10 * coldCost
	// lapsedCost is added for a replica that is no longer registered, in mean latencies
	// of the group.
	lapsedCost = 20
	// connectCost is added for opening a connection, in mean latencies of the group.
	connectCost = 0.7
	// defaultLatency is the mean latency of a service or group without samples.
	defaultLatency = 10 * time.Millisecond
)

// Stats holds recent latencies, failure rates and requests in flight of the queries
// that share it. It is not safe for concurrent use.
type Stats struct {
	services map[string]*serviceStats
	groups   map[string]*serviceStats
	replicas map[string]*replicaStats
	choices  choiceCounts
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{services: map[string]*serviceStats{}, groups: map[string]*serviceStats{}, replicas: map[string]*replicaStats{}}
}

// Prune removes services, groups and replicas that were not used since the given time
// and have no requests in flight. Call it after configuration changes.
func (s *Stats) Prune(since time.Time) {
	for _, statistics := range []map[string]*serviceStats{s.services, s.groups} {
		for name, v := range statistics {
			if v.used.Before(since) {
				delete(statistics, name)
			}
		}
	}
	for id, v := range s.replicas {
		if v.inFlight == 0 && v.used.Before(since) {
			delete(s.replicas, id)
		}
	}
}

// Limit removes the statistics of the services and groups that were used longest ago, beyond
// a number of either.
func (s *Stats) Limit(limit int) {
	for _, statistics := range []map[string]*serviceStats{s.services, s.groups} {
		if len(statistics) <= limit {
			continue
		}
		names := slices.SortedFunc(maps.Keys(statistics), func(a, b string) int { return statistics[a].used.Compare(statistics[b].used) })
		for _, name := range names[:len(names)-limit] {
			delete(statistics, name)
		}
	}
}

// LatencyQuantile returns the q-quantile, with q between 0 and 1, of the recent
// latencies of a service. It reports false while too few latencies are known.
func (s *Stats) LatencyQuantile(service string, q float64) (time.Duration, bool) {
	v := s.services[service]
	if v == nil {
		return 0, false
	}
	return v.quantile(q)
}

// InFlight returns the number of attempts in flight at a replica.
func (s *Stats) InFlight(replica string) int {
	if r := s.replicas[replica]; r != nil {
		return r.inFlight
	}
	return 0
}

func (s *Stats) service(name string) *serviceStats {
	v := s.services[name]
	if v == nil {
		v = &serviceStats{}
		s.services[name] = v
	}
	return v
}

// group returns the statistics of all services in a group. They are used while a
// service has too few samples: a group of 20 services collects enough in a twentieth
// of the time.
func (s *Stats) group(name string) *serviceStats {
	v := s.groups[name]
	if v == nil {
		v = &serviceStats{}
		s.groups[name] = v
	}
	return v
}

func (s *Stats) replica(id string) *replicaStats {
	v := s.replicas[id]
	if v == nil {
		v = &replicaStats{}
		s.replicas[id] = v
	}
	return v
}

// serviceStats holds the recent latencies of a service or group. The window consists
// of two histograms, each for half of the samples.
type serviceStats struct {
	used                 time.Time
	roundRobinNext       int // position of the next replica with RoundRobin
	recent, earlier      *hdrhistogram.Histogram
	samplesSinceQuantile int
	cachedQuantile       float64
	cachedLatency        time.Duration
	mean                 float64 // nanoseconds; 0 if unknown
}

func (s *serviceStats) observe(latency time.Duration) {
	if s.recent == nil || s.recent.TotalCount() >= windowSamples/2 {
		s.rotate()
	}
	value := min(int64(latency/latencyUnit), int64(maxLatency/latencyUnit))
	// RecordValue fails only for values out of range, which this one can't be.
	_ = s.recent.RecordValue(max(value, 1))
	s.samplesSinceQuantile++
	if s.mean == 0 {
		s.mean = float64(latency)
	} else {
		s.mean += serviceMeanWeight * (float64(latency) - s.mean)
	}
}

// meanLatency returns the mean latency in nanoseconds, or defaultLatency if there are
// no samples.
func (s *serviceStats) meanLatency() float64 {
	if s.mean == 0 {
		return float64(defaultLatency)
	}
	return s.mean
}

// rotate drops the older half of the window and starts a new one.
func (s *serviceStats) rotate() {
	s.recent, s.earlier = s.earlier, s.recent
	if s.recent == nil {
		s.recent = hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	}
	s.recent.Reset()
}

func (s *serviceStats) quantile(q float64) (time.Duration, bool) {
	if s.count() < minQuantileSamples {
		return 0, false
	}
	if s.cachedLatency == 0 || s.cachedQuantile != q || s.samplesSinceQuantile >= quantileRefreshInterval {
		s.cachedLatency = s.computeQuantile(q)
		s.cachedQuantile = q
		s.samplesSinceQuantile = 0
	}
	return s.cachedLatency, true
}

func (s *serviceStats) count() int64 {
	n := int64(0)
	if s.recent != nil {
		n += s.recent.TotalCount()
	}
	if s.earlier != nil {
		n += s.earlier.TotalCount()
	}
	return n
}

func (s *serviceStats) computeQuantile(q float64) time.Duration {
	const percent = 100
	merged := hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	merged.Merge(s.recent)
	if s.earlier != nil {
		merged.Merge(s.earlier)
	}
	return time.Duration(merged.ValueAtQuantile(q*percent)) * latencyUnit
}

// replicaStats holds the statistics by which replicas are chosen.
type replicaStats struct {
	used            time.Time
	inFlight        int
	mean            float64 // nanoseconds; 0 if unknown
	meanAt          time.Time
	inFlightSince   []time.Time // send times of the requests in flight, in order
	lastFailureRate float64     // recent share of failed attempts at failedAt
	failedAt        time.Time
	load            loadestimate.Replica // by the replica's own reports
}

func (r *replicaStats) begin(now time.Time) {
	r.inFlight++
	r.used = now
	r.inFlightSince = append(r.inFlightSince, now)
}

func (r *replicaStats) end(sentAt time.Time) {
	r.inFlight--
	for i, at := range r.inFlightSince {
		if at.Equal(sentAt) {
			r.inFlightSince = append(r.inFlightSince[:i], r.inFlightSince[i+1:]...)
			return
		}
	}
}

// failed updates the failure rate after a failed attempt. Attempts that were never
// sent don't count, because they say nothing about the replica, unless the
// connection to it failed. Nor does a request for a pause, which says itself when the
// replica may be used again.
func (r *replicaStats) failed(now time.Time, f Failure) {
	if f.Unsent && f.Reason != ReasonBroken || f.Reason == ReasonPaused {
		return
	}
	rate := r.failureRate(now)
	r.lastFailureRate = rate + failureWeight*(1-rate)
	r.failedAt = now
}

// failureRate returns the recent share of failed attempts, which decays over time.
func (r *replicaStats) failureRate(now time.Time) float64 {
	if r.lastFailureRate == 0 {
		return 0
	}
	return r.lastFailureRate * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// expectedLatency returns the expected time to a reply in nanoseconds. The parameter
// meanLatency is the mean latency of the group.
func (r *replicaStats) expectedLatency(now time.Time, meanLatency float64) float64 {
	cost := r.replyLatency(now, meanLatency) + r.failureRate(now)*failureCost*meanLatency
	if len(r.inFlightSince) > 0 {
		limit := stallFactor * meanLatency
		if r.load.Known() {
			limit = reportedStallFactor * meanLatency
		}
		if waited := float64(now.Sub(r.inFlightSince[0])); waited > limit {
			cost += waited
		}
	}
	return cost
}

// replyLatency returns the expected time to a reply of a replica that neither fails nor
// stalls. It goes by the replica's own reports of load if there are any.
func (r *replicaStats) replyLatency(now time.Time, meanLatency float64) float64 {
	if r.load.Known() {
		return meanLatency * r.load.Latency(now, r.inFlight, time.Duration(meanLatency))
	}
	mean := r.recentMean(now)
	if mean == 0 {
		mean = meanLatency
	}
	return mean * (1 + float64(r.inFlight)/2)
}

func (r *replicaStats) observe(now time.Time, latency time.Duration) {
	if r.recentMean(now) == 0 {
		r.mean = float64(latency)
	} else {
		weight := meanWeight
		if float64(latency) > r.mean {
			weight = increaseWeight
		}
		r.mean += weight * (float64(latency) - r.mean)
	}
	r.meanAt = now
}

// recentMean returns the mean latency in nanoseconds, or 0 if it is unknown or too
// old.
func (r *replicaStats) recentMean(now time.Time) float64 {
	if now.Sub(r.meanAt) > maxMeanAge {
		return 0
	}
	return r.mean
}

// fasterThan reports whether r is expected to reply sooner than o. It compares only
// the requests in flight if a mean latency is unknown.
func (r *replicaStats) fasterThan(now time.Time, o *replicaStats) bool {
	a, b := r.recentMean(now), o.recentMean(now)
	if a == 0 || b == 0 {
		return r.inFlight < o.inFlight
	}
	return a*float64(r.inFlight+1) < b*float64(o.inFlight+1)
}
