package rollout

import (
	"math"
	"time"
)

// Verdict is what the results say about a version, from best to worst.
type Verdict int

const (
	// Good versions have no more bad answers than the old version, apart from chance.
	Good Verdict = iota
	// Suspicious versions have more bad answers than the old version, but too few to tell.
	Suspicious
	// Bad versions have so many bad answers that chance does not explain them.
	Bad
)

// Evidence is the verdict on a version and what it rests on.
type Evidence struct {
	Verdict Verdict
	Answers int // of the new version, bad ones included
	Bad     int // failures and slow answers of the new version
}

const (
	// slowFactor times the median of the old version, plus slowMargin, is the latency above
	// which an answer is slow. The margin covers a replica that has just started.
	slowFactor = 2.2
	slowMargin = 6 * time.Millisecond
	// minOldAnswers is the number of the old version's answers from which on their median and
	// their failures are used. Below, assumedFailures is the share of failures that is
	// expected, and no answer is slow.
	minOldAnswers   = 10
	assumedFailures = 0.05
	// minFailures and minSlow are the lowest shares that an old version is taken to have: a
	// version with no bad answer among few would otherwise leave no room for chance.
	minFailures, minSlow = 0.01, 0.02
	// A version is bad, or suspicious, if its failures or slow answers exceed those that the old
	// version would have had by a number of answers plus a number of standard deviations. Slow
	// answers have more causes outside a version than failures.
	badFailures, badSlow, badDeviations                      = 2, 3, 2
	suspiciousFailures, suspiciousSlow, suspiciousDeviations = 1.5, 2, 1.5
)

// sample compares the bad answers of a version, of one kind, with those that are expected of it.
type sample struct {
	bad                int
	expected, variance float64
}

// newSample returns the sample of bad answers among all, of which a share is expected to be bad. The
// number of bad ones is taken to have a binomial distribution.
func newSample(answers, bad int, share float64) sample {
	expected := min(share, 1) * float64(answers)
	return sample{bad: bad, expected: expected, variance: expected * (1 - min(share, 1))}
}

func (s *sample) add(o sample) {
	s.bad += o.bad
	s.expected += o.expected
	s.variance += o.variance
}

// verdict returns the verdict on a sample, given the excess of bad answers from which on a version
// is bad or suspicious when no deviation is expected.
func (s *sample) verdict(bad, suspicious float64) Verdict {
	excess, deviation := float64(s.bad)-s.expected, math.Sqrt(s.variance)
	switch {
	case excess >= bad+badDeviations*deviation:
		return Bad
	case excess >= suspicious+suspiciousDeviations*deviation:
		return Suspicious
	}
	return Good
}

// judge returns the verdict on the ordered version: the worst of those on its failures and its
// slow answers, on each route and on all routes together.
func judge(t Tally) Evidence {
	var e Evidence
	var allFailed, allSlow sample
	for _, route := range t {
		answers, failed, slow := route.samples()
		e.Answers += answers
		e.Verdict = max(e.Verdict, failed.verdict(badFailures, suspiciousFailures), slow.verdict(badSlow, suspiciousSlow))
		allFailed.add(failed)
		allSlow.add(slow)
	}
	e.Verdict = max(e.Verdict, allFailed.verdict(badFailures, suspiciousFailures), allSlow.verdict(badSlow, suspiciousSlow))
	e.Bad = allFailed.bad + allSlow.bad
	return e
}

// samples returns the answers of the new version on a route, and its failures and slow answers
// compared with those of the old version.
func (r *RouteTally) samples() (answers int, failed, slow sample) {
	limit, failures, slowShare := time.Duration(math.MaxInt64), assumedFailures, minSlow
	if r.Old.Answered.total() >= minOldAnswers {
		limit = time.Duration(slowFactor*float64(r.Old.Answered.median())) + slowMargin
		n := float64(r.Old.answers(limit))
		failures = max(float64(r.Old.Failed)/n, minFailures)
		slowShare = max(float64(r.Old.slow(limit))/n, minSlow)
	}
	answers = r.New.answers(limit)
	return answers, newSample(answers, r.New.Failed, failures), newSample(answers, r.New.slow(limit), slowShare)
}

// answers returns the number of answers. A request that was cut counts only if it had already
// lasted longer than a slow answer.
func (c *Counts) answers(slowLimit time.Duration) int {
	return c.Answered.total() + c.Failed + c.Cut.above(slowLimit)
}

// slow returns the number of answers above a latency, requests that were cut included.
func (c *Counts) slow(slowLimit time.Duration) int {
	return c.Answered.above(slowLimit) + c.Cut.above(slowLimit)
}
