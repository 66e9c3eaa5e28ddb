package rollout

import (
	"math"
	"time"
)

// Result is how a request to a replica ended.
type Result int

const (
	// Ignored requests say nothing about the version: the replica did not run them.
	Ignored Result = iota
	// Answered requests got a reply that is no failure of the replica.
	Answered
	// Failed requests got a failure of the replica, or no usable reply.
	Failed
	// Cut requests were given up before their reply arrived.
	Cut
)

// Histogram counts requests by bucket of latency.
type Histogram map[int]int

const (
	// buckets is the number of buckets of a histogram, and bucketsPerDoubling of them end at
	// twice the latency. The first ends at 1 ms.
	buckets            = 64
	bucketsPerDoubling = 4
	// maxRoutes bounds the routes that are counted separately, and so the size of a report; the
	// others are counted as one.
	maxRoutes = 16
)

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	ms := float64(latency) / float64(time.Millisecond)
	return min(max(int(math.Ceil(bucketsPerDoubling*math.Log2(max(ms, 1)))), 0), buckets-1)
}

// bucketLatency returns the highest latency of a bucket.
func bucketLatency(bucket int) time.Duration {
	return time.Duration(math.Pow(2, float64(bucket)/bucketsPerDoubling) * float64(time.Millisecond))
}

// total returns the number of requests.
func (h Histogram) total() int {
	n := 0
	for _, c := range h {
		n += c
	}
	return n
}

// above returns the number of requests in buckets that lie wholly above a latency.
func (h Histogram) above(limit time.Duration) int {
	n := 0
	for bucket, c := range h {
		if bucketLatency(bucket-1) >= limit {
			n += c
		}
	}
	return n
}

// median returns the upper end of the bucket that holds the median.
func (h Histogram) median() time.Duration {
	half, n := (h.total()+1)/2, 0
	for bucket := range buckets {
		if n += h[bucket]; n >= half && n > 0 {
			return bucketLatency(bucket)
		}
	}
	return 0
}

// Counts are the results of the requests to one version on one route.
type Counts struct {
	Failed   int       `json:"failed,omitempty"`
	Answered Histogram `json:"answered,omitempty"`
	Cut      Histogram `json:"cut,omitempty"`
}

// record counts the result of a request.
func (c *Counts) record(r Result, latency time.Duration) {
	switch r {
	case Failed:
		c.Failed++
	case Answered:
		count(&c.Answered, bucketOf(latency), 1)
	case Cut:
		count(&c.Cut, bucketOf(latency), 1)
	}
}

// count adds requests to a bucket, and makes the histogram if there is none.
func count(h *Histogram, bucket, n int) {
	if *h == nil {
		*h = Histogram{}
	}
	(*h)[bucket] += n
}

// add adds other counts so many times.
func (c *Counts) add(o Counts, times int) {
	c.Failed += times * o.Failed
	for bucket, n := range o.Answered {
		count(&c.Answered, bucket, times*n)
	}
	for bucket, n := range o.Cut {
		count(&c.Cut, bucket, times*n)
	}
}

// RouteTally are the results on one route, of the ordered version and of all others.
type RouteTally struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Tally are the results of the requests to a service by route.
type Tally map[string]*RouteTally

// route returns the tally of a route, or the common one if there are too many routes.
func (t Tally) route(name string) *RouteTally {
	if t[name] == nil && len(t) >= maxRoutes {
		name = ""
	}
	if t[name] == nil {
		t[name] = &RouteTally{}
	}
	return t[name]
}

func (t Tally) add(o Tally) { t.addTimes(o, 1) }

// subtract takes away what was added before. The routes of a host's reports are always counted
// under the same names, because routes are never removed.
func (t Tally) subtract(o Tally) { t.addTimes(o, -1) }

func (t Tally) addTimes(o Tally, times int) {
	for name, r := range o {
		sum := t.route(name)
		sum.Old.add(r.Old, times)
		sum.New.add(r.New, times)
	}
}
