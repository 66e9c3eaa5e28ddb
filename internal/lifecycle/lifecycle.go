// Package lifecycle runs the phases of a host from start to planned stop.
package lifecycle

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/stepper"
)

// Lifecycle runs the phases of this host.
type Lifecycle struct {
	host *drain.HostLifecycle
	step stepper.Stepper[drain.Action]
	// Announce publishes this host's phase to its peers and to the host list.
	Announce func(drain.Phase)
	// Release releases this host's shares and returns after the ownership table shows
	// the release.
	Release func()
	// Conclude ends everything in flight, so that it is answered before the stop ends.
	Conclude func()
	exited   chan drain.Exit
}

// New returns the lifecycle of a starting host.
func New(cfg drain.Config) *Lifecycle {
	l := &Lifecycle{
		host: drain.NewHostLifecycle(cfg), Announce: func(drain.Phase) {}, Release: func() {}, Conclude: func() {}, exited: make(chan drain.Exit, 1),
	}
	l.step.Tick, l.step.Next, l.step.Perform = l.host.Tick, l.host.Next, l.perform
	return l
}

func (l *Lifecycle) perform(_ time.Time, actions []drain.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case drain.Announce:
			klog.InfoS("Phase changed", "phase", a.Phase)
			l.Announce(a.Phase)
		case drain.ReleaseShares:
			go func() {
				l.Release()
				l.step.Step(l.host.SharesReleased)
			}()
		case drain.Conclude:
			klog.InfoS("Planned stop concludes the requests in flight", "inFlight", l.InFlight())
			l.Conclude()
		case drain.Exit:
			l.exited <- a
		}
	}
}

// SetConfiguration reports that a configuration is in force, and whether it takes this
// data centre out of service.
func (l *Lifecycle) SetConfiguration(out bool) {
	l.step.Step(func(time.Time) []drain.Action { return l.host.SetConfiguration(out) })
}

// SetConfig changes the settings of a planned stop that has not begun.
func (l *Lifecycle) SetConfig(cfg drain.Config) {
	l.step.Step(func(time.Time) []drain.Action {
		l.host.SetConfig(cfg)
		return nil
	})
}

// Begin registers a new request and reports whether it is accepted.
func (l *Lifecycle) Begin(r drain.Request) bool {
	accepted := false
	l.step.Step(func(now time.Time) []drain.Action {
		accepted = l.host.Begin(now, r)
		return nil
	})
	return accepted
}

// Accepts reports whether a request would be accepted, and registers nothing.
func (l *Lifecycle) Accepts(r drain.Request) bool {
	accepted := false
	l.step.View(func(now time.Time) { accepted = l.host.Accepts(now, r) })
	return accepted
}

// End reports that an accepted request has finished.
func (l *Lifecycle) End(w drain.Work) {
	l.step.Step(func(now time.Time) []drain.Action { return l.host.End(now, w) })
}

// Phase returns the current phase of this host.
func (l *Lifecycle) Phase() drain.Phase {
	var phase drain.Phase
	l.step.View(func(time.Time) { phase = l.host.Phase() })
	return phase
}

// InFlight returns the number of requests in flight.
func (l *Lifecycle) InFlight() int {
	n := 0
	l.step.View(func(time.Time) { n = l.host.InFlight() })
	return n
}

// CutOff returns the number of requests that the stop cut off.
func (l *Lifecycle) CutOff() int {
	n := 0
	l.step.View(func(time.Time) { n = l.host.CutOff() })
	return n
}

// StopAndWait begins a planned stop and waits until it ends or ctx is done. It returns
// the number of requests that were cut off or, if ctx is done first, that are still in
// flight.
func (l *Lifecycle) StopAndWait(ctx context.Context) int {
	l.step.Step(l.host.Stop)
	select {
	case exit := <-l.exited:
		return exit.CutOff
	case <-ctx.Done():
		return l.InFlight()
	}
}

// Stop begins a planned stop without waiting for its end.
func (l *Lifecycle) Stop() { l.step.Step(l.host.Stop) }

// Ready reports whether the load balancer should send requests to this host. If not, it
// returns the reason.
func (l *Lifecycle) Ready() (bool, string) {
	ready, reason := false, ""
	l.step.View(func(time.Time) { ready, reason = l.host.Ready() })
	return ready, reason
}
