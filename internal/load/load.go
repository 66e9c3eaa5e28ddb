// Package load sends an open-loop load to daemons and reports the results that
// callers received.
//
// Arrivals follow a Poisson process with a fixed seed. The latency of a request is
// measured from the time at which it was due, which avoids coordinated omission: a
// stall counts also for the requests that it delays.
package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/api"
)

const (
	// highestLatency is the highest value of the histograms, in microseconds.
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// bucketWidth is the time that one bucket of the timeline covers.
	bucketWidth = time.Second
	// requestTimeout bounds one request. It exceeds the answer time of every contract.
	requestTimeout = 30 * time.Second
)

// Options describe a load.
type Options struct {
	Addresses []string        // caller addresses of the daemons; the ready ones are used in turn
	Contracts []string        // contracts of the queries, used in turn
	Request   json.RawMessage // body of every query
	Rate      float64         // queries per second
	// Warmup is the time for which the load is sent before the measured part and not
	// recorded: the upstreams of a new system start on their cold-start ramp.
	Warmup   time.Duration
	Duration time.Duration // of the measured part
	Seed     uint64
	// Progress, if set, is called about once a second.
	Progress func(Bucket)
}

// Bucket counts the outcomes of the requests that were due in one second of the
// measured part.
type Bucket struct {
	Second   int     `json:"second"`
	Answers  int     `json:"answers"`
	Complete int     `json:"complete"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// Result summarizes the outcomes of the measured part of a load.
type Result struct {
	Sent         int            `json:"sent"`
	Answers      int            `json:"answers"`
	Complete     int            `json:"complete"`
	Problems     map[string]int `json:"problems"` // refused requests by kind of problem
	Failed       int            `json:"failed"`   // requests without a complete answer
	MeanCoverage float64        `json:"mean_coverage"`
	Primary      int            `json:"primary"`
	Hedges       int            `json:"hedges"`
	Retries      int            `json:"retries"`
	P50MS        float64        `json:"p50_ms"`
	P90MS        float64        `json:"p90_ms"`
	P99MS        float64        `json:"p99_ms"`
	P999MS       float64        `json:"p999_ms"`
	MaxMS        float64        `json:"max_ms"`
	Timeline     []Bucket       `json:"timeline"`
	FirstFailure string         `json:"first_failure,omitempty"`
}

// ExtraLoad returns the ratio of hedges and retries to primary sends.
func (r Result) ExtraLoad() float64 {
	if r.Primary == 0 {
		return 0
	}
	return float64(r.Hedges+r.Retries) / float64(r.Primary)
}

// recorder collects the outcomes of a load's requests.
type recorder struct {
	mu           sync.Mutex
	result       Result
	allLatencies *hdrhistogram.Histogram
	coverageSum  float64
	buckets      []*bucket
}

type bucket struct {
	Bucket
	latency *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, significantDigits)
}

func newRecorder(d time.Duration) *recorder {
	r := &recorder{allLatencies: newHistogram(), result: Result{Problems: make(map[string]int)}}
	for i := range int(d/bucketWidth) + 1 {
		r.buckets = append(r.buckets, &bucket{Bucket: Bucket{Second: i}, latency: newHistogram()})
	}
	return r
}

// record adds the outcome of a request. due is its due time since the start of the
// measured part; it is negative during the warm-up, which is not recorded.
func (r *recorder) record(due, latency time.Duration, a api.Answer, err error) {
	if due < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[min(int(due/bucketWidth), len(r.buckets)-1)]
	r.result.Sent++
	var p *api.Problem
	switch {
	case err == nil:
		r.recordAnswer(b, latency, a)
	case errors.As(err, &p):
		r.result.Problems[string(p.Kind)]++
		b.Refused++
	default:
		r.result.Failed++
		b.Failed++
		if r.result.FirstFailure == "" {
			r.result.FirstFailure = err.Error()
		}
	}
}

func (r *recorder) recordAnswer(b *bucket, latency time.Duration, a api.Answer) {
	r.result.Answers++
	b.Answers++
	if a.Coverage.Complete {
		r.result.Complete++
		b.Complete++
	}
	r.coverageSum += a.Coverage.Share
	r.result.Primary += a.Sends.Primary
	r.result.Hedges += a.Sends.Hedges
	r.result.Retries += a.Sends.Retries
	us := max(latency.Microseconds(), 1)
	// RecordValue fails only for values above highestLatency, which requestTimeout
	// rules out.
	_ = r.allLatencies.RecordValue(us)
	_ = b.latency.RecordValue(us)
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (b *bucket) summary() Bucket {
	b.P50MS = milliseconds(b.latency.ValueAtQuantile(50))
	b.P99MS = milliseconds(b.latency.ValueAtQuantile(99))
	return b.Bucket
}

func (r *recorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	if result.Answers > 0 {
		result.MeanCoverage = r.coverageSum / float64(result.Answers)
	}
	result.P50MS = milliseconds(r.allLatencies.ValueAtQuantile(50))
	result.P90MS = milliseconds(r.allLatencies.ValueAtQuantile(90))
	result.P99MS = milliseconds(r.allLatencies.ValueAtQuantile(99))
	result.P999MS = milliseconds(r.allLatencies.ValueAtQuantile(99.9))
	result.MaxMS = milliseconds(r.allLatencies.Max())
	for _, b := range r.buckets {
		result.Timeline = append(result.Timeline, b.summary())
	}
	return result
}

// progress returns the bucket of a past second.
func (r *recorder) progress(second int) Bucket {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buckets[min(second, len(r.buckets)-1)].summary()
}

// Run sends the load, waits until every request has ended and returns the result.
func Run(ctx context.Context, o Options) Result {
	hosts := newBalancer(o.Addresses)
	defer hosts.close()
	checkCtx, stop := context.WithCancel(ctx)
	defer stop()
	go hosts.run(checkCtx)
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	rec := newRecorder(o.Duration)
	var wait sync.WaitGroup
	started := time.Now().Add(o.Warmup)
	reported := 0
	for n, due := 0, -o.Warmup; ; n++ {
		due += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if due >= o.Duration || !waitUntil(ctx, started.Add(due)) {
			break
		}
		client := hosts.pick()
		name := o.Contracts[n%len(o.Contracts)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			send(ctx, client, name, o.Request, started, due, rec)
		}()
		for second := int(due / bucketWidth); o.Progress != nil && reported < second-1; reported++ {
			o.Progress(rec.progress(reported))
		}
	}
	wait.Wait()
	return rec.finish()
}

// maxConnections is the number of connections that are kept open to each daemon.
// With fewer, the time to connect would count into the latency.
const maxConnections = 256

func send(ctx context.Context, c *api.Client, name string, body json.RawMessage, started time.Time, due time.Duration, rec *recorder) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := c.Query(ctx, api.QueryRequest{Contract: name, Request: body})
	rec.record(due, time.Since(started.Add(due)), answer, err)
}

func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
