package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// eraSignal tells trackHosts that the store was restored from a copy, which begins a new era.
type eraSignal struct {
	restored atomic.Bool   // whether the store was restored since this process began
	changed  chan struct{} // holds an element after a change until it is noticed
}

func newEraSignal() *eraSignal { return &eraSignal{changed: make(chan struct{}, 1)} }

func (s *eraSignal) notify() {
	s.restored.Store(true)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// waitResult is why a wait has ended.
type waitResult int

const (
	waitPassed waitResult = iota
	waitNewEra
	waitEnded // the context has ended
)

// waitFor waits for d, or until a new era of the store begins.
func (s *eraSignal) waitFor(ctx context.Context, d time.Duration) waitResult {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return waitEnded
	case <-s.changed:
		return waitNewEra
	case <-timer.C:
		return waitPassed
	}
}

// knownHosts keeps the hosts that the store loses when it is restored from a copy. Without them,
// the shares of the bounds would grow while all hosts are still there.
type knownHosts struct{ last []watchers.Host }

// update returns the hosts of a list. If the store was restored, it returns those that were
// known before as well: there is no telling which of them were lost.
func (k *knownHosts) update(list []watchers.Host, restored bool) []watchers.Host {
	all := slices.Clone(list)
	if restored {
		for _, h := range k.last {
			if !slices.ContainsFunc(list, func(o watchers.Host) bool { return o.ID == h.ID }) {
				all = append(all, h)
			}
		}
	}
	k.last = all
	return all
}
