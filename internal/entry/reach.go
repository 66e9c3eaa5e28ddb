package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/reach"
)

// reachConfig tells a data centre that is cut off from replicas that pause for a
// moment each at its own time.
var reachConfig = reach.Config{MinSilentReplicas: 4, MinSilence: 220 * time.Millisecond, ProbeInterval: 400 * time.Millisecond}

const (
	// reachTick is the interval between looks at silent data centres.
	reachTick = 50 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
)

// reachability shares a reach.Tracker among the requests of this host.
type reachability struct {
	dial func(ctx context.Context, address string) error
	// pick returns addresses of up to n replicas that are registered in a data centre.
	pick func(dataCentre string, n int) []string

	mu      sync.Mutex
	tracker *reach.Tracker
}

func newReachability(dial func(ctx context.Context, address string) error, pick func(string, int) []string) *reachability {
	return &reachability{dial: dial, pick: pick, tracker: reach.New(reachConfig)}
}

func (r *reachability) sent(now time.Time, dataCentre, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RequestSent(now, dataCentre, replica)
}

func (r *reachability) heard(now time.Time, dataCentre string) {
	r.mu.Lock()
	change, back := r.tracker.ReplyReceived(now, dataCentre)
	r.mu.Unlock()
	if back {
		klog.InfoS("Data centre reached again", "dataCentre", change.DataCentre, "outMS", change.Elapsed.Milliseconds())
	}
}

// outFor returns how long a data centre has been out of reach.
func (r *reachability) outFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, out := r.tracker.UnreachableSince()
	if !out {
		return 0
	}
	return now.Sub(since)
}

// look looks for silent data centres and probes them.
func (r *reachability) look(ctx context.Context, now time.Time) {
	r.mu.Lock()
	changes, probes := r.tracker.Tick(now), r.tracker.DueProbes(now)
	r.mu.Unlock()
	for _, c := range changes {
		logOutOfReach(c)
	}
	for _, p := range probes {
		go r.probe(ctx, p)
	}
}

// probe tries any registered replica: those that were silent may be gone.
func (r *reachability) probe(ctx context.Context, dataCentre string) {
	tried, err := r.try(ctx, dataCentre, 1)
	if tried == 0 {
		return
	}
	if err != nil {
		klog.V(1).InfoS("Data centre still out of reach", "dataCentre", dataCentre, "err", err)
		return
	}
	r.heard(time.Now(), dataCentre)
}

// try opens connections to up to n replicas of a data centre. It returns their number
// and, if none was reached, an error.
func (r *reachability) try(ctx context.Context, dataCentre string, n int) (tried int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	addresses := r.pick(dataCentre, n)
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

// outOfReach returns the data centres that are out of reach.
func (r *reachability) outOfReach() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Unreachable()
}

// doubt takes the data centres that another host of this one can't reach. A host that
// sends little notices a cut late, and the balancer uses a data centre while one of its
// hosts is ready.
func (r *reachability) doubt(ctx context.Context, dataCentres []string) {
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

// check tries as many replicas of a data centre as have to be silent.
func (r *reachability) check(ctx context.Context, began time.Time, dataCentre string) {
	tried, err := r.try(ctx, dataCentre, reachConfig.MinSilentReplicas)
	now := time.Now()
	if err == nil && tried > 0 {
		r.heard(now, dataCentre)
		return
	}
	r.mu.Lock()
	change, out := r.tracker.CheckFailed(now, began, dataCentre, tried)
	r.mu.Unlock()
	if out {
		logOutOfReach(change)
	}
}

func logOutOfReach(c reach.Change) {
	klog.InfoS("Data centre out of reach", "dataCentre", c.DataCentre, "silentReplicas", c.SilentReplicas, "silentMS", c.Elapsed.Milliseconds())
}
