package entry

import (
	"sync"
	"time"
)

// upperEstimate estimates a value per key that should rarely be underestimated: an
// observation above the estimate closes estimateRise of the difference, one below it
// only estimateFall.
type upperEstimate[K comparable] struct {
	mu       sync.Mutex
	estimate map[K]float64
}

const (
	estimateRise = 0.5
	estimateFall = 0.05
	// maxEstimates limits the keys; beyond it, all are learnt anew.
	maxEstimates = 4096
)

func newUpperEstimate[K comparable]() *upperEstimate[K] {
	return &upperEstimate[K]{estimate: make(map[K]float64)}
}

// observe adds an observation; initial is the estimate to start from if there is none
// yet.
func (u *upperEstimate[K]) observe(key K, value, initial float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	estimate, ok := u.estimate[key]
	if !ok {
		estimate = initial
		if len(u.estimate) >= maxEstimates {
			clear(u.estimate)
		}
	}
	weight := estimateFall
	if value > estimate {
		weight = estimateRise
	}
	u.estimate[key] = estimate + weight*(value-estimate)
}

// expected returns the estimate for key, or initial if there is none yet.
func (u *upperEstimate[K]) expected(key K, initial float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if estimate, ok := u.estimate[key]; ok {
		return estimate
	}
	return initial
}

// answerTimes estimates how long a merged answer takes to leave this host after the
// time at which it is due to be merged. An answer past the latency goal is worth
// little.
type answerTimes struct {
	// overruns are the times from the latency goal until the answer is written, by
	// number of parts. On a busy host the timer fires late, and many parts take long to
	// merge.
	overruns *upperEstimate[int]
	// sizes are the answer sizes in bytes, by route. A slow link takes milliseconds to
	// send them.
	sizes *upperEstimate[string]
	// bytesPerSecond is the bandwidth of this host's link; 0 if it is not known.
	bytesPerSecond float64
}

const (
	// maxOverrun bounds the time reserved for writing the answer.
	maxOverrun = 25 * time.Millisecond
	// initialOverrunPerPart is reserved for each part until the first overrun is
	// observed.
	initialOverrunPerPart = 50 * time.Microsecond
	megabit               = 1e6 / 8 // in bytes
)

func newAnswerTimes(linkMbps float64) *answerTimes {
	return &answerTimes{overruns: newUpperEstimate[int](), sizes: newUpperEstimate[string](), bytesPerSecond: linkMbps * megabit}
}

// truncated records the overrun of an answer that was merged without all parts at the
// latency goal.
func (a *answerTimes) truncated(parts int, took time.Duration) {
	a.overruns.observe(parts, float64(min(took, maxOverrun)), a.initialOverrun(parts))
}

// recordSize records the size of an answer.
func (a *answerTimes) recordSize(route string, bytes int) { a.sizes.observe(route, float64(bytes), 0) }

func (a *answerTimes) initialOverrun(parts int) float64 {
	return float64(parts) * float64(initialOverrunPerPart)
}

// expected returns the expected time from the latency goal until the whole answer has
// left this host.
func (a *answerTimes) expected(route string, parts int) time.Duration {
	return time.Duration(a.overruns.expected(parts, a.initialOverrun(parts))) + a.transmissionTime(route)
}

// mergeDeadline returns when an answer must be merged for its last byte to leave this
// host by the latency goal. It is at least half of the goal.
func (a *answerTimes) mergeDeadline(latencyGoal time.Duration, route string, parts int) time.Duration {
	return max(latencyGoal/2, latencyGoal-a.expected(route, parts))
}

// transmissionTime returns how long sending an answer takes on this host's link.
func (a *answerTimes) transmissionTime(route string) time.Duration {
	if a.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(a.sizes.expected(route, 0) / a.bytesPerSecond * float64(time.Second))
}
