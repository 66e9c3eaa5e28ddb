package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/drain"
)

// lifecycle runs the phases of this host.
type lifecycle struct {
	host *drain.Host
	step stepper[drain.Action]
	// announce tells peers and the host list this host's phase.
	announce func(drain.Phase)
	// release gives up this host's shares and returns once the table shows it.
	release func()
	exited  chan drain.Exit
}

func newLifecycle(cfg drain.Config) *lifecycle {
	l := &lifecycle{
		host: drain.NewHost(cfg), announce: func(drain.Phase) {}, release: func() {}, exited: make(chan drain.Exit, 1),
	}
	l.step.tick, l.step.next, l.step.perform = l.host.Tick, l.host.Next, l.perform
	return l
}

func (l *lifecycle) perform(_ time.Time, actions []drain.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case drain.Announce:
			klog.InfoS("Phase changed", "phase", a.Phase)
			l.announce(a.Phase)
		case drain.ReleaseShares:
			go func() {
				l.release()
				l.step.step(l.host.SharesReleased)
			}()
		case drain.Exit:
			l.exited <- a
		}
	}
}

func (l *lifecycle) setConfiguration(out bool) {
	l.step.step(func(time.Time) []drain.Action { return l.host.SetConfiguration(out) })
}

// begin counts a request in and reports whether it is accepted.
func (l *lifecycle) begin(w drain.Work) bool {
	accepted := false
	l.step.step(func(now time.Time) []drain.Action {
		accepted = l.host.Begin(now, w)
		return nil
	})
	return accepted
}

func (l *lifecycle) end(w drain.Work) {
	l.step.step(func(now time.Time) []drain.Action { return l.host.End(now, w) })
}

func (l *lifecycle) phase() drain.Phase {
	var phase drain.Phase
	l.step.view(func(time.Time) { phase = l.host.Phase() })
	return phase
}

func (l *lifecycle) inFlight() int {
	n := 0
	l.step.view(func(time.Time) { n = l.host.InFlight() })
	return n
}

func (l *lifecycle) cutOff() int {
	n := 0
	l.step.view(func(time.Time) { n = l.host.CutOff() })
	return n
}

// shutDown begins a planned stop and waits for its end. It returns the number of
// requests that were cut off.
func (l *lifecycle) shutDown(ctx context.Context) int {
	l.step.step(l.host.Stop)
	select {
	case exit := <-l.exited:
		return exit.CutOff
	case <-ctx.Done():
		return l.inFlight()
	}
}
