package drain

import (
	"time"
)

// Phase is the phase of this host.
type Phase string

// Phases of a host, in the usual order.
const (
	// Starting hosts have no configuration yet.
	Starting Phase = "starting"
	// Ready hosts serve callers.
	Ready Phase = "ready"
	// Out hosts are in a data centre that is out. They are unready but answer the
	// requests that reach them.
	Out Phase = "out"
	// Leaving hosts are performing a planned stop.
	Leaving Phase = "leaving"
	// Stopped hosts have ended their planned stop; their process exits.
	Stopped Phase = "stopped"
)

// Work is a kind of work in flight.
type Work int

const (
	// CallerWork is a request from a caller.
	CallerWork Work = iota
	// OwnerWork is work that an entry host forwarded to this host as the owner
	// of an upstream.
	OwnerWork
	// RecordWork is a non-idempotent request that this host records for an
	// entry host.
	RecordWork
	// OutcomeWork is an outcome of such a request that has not been written yet.
	// It delays a stop, but is not counted as cut off, because no client is
	// waiting for it.
	OutcomeWork
	workKinds
)

// Request describes work that asks to be accepted.
type Request struct {
	Work Work
	// Deadline is when whoever waits for the result stops waiting.
	Deadline time.Time
	// Repeatable is set if the work may be given up and run again on another host.
	Repeatable bool
}

// Action is an action that the caller must perform: Announce, ReleaseShares, Conclude
// or Exit.
type Action interface{ action() }

// Announce requests that the phase of this host be announced to peers and, if the
// host is leaving, to the host list. The load balancer checks readiness, which
// HostLifecycle.Ready returns.
type Announce struct{ Phase Phase }

// ReleaseShares requests the release of this host's shares in the ownership table.
// The caller confirms it with SharesReleased. If the platform can't be reached,
// the caller may confirm without a release, so that the stop does not last for the
// whole grace period; the shares then move when the host is declared dead.
type ReleaseShares struct{}

// Conclude requests that everything in flight be ended and answered now, with what is
// known of it. It comes AnswerTime before the end of the grace period.
type Conclude struct{}

// Exit requests the end of the process. CutOff is the number of requests still in
// flight. Unwritten is the number of outcomes that are lost; resends with their
// keys get may_have_run.
type Exit struct{ CutOff, Unwritten int }

func (Announce) action()      {}
func (ReleaseShares) action() {}
func (Conclude) action()      {}
func (Exit) action()          {}

// HostLifecycle tracks the phase of this host and its work in flight. It is not
// safe for concurrent use.
type HostLifecycle struct {
	cfg        Config
	configured bool
	out        bool
	phase      Phase
	stopAt     time.Time // when the planned stop began
	releasing  bool
	released   bool
	concluded  bool
	work       [workKinds]int
	cutOff     int
}

// NewHostLifecycle returns a HostLifecycle in phase Starting.
func NewHostLifecycle(cfg Config) *HostLifecycle {
	return &HostLifecycle{cfg: cfg, phase: Starting}
}

// Phase returns the current phase.
func (h *HostLifecycle) Phase() Phase { return h.phase }

// Ready reports whether the load balancer should send requests to this host, and
// the reason if not.
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

// SetConfiguration records that a configuration is in force, and whether this
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

// Stop begins a planned stop. Further calls have no effect.
func (h *HostLifecycle) Stop(now time.Time) []Action {
	if h.phase == Leaving || h.phase == Stopped {
		return nil
	}
	h.phase = Leaving
	h.stopAt = now
	return append([]Action{Announce{Phase: Leaving}}, h.Tick(now)...)
}

// SetConfig changes the settings. They do not change a planned stop that has begun.
func (h *HostLifecycle) SetConfig(cfg Config) {
	if h.phase != Leaving {
		h.cfg = cfg
	}
}

// Begin reports whether a request is accepted and, if so, counts it as in flight. The
// sender of a refused request knows that it was not run and can try another host.
func (h *HostLifecycle) Begin(now time.Time, r Request) bool {
	if !h.Accepts(now, r) {
		return false
	}
	h.work[r.Work]++
	return true
}

// Accepts reports whether a request may start now. During a planned stop it may if its
// deadline passes before Conclude, so that no request that is accepted can be cut off.
// Repeatable requests that may last longer are accepted as well for the first OpenEnded
// of the stop. Owner work is refused after PeerLag, when peers have had the time to
// learn that the host is leaving.
func (h *HostLifecycle) Accepts(now time.Time, r Request) bool {
	switch {
	case h.phase == Stopped:
		return false
	case h.phase != Leaving, r.Work == OutcomeWork:
		return true
	case r.Work == OwnerWork && (h.releasing || !now.Before(h.stopAt.Add(h.cfg.PeerLag))):
		return false
	}
	return !r.Deadline.After(h.concludeAt()) || r.Repeatable && !h.concluded && now.Before(h.stopAt.Add(h.cfg.OpenEnded))
}

// concludeAt returns when the work that is still in flight is concluded.
func (h *HostLifecycle) concludeAt() time.Time { return h.stopAt.Add(h.cfg.Grace - h.cfg.AnswerTime) }

// End records the end of a request that Begin accepted.
func (h *HostLifecycle) End(now time.Time, w Work) []Action {
	if h.work[w] > 0 {
		h.work[w]--
	}
	return h.Tick(now)
}

// SharesReleased confirms the ReleaseShares action.
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

// CutOff returns the number of requests that were in flight at the end of the
// planned stop.
func (h *HostLifecycle) CutOff() int { return h.cutOff }

// Tick returns the next actions of a planned stop, if any are due.
func (h *HostLifecycle) Tick(now time.Time) []Action {
	if h.phase != Leaving {
		return nil
	}
	var actions []Action
	if !h.releasing && h.work[OwnerWork] == 0 && !now.Before(h.stopAt.Add(h.cfg.PeerLag)) {
		h.releasing = true
		actions = append(actions, ReleaseShares{})
	}
	if !h.concluded && !now.Before(h.concludeAt()) {
		h.concluded = true
		actions = append(actions, Conclude{})
	}
	idle := h.released && h.InFlight() == 0 && !now.Before(h.stopAt.Add(h.cfg.BalancerLag))
	if idle || !now.Before(h.stopAt.Add(h.cfg.Grace)) {
		h.phase = Stopped
		h.cutOff = h.InFlight() - h.work[OutcomeWork]
		actions = append(actions, Announce{Phase: Stopped}, Exit{CutOff: h.cutOff, Unwritten: h.work[OutcomeWork]})
	}
	return actions
}

// Next returns the time at which Tick is due, or false if no planned stop is in
// progress.
func (h *HostLifecycle) Next() (time.Time, bool) {
	if h.phase != Leaving {
		return time.Time{}, false
	}
	at := h.stopAt.Add(h.cfg.Grace)
	if !h.concluded {
		at = h.concludeAt()
	}
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
