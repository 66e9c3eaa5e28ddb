package capacity

import "time"

const (
	// speedWeight is the weight of a new sample in the mean service time.
	speedWeight = 0.1
	// slowFactor is how much longer than the mean a slow reply takes. Single
	// stragglers are far slower, so only a run of slow replies counts.
	slowFactor = 4
	// slowRun is the number of slow replies in a row that show a fall in the
	// speed served. With 1 straggler in 100 that are chance once in 10^8.
	slowRun = 4
	// minimumServiceTime keeps the time between the refusal of a queued ticket
	// and its deadline above zero while no service time is known.
	minimumServiceTime = time.Millisecond
)

// speed follows the service time of the upstream.
type speed struct {
	mean    float64 // nanoseconds; 0 if unknown
	slow    int     // slow replies in a row
	slowSum time.Duration
}

// observe adds a service time and reports whether it was slow and whether the
// speed has fallen.
func (s *speed) observe(d time.Duration) (slow, fallen bool) {
	if s.mean == 0 {
		s.mean = float64(d)
		return false, false
	}
	slow = float64(d) > slowFactor*s.mean
	// A straggler counts with the limit, so that a single one does not cause
	// refusals.
	s.mean += speedWeight * (min(float64(d), slowFactor*s.mean) - s.mean)
	if !slow {
		s.slow, s.slowSum = 0, 0
		return false, false
	}
	s.slow++
	s.slowSum += d
	if s.slow < slowRun {
		return true, false
	}
	// The slower speed becomes the norm: the ramp must be able to rise again
	// if it lasts.
	s.mean = float64(s.slowSum) / float64(s.slow)
	s.slow, s.slowSum = 0, 0
	return true, true
}

// serviceTime returns the expected service time.
func (s *speed) serviceTime() time.Duration {
	return max(time.Duration(s.mean), minimumServiceTime)
}

// limitCut is the factor applied to the concurrency limit on a shed reply or a
// fall in speed.
const limitCut = 0.7

// limit is the concurrency limit inside the share, as a part of it. It is cut on
// signs of overload and rises by about one request for as many good replies as
// it allows at a time. It never falls below one request, by whose replies it
// recovers.
type limit struct{ part float64 }

// of returns the limit for a share of at least 1.
func (l *limit) of(share int) int {
	const rounding = 1e-9
	return max(1, int(l.part*float64(share)+rounding))
}

// cut lowers the limit.
func (l *limit) cut(share int) {
	l.part = max(1/float64(max(1, share)), l.part*limitCut)
}

// grow raises the limit after a good reply to a request that used it fully.
func (l *limit) grow(share int) {
	if share > 0 {
		l.part = min(1, l.part+1/float64(share*l.of(share)))
	}
}
