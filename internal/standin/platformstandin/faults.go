package platformstandin

import (
	"slices"
	"strings"
	"time"
)

// Faults are the faults in force. The zero value is a healthy platform without
// a call rate.
type Faults struct {
	// Outage answers every call with 503, also the watches that wait.
	Outage bool `json:"outage,omitempty"`
	// Hang holds every call until it is switched off or the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// Cut lists the data centres whose calls, and answers, are lost.
	Cut []string `json:"cut,omitempty"`
	// CutHangs holds the calls of a cut data centre instead of closing their
	// connections, as a network that drops packets does.
	CutHangs bool `json:"cut_hangs,omitempty"`
	// DelayBeforeMS delays each call before it takes effect, in milliseconds.
	DelayBeforeMS int `json:"delay_before_ms,omitempty"`
	// DelayAfterMS delays each answer after the call took effect, in milliseconds.
	DelayAfterMS int `json:"delay_after_ms,omitempty"`
	// LoseNextResponses is the number of accepted writes whose answers are lost next.
	LoseNextResponses int `json:"lose_next,omitempty"`
	// LoseResponseShare is the share of accepted writes whose answers are lost.
	LoseResponseShare float64 `json:"lose_share,omitempty"`
	// LateWrites lets a write of an object take effect although its caller gave
	// up while it was delayed or held.
	LateWrites bool `json:"late_writes,omitempty"`
	// LoseResponsePrefix limits lost answers to objects with this prefix.
	LoseResponsePrefix string `json:"lose_prefix,omitempty"`
	// HostListLagMS is how far the host list lags, in milliseconds.
	HostListLagMS int `json:"host_list_lag_ms,omitempty"`
	// ReadsPerSecond is the call rate of reads; 0 means no limit.
	ReadsPerSecond int `json:"reads_per_second,omitempty"`
	// WritesPerSecond is the call rate of writes; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.clone()
}

// SetFaults replaces all faults. Calls that wait see the new ones at once.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f.clone()
	p.notify()
}

// ChangeFaults changes the faults in force in one step.
func (p *Platform) ChangeFaults(change func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.faults = p.faults.clone()
	p.notify()
}

func (f Faults) clone() Faults {
	f.Cut = slices.Clone(f.Cut)
	return f
}

// verdict returns whether a call from dataCentre is held back, or else the
// error that ends it.
func (f Faults) verdict(dataCentre string) (hold bool, err error) {
	if f.cuts(dataCentre) {
		return f.CutHangs, errCut
	}
	if f.Hang {
		return true, nil
	}
	if f.Outage {
		return false, errOutage
	}
	return false, nil
}

func (f Faults) cuts(dataCentre string) bool { return slices.Contains(f.Cut, dataCentre) }

func (f Faults) losesFor(name string) bool { return strings.HasPrefix(name, f.LoseResponsePrefix) }

func (f Faults) delayBefore() time.Duration { return time.Duration(f.DelayBeforeMS) * time.Millisecond }

func (f Faults) delayAfter() time.Duration { return time.Duration(f.DelayAfterMS) * time.Millisecond }

func (f Faults) hostListLag() time.Duration { return time.Duration(f.HostListLagMS) * time.Millisecond }

// window counts calls in consecutive windows of one second.
type window struct {
	start            time.Time
	count            int
	accepted, denied int64
	peak             int
}

// take counts a call and reports whether it is within the limit; 0 is no limit.
func (w *window) take(now time.Time, limit int) bool {
	if now.Sub(w.start) >= time.Second {
		w.start, w.count = now, 0
	}
	if limit > 0 && w.count >= limit {
		w.denied++
		return false
	}
	w.count++
	w.accepted++
	w.peak = max(w.peak, w.count)
	return true
}
