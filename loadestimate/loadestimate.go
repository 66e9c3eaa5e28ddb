// Package loadestimate estimates how long a replica takes for a request now, from the load
// that it reported with its last reply.
//
// A report is old when it is used: the queue has changed, and other hosts have chosen by
// reports of the same time. An estimate therefore counts this host's own requests as they
// are, and takes the other hosts' requests and the replica's pace as reported, discounted
// with the report's age towards their means. What the replica's replies took on average
// includes the mean queue and the mean pace, so only the deviations from them count.
package loadestimate

import (
	"math"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// queueLifetime is the age, in mean latencies, at which the deviation of a reported queue
	// from its mean counts 1/e of what it did at first: few requests stay in a queue for longer.
	queueLifetime = 1
	// paceLifetime is the age at which the deviation of a reported pace from its mean counts
	// 1/e. The pace follows the load that other programs put on the replica's machine.
	paceLifetime = 250 * time.Millisecond
	// paceWeight is the share of a pace's deviation from its mean that counts: the pace may
	// change before the request arrives, and not all of a latency is work.
	paceWeight = 0.5
	// latencyLifetime is the age of the last report at which the deviation of a replica's
	// relative latency from 1 counts 1/e, so that a replica that was avoided is tried again.
	latencyLifetime = 2 * time.Second
	// meanWeight is the weight of a new report in the means. It is high because a host with a
	// small share of the requests gets few reports.
	meanWeight = 0.3
	// latencyWeight is the weight of a new relative latency in the mean.
	latencyWeight = 0.1
	// usualPace is the reported pace, in percent, of a replica that works at its usual speed.
	usualPace = 100
	// minRelative and maxRelative bound the recorded relative latencies, because one
	// straggler tells little about the next request.
	minRelative, maxRelative = 0.25, 4
	// busyCost is the cost of a request in each slot, in latencies. It spreads requests over
	// replicas with free slots, so that a pause of one of them delays fewer.
	busyCost = 0.2
	// waitCost is the cost of one request waiting for each slot, in latencies: the request
	// waits itself and delays those behind it.
	waitCost = 2
)

// Replica holds the estimate for one replica. The zero value has no report.
type Replica struct {
	reportedAt time.Time
	slots      float64
	// others is the number of requests from other hosts at the last report, pace the time
	// that work took then, relative to its usual time. The means are over recent reports.
	others, meanOthers float64
	pace, meanPace     float64
	// latency is the mean of the recent latencies, relative to the mean latency of all
	// replicas.
	latency float64
}

// Report records a reported load. inFlight is the number of this host's requests at the
// replica, including the one that was answered. Reports without slots are ignored.
func (r *Replica) Report(now time.Time, load upstream.Load, inFlight int) {
	if load.Slots <= 0 {
		return
	}
	others := max(float64(load.InFlight+load.Waiting-inFlight), 0)
	pace := 1.0
	if load.Pace > 0 {
		pace = float64(load.Pace) / usualPace
	}
	if !r.Known() {
		r.meanOthers, r.meanPace, r.latency = others, pace, 1
	}
	r.reportedAt, r.slots, r.others, r.pace = now, float64(load.Slots), others, pace
	r.meanOthers += meanWeight * (others - r.meanOthers)
	r.meanPace += meanWeight * (pace - r.meanPace)
}

// Observe records the latency of a reply, relative to the mean latency of all replicas. It
// must be called after Report.
func (r *Replica) Observe(relative float64) {
	if !r.Known() {
		return
	}
	r.latency += latencyWeight * (min(max(relative, minRelative), maxRelative) - r.latency)
}

// Known reports whether the replica has ever reported its load.
func (r *Replica) Known() bool { return r.slots > 0 }

// Age returns the age of the last report.
func (r *Replica) Age(now time.Time) time.Duration { return now.Sub(r.reportedAt) }

// queue returns the expected number of requests at the replica, running and waiting. inFlight
// of them are this host's.
func (r *Replica) queue(now time.Time, inFlight int, meanLatency time.Duration) float64 {
	others := discount(r.others, r.meanOthers, r.Age(now), queueLifetime*meanLatency)
	return float64(inFlight) + others
}

// PerSlot returns the mean number of requests at the replica for each slot, with this host's
// requests as they are now. It must not be called before the first report.
func (r *Replica) PerSlot(inFlight int) float64 { return (float64(inFlight) + r.meanOthers) / r.slots }

// Latency returns the expected latency of a request that is sent now, relative to meanLatency,
// the mean latency of all replicas. inFlight is the number of this host's requests at the
// replica now. It must not be called before the first report.
func (r *Replica) Latency(now time.Time, inFlight int, meanLatency time.Duration) float64 {
	queue := r.queue(now, inFlight, meanLatency)
	pace := discount(r.pace/r.meanPace, 1, r.Age(now), paceLifetime)
	latency := discount(r.latency, 1, r.Age(now), latencyLifetime)
	return latency * (1 + paceWeight*(pace-1)) * r.delay(queue) / r.delay(r.meanOthers)
}

// delay returns the factor by which a queue makes requests slower. A request waits if those
// ahead of it take all slots.
func (r *Replica) delay(queue float64) float64 {
	return 1 + busyCost*queue/r.slots + waitCost*max(queue+1-r.slots, 0)/r.slots
}

// discount returns a value that was seen a time ago, moved towards its mean.
func discount(value, mean float64, age, lifetime time.Duration) float64 {
	if lifetime <= 0 {
		return mean
	}
	return mean + (value-mean)*math.Exp(-float64(age)/float64(lifetime))
}
