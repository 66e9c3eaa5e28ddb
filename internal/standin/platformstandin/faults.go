package platformstandin

import (
	"slices"
	"strings"
	"time"
)

// Faults are the faults to inject. The zero value is a healthy platform without rate
// limits.
type Faults struct {
	// Outage fails every call, including pending watches, with status 503.
	Outage bool `json:"outage,omitempty"`
	// Hang holds every call until Hang is switched off or the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// Cut lists the data centres whose calls and responses are lost.
	Cut []string `json:"cut,omitempty"`
	// CutHangs holds the calls of a cut data centre instead of closing their
	// connections, like a network that drops packets.
	CutHangs bool `json:"cut_hangs,omitempty"`
	// DelayBeforeMS delays each call before it takes effect, in milliseconds.
	DelayBeforeMS int `json:"delay_before_ms,omitempty"`
	// DelayAfterMS delays each response after the call took effect, in milliseconds.
	DelayAfterMS int `json:"delay_after_ms,omitempty"`
	// LoseNextResponses is the number of accepted writes whose responses are lost
	// next.
	LoseNextResponses int `json:"lose_next,omitempty"`
	// LoseResponseShare is the share of accepted writes whose responses are lost.
	LoseResponseShare float64 `json:"lose_share,omitempty"`
	// LateWrites lets a write of an object take effect even if its caller gave up
	// while the write was delayed or held.
	LateWrites bool `json:"late_writes,omitempty"`
	// LoseResponsePrefix limits the loss of responses to objects with this name prefix.
	LoseResponsePrefix string `json:"lose_prefix,omitempty"`
	// HostListLagMS is the age of the host list that callers get, in milliseconds.
	HostListLagMS int `json:"host_list_lag_ms,omitempty"`
	// ReadsPerSecond is the rate limit of reads; 0 means no limit.
	ReadsPerSecond int `json:"reads_per_second,omitempty"`
	// WritesPerSecond is the rate limit of writes; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.clone()
}

// SetFaults replaces all faults. The new faults also apply to pending calls.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f.clone()
	p.notify()
}

// ChangeFaults calls change to modify the current faults atomically.
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

// effectOnCall reports whether a call from dataCentre is held. If it is not, err is the
// error that ends the call, if any.
func (f Faults) effectOnCall(dataCentre string) (hold bool, err error) {
	if f.isCut(dataCentre) {
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

func (f Faults) isCut(dataCentre string) bool { return slices.Contains(f.Cut, dataCentre) }

// mayLose reports whether responses to writes of name can be lost.
func (f Faults) mayLose(name string) bool { return strings.HasPrefix(name, f.LoseResponsePrefix) }

func (f Faults) delayBefore() time.Duration { return time.Duration(f.DelayBeforeMS) * time.Millisecond }

func (f Faults) delayAfter() time.Duration { return time.Duration(f.DelayAfterMS) * time.Millisecond }

func (f Faults) hostListLag() time.Duration { return time.Duration(f.HostListLagMS) * time.Millisecond }

// rateWindow counts calls in consecutive windows of one second.
type rateWindow struct {
	start           time.Time
	count           int
	allowed, denied int64
	peak            int
}

// allow counts a call and reports whether it is within the limit; 0 means no limit.
func (w *rateWindow) allow(now time.Time, limit int) bool {
	if now.Sub(w.start) >= time.Second {
		w.start, w.count = now, 0
	}
	if limit > 0 && w.count >= limit {
		w.denied++
		return false
	}
	w.count++
	w.allowed++
	w.peak = max(w.peak, w.count)
	return true
}
