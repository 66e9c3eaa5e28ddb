package query

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of recorded latencies.
	latencyUnit = 20 * time.Microsecond
	// latencyMax is the longest latency that is told apart.
	latencyMax = time.Minute
	// latencyDigits of 1 keeps a histogram at about 3 kB, so that 620 services
	// with two each take 4 MB; the error is below 7 %.
	latencyDigits = 1
	// windowSamples is the number of samples after which the older half of
	// the window is dropped.
	windowSamples = 2000
	// quantileEvery is the number of samples between two evaluations of the
	// hedge quantile.
	quantileEvery = 100
	// quantileMinimum is the number of samples below which no quantile is
	// given. With 1 straggler in 100, the quantile 0.975 of 100 samples is that
	// of a straggler too often; of 400 it is the tenth from above.
	quantileMinimum = 400
	// meanWeight is the weight of a new sample in a replica's mean latency.
	meanWeight = 0.1
	// riseWeight is the weight of a sample above the mean, so that a replica that
	// turns slow is left soon.
	riseWeight = 0.25
	// serviceMeanWeight is the weight of a new sample in the mean latency of a
	// service or group, which gets many more samples than a replica.
	serviceMeanWeight = 0.02
	// meanAge is the time after which a replica's mean latency is forgotten,
	// so that a replica avoided for its latency is tried again.
	meanAge = 2 * time.Second
	// failureWeight is the weight of a new outcome in a replica's failure rate.
	failureWeight = 0.3
	// failureHalfLife is the time after which a failure rate counts half.
	failureHalfLife = 2 * time.Second
	// failureCost is the number of usual latencies that a failure costs: the
	// failed attempt, the detection and the retry.
	failureCost = 6
	// stallFactor is the number of usual latencies after which an unanswered
	// request shows that its replica has stalled.
	stallFactor = 2
	// awayCost is the share by which a replica of another data centre has to be
	// faster than one at home.
	awayCost = 0.35
	// coldCost is the number of usual latencies that a cold replica is taken to
	// be slower by. It exceeds any other cost, so that cold replicas come last.
	coldCost = 1000
	// outOfReachCost puts replicas that can't be reached behind cold ones.
	outOfReachCost = 10 * coldCost
	// lapsedCost is the number of usual latencies that a replica without a
	// registration is taken to be slower by.
	lapsedCost = 20
	// connectCost is the number of usual latencies that a new connection takes.
	connectCost = 0.7
	// startLatency stands in for the latency of a group of which none is known.
	startLatency = 10 * time.Millisecond
)

// Stats holds recent latencies and requests in flight, as one event loop saw
// them. It is shared by the queries of the loop and not safe for concurrent
// use.
type Stats struct {
	services map[string]*serviceStats
	groups   map[string]*serviceStats
	replicas map[string]*replicaStats
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{services: map[string]*serviceStats{}, groups: map[string]*serviceStats{}, replicas: map[string]*replicaStats{}}
}

// Prune forgets services and replicas that were not used since the given time
// and have nothing in flight. Call it after configuration changes.
func (s *Stats) Prune(since time.Time) {
	for name, v := range s.services {
		if v.used.Before(since) {
			delete(s.services, name)
		}
	}
	for id, v := range s.replicas {
		if v.inFlight == 0 && v.used.Before(since) {
			delete(s.replicas, id)
		}
	}
}

// LatencyQuantile returns the quantile of the recent latency of a service, between 0
// and 1. It reports false while too few latencies are known.
func (s *Stats) LatencyQuantile(service string, q float64) (time.Duration, bool) {
	v := s.services[service]
	if v == nil {
		return 0, false
	}
	return v.quantile(q)
}

// InFlight returns the number of attempts at a replica that have not ended.
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

// group returns the latencies of all services of a group. They stand in for those
// of a service that has few: 20 services know enough after a twentieth of the time.
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

// serviceStats holds the latencies of a service in two halves of a window.
type serviceStats struct {
	used            time.Time
	turn            int // next replica of RoundRobin
	recent, earlier *hdrhistogram.Histogram
	sinceQuantile   int
	cachedFor       float64
	cached          time.Duration
	mean            float64 // nanoseconds; 0 if unknown
}

func (s *serviceStats) observe(latency time.Duration) {
	if s.recent == nil || s.recent.TotalCount() >= windowSamples/2 {
		s.rotate()
	}
	value := min(int64(latency/latencyUnit), int64(latencyMax/latencyUnit))
	// The value is within the histogram's range, the only cause of an error.
	_ = s.recent.RecordValue(max(value, 1))
	s.sinceQuantile++
	if s.mean == 0 {
		s.mean = float64(latency)
	} else {
		s.mean += serviceMeanWeight * (float64(latency) - s.mean)
	}
}

// usual returns the mean latency in nanoseconds.
func (s *serviceStats) usual() float64 {
	if s.mean == 0 {
		return float64(startLatency)
	}
	return s.mean
}

func (s *serviceStats) rotate() {
	s.recent, s.earlier = s.earlier, s.recent
	if s.recent == nil {
		s.recent = hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyDigits)
	}
	s.recent.Reset()
}

func (s *serviceStats) quantile(q float64) (time.Duration, bool) {
	if s.count() < quantileMinimum {
		return 0, false
	}
	if s.cached == 0 || s.cachedFor != q || s.sinceQuantile >= quantileEvery {
		s.cached = s.evaluate(q)
		s.cachedFor = q
		s.sinceQuantile = 0
	}
	return s.cached, true
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

func (s *serviceStats) evaluate(q float64) time.Duration {
	const percent = 100
	all := hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyDigits)
	all.Merge(s.recent)
	if s.earlier != nil {
		all.Merge(s.earlier)
	}
	return time.Duration(all.ValueAtQuantile(q*percent)) * latencyUnit
}

// replicaStats is what the choice between replicas looks at.
type replicaStats struct {
	used     time.Time
	inFlight int
	mean     float64 // nanoseconds; 0 if unknown
	meanAt   time.Time
	oldest   []time.Time // send times of the requests in flight, in order
	failures float64     // recent share of failed attempts at failedAt
	failedAt time.Time
}

func (r *replicaStats) begin(now time.Time) {
	r.inFlight++
	r.used = now
	r.oldest = append(r.oldest, now)
}

func (r *replicaStats) end(sentAt time.Time) {
	r.inFlight--
	for i, at := range r.oldest {
		if at.Equal(sentAt) {
			r.oldest = append(r.oldest[:i], r.oldest[i+1:]...)
			return
		}
	}
}

// failed counts a failed attempt. Attempts that never left this host tell
// nothing of the replica.
func (r *replicaStats) failed(now time.Time, f Failure) {
	if f.Unsent && f.Reason != ReasonBroken {
		return
	}
	rate := r.failureRate(now)
	r.failures = rate + failureWeight*(1-rate)
	r.failedAt = now
}

// failureRate returns the recent share of failed attempts.
func (r *replicaStats) failureRate(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// expected returns the expected time to a reply in nanoseconds, where usual is
// the mean latency of the group.
func (r *replicaStats) expected(now time.Time, usual float64) float64 {
	mean := r.recent(now)
	if mean == 0 {
		mean = usual
	}
	cost := mean*(1+float64(r.inFlight)/2) + r.failureRate(now)*failureCost*usual
	if len(r.oldest) > 0 {
		if waited := float64(now.Sub(r.oldest[0])); waited > stallFactor*usual {
			cost += waited
		}
	}
	return cost
}

func (r *replicaStats) observe(now time.Time, latency time.Duration) {
	if r.recent(now) == 0 {
		r.mean = float64(latency)
	} else {
		weight := meanWeight
		if float64(latency) > r.mean {
			weight = riseWeight
		}
		r.mean += weight * (float64(latency) - r.mean)
	}
	r.meanAt = now
}

// recent returns the mean latency in nanoseconds, or 0 if it is unknown or out
// of date.
func (r *replicaStats) recent(now time.Time) float64 {
	if now.Sub(r.meanAt) > meanAge {
		return 0
	}
	return r.mean
}

// better reports whether r is expected to answer sooner than o.
func (r *replicaStats) better(now time.Time, o *replicaStats) bool {
	a, b := r.recent(now), o.recent(now)
	if a == 0 || b == 0 {
		return r.inFlight < o.inFlight
	}
	return a*float64(r.inFlight+1) < b*float64(o.inFlight+1)
}
