package capacity

import "time"

const (
	// speedWeight is the weight of a new sample in the moving average of the
	// service time.
	speedWeight = 0.1
	// slowFactor is the multiple of the mean service time above which a reply is
	// slow. Single stragglers are far slower than that, so only a run of slow
	// replies counts as a drop in speed.
	slowFactor = 4
	// slowRunLength is the number of consecutive slow replies that indicates a
	// drop in speed. With 1 straggler in 100 requests, such a run occurs by
	// chance once in 10^8.
	slowRunLength = 4
	// minimumServiceTime is the lower bound of the expected service time. While
	// no service time is known, it makes queued tickets be dropped before their
	// deadline rather than at it.
	minimumServiceTime = time.Millisecond
)

// speed tracks the service time of the upstream.
type speed struct {
	mean    float64 // nanoseconds; 0 if unknown
	slow    int     // consecutive slow replies
	slowSum time.Duration
}

// observe adds a service time. It reports whether the reply was slow and whether
// the speed of the upstream has dropped.
func (s *speed) observe(d time.Duration) (slow, speedFell bool) {
	if s.mean == 0 {
		s.mean = float64(d)
		return false, false
	}
	slow = float64(d) > slowFactor*s.mean
	// The sample is capped at the slow threshold. Otherwise a single straggler
	// could raise the mean enough to refuse tickets.
	s.mean += speedWeight * (min(float64(d), slowFactor*s.mean) - s.mean)
	if !slow {
		s.slow, s.slowSum = 0, 0
		return false, false
	}
	s.slow++
	s.slowSum += d
	if s.slow < slowRunLength {
		return true, false
	}
	// The slower speed becomes the new mean. Otherwise the ramp could not rise
	// again if the upstream stays slow.
	s.mean = float64(s.slowSum) / float64(s.slow)
	s.slow, s.slowSum = 0, 0
	return true, true
}

// serviceTime returns the expected service time.
func (s *speed) serviceTime() time.Duration {
	return max(time.Duration(s.mean), minimumServiceTime)
}

// limitDecrease is the factor applied to the concurrency limit after a shed
// request or a drop in speed.
const limitDecrease = 0.7

// limit is the adaptive concurrency limit, kept as a fraction of the share. It
// decreases multiplicatively on signs of overload and increases additively, by
// about one request per full round of good replies. It never falls below one
// request, because it needs replies to recover.
type limit struct{ fraction float64 }

// forShare returns the number of requests that the limit allows for a share. It
// is at least 1.
func (l *limit) forShare(share int) int {
	const rounding = 1e-9
	return max(1, int(l.fraction*float64(share)+rounding))
}

// decrease lowers the limit after a sign of overload.
func (l *limit) decrease(share int) {
	l.fraction = max(1/float64(max(1, share)), l.fraction*limitDecrease)
}

// increase raises the limit after a good reply to a request that used it fully.
func (l *limit) increase(share int) {
	if share > 0 {
		l.fraction = min(1, l.fraction+1/float64(share*l.forShare(share)))
	}
}
