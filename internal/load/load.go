// Package load sends an open-loop load to daemons and reports what callers saw.
//
// Arrivals follow a Poisson process with a fixed seed. A request's latency counts
// from the time at which it was due, so that a stall is not hidden by callers
// that wait.
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
	// highestLatency bounds what the histograms record, in microseconds.
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// bucketWidth is the resolution of the timeline.
	bucketWidth = time.Second
	// requestTimeout bounds one request, above any answer time.
	requestTimeout = 30 * time.Second
)

// Options describe a load.
type Options struct {
	Addresses []string        // caller addresses of the daemons; ready ones are used in turn
	Contracts []string        // contracts of the queries, used in turn
	Request   json.RawMessage // body of every query
	Rate      float64         // queries per second
	// Warmup is sent before the measured part and not recorded: upstreams of a
	// new system start on their cold-start ramp.
	Warmup   time.Duration
	Duration time.Duration // of the measured part
	Seed     uint64
	// Progress is called about once a second.
	Progress func(Bucket)
}

// Bucket is what happened to the requests that were due in one second.
type Bucket struct {
	Second   int     `json:"second"`
	Answers  int     `json:"answers"`
	Complete int     `json:"complete"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// Result is what callers saw.
type Result struct {
	Sent         int            `json:"sent"`
	Answers      int            `json:"answers"`
	Complete     int            `json:"complete"`
	Problems     map[string]int `json:"problems"` // refusals by kind
	Failed       int            `json:"failed"`   // no complete answer at all
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

// ExtraLoad returns hedges and retries as a share of the primary sends.
func (r Result) ExtraLoad() float64 {
	if r.Primary == 0 {
		return 0
	}
	return float64(r.Hedges+r.Retries) / float64(r.Primary)
}

// recorder collects results.
type recorder struct {
	mu       sync.Mutex
	result   Result
	all      *hdrhistogram.Histogram
	coverage float64
	buckets  []*bucket
}

type bucket struct {
	Bucket
	latency *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, significantDigits)
}

func newRecorder(d time.Duration) *recorder {
	r := &recorder{all: newHistogram(), result: Result{Problems: make(map[string]int)}}
	for i := range int(d/bucketWidth) + 1 {
		r.buckets = append(r.buckets, &bucket{Bucket: Bucket{Second: i}, latency: newHistogram()})
	}
	return r
}

// record takes the end of a request that was due at a time since the start of
// the measured part.
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
		r.answer(b, latency, a)
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

func (r *recorder) answer(b *bucket, latency time.Duration, a api.Answer) {
	r.result.Answers++
	b.Answers++
	if a.Coverage.Complete {
		r.result.Complete++
		b.Complete++
	}
	r.coverage += a.Coverage.Share
	r.result.Primary += a.Sends.Primary
	r.result.Hedges += a.Sends.Hedges
	r.result.Retries += a.Sends.Retries
	us := max(latency.Microseconds(), 1)
	// The histograms refuse only values above highestLatency, which
	// requestTimeout excludes.
	_ = r.all.RecordValue(us)
	_ = b.latency.RecordValue(us)
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (b *bucket) finished() Bucket {
	b.P50MS = milliseconds(b.latency.ValueAtQuantile(50))
	b.P99MS = milliseconds(b.latency.ValueAtQuantile(99))
	return b.Bucket
}

func (r *recorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	if result.Answers > 0 {
		result.MeanCoverage = r.coverage / float64(result.Answers)
	}
	result.P50MS = milliseconds(r.all.ValueAtQuantile(50))
	result.P90MS = milliseconds(r.all.ValueAtQuantile(90))
	result.P99MS = milliseconds(r.all.ValueAtQuantile(99))
	result.P999MS = milliseconds(r.all.ValueAtQuantile(99.9))
	result.MaxMS = milliseconds(r.all.Max())
	for _, b := range r.buckets {
		result.Timeline = append(result.Timeline, b.finished())
	}
	return result
}

// progress returns the bucket of a second that has passed.
func (r *recorder) progress(second int) Bucket {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buckets[min(second, len(r.buckets)-1)].finished()
}

// Run sends the load and waits for every answer.
func Run(ctx context.Context, o Options) Result {
	hosts := newBalancer(o.Addresses)
	defer hosts.close()
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go hosts.run(checking)
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	rec := newRecorder(o.Duration)
	var wait sync.WaitGroup
	started := time.Now().Add(o.Warmup)
	shown := 0
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
		for second := int(due / bucketWidth); o.Progress != nil && shown < second-1; shown++ {
			o.Progress(rec.progress(shown))
		}
	}
	wait.Wait()
	return rec.finish()
}

// maxConnections is kept open to each daemon; connecting would otherwise count
// into the latency.
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
