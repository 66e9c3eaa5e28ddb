package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// joinTime is how long a host that is new on the list waits before it reads it again:
// hosts that start together then find each other, and few of them ask the store.
const joinTime = 500 * time.Millisecond

// registerRetry is the wait after a failed registration.
const registerRetry = time.Second

// hostTimes are the waits between later reads of the host list; the last one repeats.
var hostTimes = []time.Duration{2 * time.Second, 4 * time.Second, 20 * time.Second}

// Hosts is the list of hosts of the tier, which share the bounds.
type Hosts interface {
	// Register puts this host on the list, or replaces its entry.
	Register(ctx context.Context, host watchers.Host) error
	// List returns the hosts. A list that may be seconds old costs less.
	List(ctx context.Context, stale bool) ([]watchers.Host, error)
}

// Self returns this host as the others know it.
func (s Settings) Self() watchers.Host {
	return watchers.Host{ID: s.Host, DataCentre: s.DataCentre, Address: s.PeerAddress, Cores: s.Cores}
}

// learnHosts registers this host and learns which others share the bounds. It calls
// joined once a list was read or could not be read. The list never shrinks: a host that
// is gone may come back, and a share that is too small breaks no bound.
func (e *Entry) learnHosts(ctx context.Context, hosts Hosts, known func([]watchers.Host), joined func()) {
	listed := false // this host is on the list that was read last
	read := func(stale bool) {
		list, err := hosts.List(ctx, stale)
		if err != nil {
			klog.V(1).InfoS("Hosts not listed", "err", err)
			return
		}
		listed = slices.Contains(list, e.settings.Self())
		known(list)
		e.offload.setHosts(list)
		division := offload.Uniform(max(len(list), 1))
		if e.offload != nil {
			division = offload.Divide(e.settings.Self(), list)
		}
		if old := e.shares.division.Swap(&division); *old != division {
			klog.InfoS("Hosts that share the bounds", "hosts", division.Hosts, "before", old.Hosts,
				"givers", division.OffloadingHosts, "gives", division.Offloads, "largeShare", division.Share)
		}
	}
	read(true)
	if !listed { // a host that starts again is on the list already
		if !e.register(ctx, hosts, joined) {
			return
		}
		wait.For(ctx, joinTime)
		read(false)
	}
	joined()
	for i := 0; wait.For(ctx, hostTimes[min(i, len(hostTimes)-1)]); i++ {
		read(true)
	}
}

// register puts this host on the list, and reports whether it did before ctx ended. It
// calls failed after each call that failed.
func (e *Entry) register(ctx context.Context, hosts Hosts, failed func()) bool {
	for {
		err := hosts.Register(ctx, e.settings.Self())
		if err == nil {
			return true
		}
		klog.V(1).InfoS("Host not registered", "err", err)
		failed()
		if !wait.For(ctx, registerRetry) {
			return false
		}
	}
}
