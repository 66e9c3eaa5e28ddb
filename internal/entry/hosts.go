package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// joinDelay is how long a newly registered host waits before it reads the list again:
// hosts that start at the same time then see each other, and few of them read from the
// store.
const joinDelay = 500 * time.Millisecond

// registerSpread is the time over which the hosts register again after the store was restored
// from a copy.
const registerSpread = 2 * time.Second

// registerRetryDelay is the wait after a failed registration.
const registerRetryDelay = time.Second

// hostListIntervals are the waits between later reads of the host list; the last one
// repeats.
var hostListIntervals = []time.Duration{2 * time.Second, 4 * time.Second, 20 * time.Second}

// Hosts is the list of the tier's hosts, which share the bounds.
type Hosts interface {
	// Register adds this host to the list, or replaces its entry.
	Register(ctx context.Context, host watchers.Host) error
	// List returns the hosts. A stale list may be seconds old and costs less.
	List(ctx context.Context, stale bool) ([]watchers.Host, error)
}

// Self returns this host's entry for the host list.
func (s Settings) Self() watchers.Host {
	return watchers.Host{ID: s.Host, DataCentre: s.DataCentre, Address: s.PeerAddress, Cores: s.Cores}
}

// trackHosts registers this host and follows the list of hosts that share the bounds.
// It calls onJoined once this host is registered and has tried to read the list, and
// after each failed registration. Hosts are never removed from the list: one that is gone
// may come back, and too small a share breaks no bound. A store that is restored from a copy
// loses hosts until they register again; from then on, the hosts known before are kept as well.
func (e *Entry) trackHosts(ctx context.Context, hosts Hosts, onHosts func([]watchers.Host), onJoined func()) {
	listed := false // whether this host is on the last list that was read
	var known knownHosts
	read := func(stale bool) {
		list, err := hosts.List(ctx, stale)
		if err != nil {
			klog.V(1).InfoS("Failed to list hosts", "err", err)
			return
		}
		listed = slices.Contains(list, e.settings.Self())
		list = known.update(list, e.eras.restored.Load())
		onHosts(list)
		e.setHosts(list)
	}
	read(true)
	if !listed { // a restarted host is already listed
		e.quotas.join()
		if !e.register(ctx, hosts, onJoined) {
			return
		}
		wait.For(ctx, joinDelay)
		// A list with this host on it is no older than its registration, which is enough.
		if read(true); !listed {
			read(false)
		}
	}
	onJoined()
	for i := 0; ; i++ {
		switch e.eras.waitFor(ctx, hostListIntervals[min(i, len(hostListIntervals)-1)]) {
		case waitEnded:
			return
		case waitPassed:
			read(true)
		case waitNewEra:
			if !wait.For(ctx, rand.N(registerSpread)) {
				return
			}
			listed = false
			if read(true); !listed && !e.register(ctx, hosts, func() {}) {
				return
			}
			i = -1 // the intervals begin anew
		}
	}
}

// setHosts applies a list of hosts to all that depends on it.
func (e *Entry) setHosts(list []watchers.Host) {
	e.offload.setHosts(list)
	e.rollouts.setHosts(list)
	e.quotas.setHosts(list)
	division := offload.Uniform(max(len(list), 1))
	if e.offload != nil {
		division = offload.Divide(e.settings.Self(), list)
	}
	if old := e.shares.division.Swap(&division); *old != division {
		klog.InfoS("Hosts that share the bounds", "hosts", division.Hosts, "before", old.Hosts,
			"givers", division.OffloadingHosts, "gives", division.Offloads, "largeShare", division.Share)
	}
}

// register adds this host to the list, and reports whether it succeeded before ctx
// ended. It calls onFailure after each failed call.
func (e *Entry) register(ctx context.Context, hosts Hosts, onFailure func()) bool {
	for {
		err := hosts.Register(ctx, e.settings.Self())
		if err == nil {
			return true
		}
		klog.V(1).InfoS("Failed to register this host", "err", err)
		onFailure()
		if !wait.For(ctx, registerRetryDelay) {
			return false
		}
	}
}
