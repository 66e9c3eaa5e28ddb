package entry

import (
	"sync"
	"time"
)

// upperEstimate learns a value that should rarely be too low: one above the known value
// raises it at once by estimateRise of the difference, one below lowers it by estimateFall.
type upperEstimate[K comparable] struct {
	mu    sync.Mutex
	known map[K]float64
}

const (
	estimateRise = 0.5
	estimateFall = 0.05
)

func newUpperEstimate[K comparable]() *upperEstimate[K] {
	return &upperEstimate[K]{known: make(map[K]float64)}
}

// observe takes a value; first is what was expected before any was known.
func (h *upperEstimate[K]) observe(key K, value, first float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.known[key]
	if !ok {
		known = first
	}
	weight := estimateFall
	if value > known {
		weight = estimateRise
	}
	h.known[key] = known + weight*(value-known)
}

// expected returns first if nothing is known.
func (h *upperEstimate[K]) expected(key K, first float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.known[key]; ok {
		return known
	}
	return first
}

// answerTimes learns what an answer from parts takes after the time at which it is
// due to be merged. An answer that is late is worth little.
type answerTimes struct {
	// overruns are the times until the answer is written, by the number of parts. On a
	// busy host the timer is late, and many parts take long to merge.
	overruns *upperEstimate[int]
	// sizes are the bytes of answers, by route. A slow link takes milliseconds for them.
	sizes *upperEstimate[string]
	// bytesPerSecond of this host's link; 0 if it is not known.
	bytesPerSecond float64
}

const (
	// overrunMost bounds what is left for the answer.
	overrunMost = 25 * time.Millisecond
	// overrunPerPart is taken for each part until an answer was cut at the goal.
	overrunPerPart = 50 * time.Microsecond
	megabit        = 1e6 / 8 // bytes
)

func newAnswerTimes(linkMbps float64) *answerTimes {
	return &answerTimes{overruns: newUpperEstimate[int](), sizes: newUpperEstimate[string](), bytesPerSecond: linkMbps * megabit}
}

// cut takes the time from the goal to the written answer.
func (a *answerTimes) cut(parts int, took time.Duration) {
	a.overruns.observe(parts, float64(min(took, overrunMost)), a.firstOverrun(parts))
}

// written takes the size of an answer.
func (a *answerTimes) written(route string, bytes int) { a.sizes.observe(route, float64(bytes), 0) }

func (a *answerTimes) firstOverrun(parts int) float64 {
	return float64(parts) * float64(overrunPerPart)
}

// expected returns the time from the goal until the whole answer has left this host.
func (a *answerTimes) expected(route string, parts int) time.Duration {
	return time.Duration(a.overruns.expected(parts, a.firstOverrun(parts))) + a.sending(route)
}

// readyBy returns when an answer has to be merged for its last byte to leave this host by
// the goal.
func (a *answerTimes) readyBy(goal time.Duration, route string, parts int) time.Duration {
	return max(goal/2, goal-a.expected(route, parts))
}

// sending returns the time that an answer takes on this host's link.
func (a *answerTimes) sending(route string) time.Duration {
	if a.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(a.sizes.expected(route, 0) / a.bytesPerSecond * float64(time.Second))
}
