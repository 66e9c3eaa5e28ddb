package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/reach"
)

// reachConfig is chosen to tell an unreachable data centre from replicas that each
// pause briefly at different times.
var reachConfig = reach.Config{MinSilentReplicas: 4, MinSilence: 220 * time.Millisecond, ProbeInterval: 400 * time.Millisecond}

const (
	// reachTick is the interval between checks for silent data centres.
	reachTick = 50 * time.Millisecond
	// probeTimeout is the timeout of a probe.
	probeTimeout = 300 * time.Millisecond
)

// reachability guards a reach.Tracker that all requests of this host share.
type reachability struct {
	dial func(ctx context.Context, address string) error
	// sample returns addresses of up to n random replicas registered in a data centre.
	sample func(dataCentre string, n int) []string

	mu      sync.Mutex
	tracker *reach.Tracker
}

func newReachability(dial func(ctx context.Context, address string) error, sample func(string, int) []string) *reachability {
	return &reachability{dial: dial, sample: sample, tracker: reach.New(reachConfig)}
}

// sent records that a request was sent to a replica.
func (r *reachability) sent(now time.Time, dataCentre, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RequestSent(now, dataCentre, replica)
}

// recordReply records a reply from a data centre, or a successful probe.
func (r *reachability) recordReply(now time.Time, dataCentre string) {
	r.mu.Lock()
	change, reachable := r.tracker.ReplyReceived(now, dataCentre)
	r.mu.Unlock()
	if reachable {
		klog.InfoS("Data centre reached again", "dataCentre", change.DataCentre, "outMS", change.Elapsed.Milliseconds())
	}
}

// unreachableFor returns for how long at least one data centre has been unreachable; 0 if
// all are reachable.
func (r *reachability) unreachableFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, out := r.tracker.UnreachableSince()
	if !out {
		return 0
	}
	return now.Sub(since)
}

// tick detects silent data centres and starts probes.
func (r *reachability) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	changes, probes := r.tracker.Tick(now), r.tracker.DueProbes(now)
	r.mu.Unlock()
	for _, c := range changes {
		logUnreachable(c)
	}
	for _, p := range probes {
		go r.probe(ctx, p)
	}
}

// probe connects to a random registered replica rather than to one that fell silent,
// which may be gone.
func (r *reachability) probe(ctx context.Context, dataCentre string) {
	tried, err := r.dialAny(ctx, dataCentre, 1)
	if tried == 0 {
		return
	}
	if err != nil {
		klog.V(1).InfoS("Probe of an unreachable data centre failed", "dataCentre", dataCentre, "err", err)
		return
	}
	r.recordReply(time.Now(), dataCentre)
}

// dialAny connects to up to n replicas of a data centre at the same time and returns
// after the first success. It returns how many it tried and, if none succeeded, an error.
func (r *reachability) dialAny(ctx context.Context, dataCentre string, n int) (tried int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	addresses := r.sample(dataCentre, n)
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- r.dial(ctx, address) }()
	}
	for range addresses {
		if err = <-results; err == nil {
			break
		}
	}
	return len(addresses), err
}

// unreachable returns the data centres that this host can't reach.
func (r *reachability) unreachable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Unreachable()
}

// verify checks data centres that another host of this data centre reports as
// unreachable. A host with little traffic notices an outage late, and the balancer keeps
// using a data centre while any of its hosts is ready.
func (r *reachability) verify(ctx context.Context, dataCentres []string) {
	for _, name := range dataCentres {
		now := time.Now()
		r.mu.Lock()
		due := r.tracker.ReportedUnreachable(now, name)
		r.mu.Unlock()
		if due {
			go r.check(ctx, now, name)
		}
	}
}

// check tries as many replicas of a data centre as must be silent for it to count as
// unreachable.
func (r *reachability) check(ctx context.Context, started time.Time, dataCentre string) {
	tried, err := r.dialAny(ctx, dataCentre, reachConfig.MinSilentReplicas)
	now := time.Now()
	if err == nil && tried > 0 {
		r.recordReply(now, dataCentre)
		return
	}
	r.mu.Lock()
	change, out := r.tracker.CheckFailed(now, started, dataCentre, tried)
	r.mu.Unlock()
	if out {
		logUnreachable(change)
	}
}

func logUnreachable(c reach.Change) {
	klog.InfoS("Data centre out of reach", "dataCentre", c.DataCentre, "silentReplicas", c.SilentReplicas, "silentMS", c.Elapsed.Milliseconds())
}
