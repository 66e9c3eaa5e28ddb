package drain

import (
	"time"
)

// Phase is the phase of this host.
type Phase string

// Phases of a host, in their usual order.
const (
	// Starting hosts have no configuration yet.
	Starting Phase = "starting"
	// Ready hosts serve callers.
	Ready Phase = "ready"
	// Out hosts are in a data centre that is out: unready, but they answer
	// requests that reach them.
	Out Phase = "out"
	// Leaving hosts have begun a planned stop.
	Leaving Phase = "leaving"
	// Stopped hosts have nothing in flight and end.
	Stopped Phase = "stopped"
)

// Work is a kind of work in flight.
type Work int

const (
	// CallerWork is a request of a caller.
	CallerWork Work = iota
	// OwnerWork is work that an entry host forwarded to this host as the owner
	// of an upstream.
	OwnerWork
	// RecordWork is a non-idempotent request that this host records for an
	// entry host.
	RecordWork
	// OutcomeWork is an outcome of such a request that is still to be written.
	// It delays a stop, but nobody waits for it, so it can't be cut off.
	OutcomeWork
	workKinds
)

// Action is something that the shell must do: Announce, ReleaseShares or Exit.
type Action interface{ action() }

// Announce tells peers and, if it leaves, the host list the phase of this host.
// The balancer's readiness follows Host.Ready.
type Announce struct{ Phase Phase }

// ReleaseShares asks to give up this host's shares in the ownership table. The
// shell reports the end by SharesReleased. If the platform can't be reached, it
// may report it without a release: the shares then move once the host is found
// dead, and the stop need not last for the whole grace period.
type ReleaseShares struct{}

// Exit asks to end the process. CutOff requests were still in flight, and
// Unwritten outcomes are lost; resends of their keys get may_have_run.
type Exit struct{ CutOff, Unwritten int }

func (Announce) action()      {}
func (ReleaseShares) action() {}
func (Exit) action()          {}

// HostLifecycle is the phase of this host. It is not safe for concurrent use.
type HostLifecycle struct {
	cfg        Config
	configured bool
	out        bool
	phase      Phase
	stopAt     time.Time // when the planned stop began
	releasing  bool
	released   bool
	work       [workKinds]int
	cutOff     int
}

// NewHostLifecycle returns a Host in phase Starting.
func NewHostLifecycle(cfg Config) *HostLifecycle {
	return &HostLifecycle{cfg: cfg, phase: Starting}
}

// Phase returns the phase.
func (h *HostLifecycle) Phase() Phase { return h.phase }

// Ready reports whether the load balancer should send requests here, and if
// not, why.
func (h *HostLifecycle) Ready() (bool, string) {
	switch h.phase {
	case Ready:
		return true, ""
	case Starting:
		return false, "no configuration yet"
	case Out:
		return false, "data centre is out"
	default:
		return false, "host is " + string(h.phase)
	}
}

// SetConfiguration tells that a configuration is in force, and whether this
// host's data centre is out in it.
func (h *HostLifecycle) SetConfiguration(out bool) []Action {
	h.configured = true
	h.out = out
	if h.phase == Leaving || h.phase == Stopped {
		return nil
	}
	next := Ready
	if out {
		next = Out
	}
	if next == h.phase {
		return nil
	}
	h.phase = next
	return []Action{Announce{Phase: next}}
}

// Stop begins a planned stop. Later calls change nothing.
func (h *HostLifecycle) Stop(now time.Time) []Action {
	if h.phase == Leaving || h.phase == Stopped {
		return nil
	}
	h.phase = Leaving
	h.stopAt = now
	return append([]Action{Announce{Phase: Leaving}}, h.Tick(now)...)
}

// Begin counts a request in and reports whether it is accepted. Owner work is
// refused once peers have had the time to hear that the host leaves, and any
// request that might last longer than the grace period; who sent it then knows
// that it was not run and takes another host.
func (h *HostLifecycle) Begin(now time.Time, w Work) bool {
	if h.phase == Stopped || h.phase == Leaving && !h.fits(now, w) {
		return false
	}
	h.work[w]++
	return true
}

func (h *HostLifecycle) fits(now time.Time, w Work) bool {
	if w == OutcomeWork {
		return true
	}
	if w == OwnerWork && (h.releasing || !now.Before(h.stopAt.Add(h.cfg.PeerLag))) {
		return false
	}
	return now.Add(h.cfg.LongestDeadline).Before(h.stopAt.Add(h.cfg.Grace))
}

// End counts a request out.
func (h *HostLifecycle) End(now time.Time, w Work) []Action {
	if h.work[w] > 0 {
		h.work[w]--
	}
	return h.Tick(now)
}

// SharesReleased tells that the ownership table no longer gives this host shares.
func (h *HostLifecycle) SharesReleased(now time.Time) []Action {
	h.released = true
	return h.Tick(now)
}

// InFlight returns the number of requests in flight and of unwritten outcomes.
func (h *HostLifecycle) InFlight() int {
	n := 0
	for _, w := range h.work {
		n += w
	}
	return n
}

// CutOff returns the number of requests that the stop cut off.
func (h *HostLifecycle) CutOff() int { return h.cutOff }

// Tick carries a planned stop on.
func (h *HostLifecycle) Tick(now time.Time) []Action {
	if h.phase != Leaving {
		return nil
	}
	var acts []Action
	if !h.releasing && h.work[OwnerWork] == 0 && !now.Before(h.stopAt.Add(h.cfg.PeerLag)) {
		h.releasing = true
		acts = append(acts, ReleaseShares{})
	}
	idle := h.released && h.InFlight() == 0 && !now.Before(h.stopAt.Add(h.cfg.BalancerLag))
	if idle || !now.Before(h.stopAt.Add(h.cfg.Grace)) {
		h.phase = Stopped
		h.cutOff = h.InFlight() - h.work[OutcomeWork]
		acts = append(acts, Announce{Phase: Stopped}, Exit{CutOff: h.cutOff, Unwritten: h.work[OutcomeWork]})
	}
	return acts
}

// Next returns the time at which Tick is due, and false if no stop is going on.
func (h *HostLifecycle) Next() (time.Time, bool) {
	if h.phase != Leaving {
		return time.Time{}, false
	}
	at := h.stopAt.Add(h.cfg.Grace)
	if !h.releasing && h.work[OwnerWork] == 0 {
		at = earlier(at, h.stopAt.Add(h.cfg.PeerLag))
	}
	if h.released && h.InFlight() == 0 {
		at = earlier(at, h.stopAt.Add(h.cfg.BalancerLag))
	}
	return at, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
