// Package reach detects data centres that this host can't reach, from the outcome of
// the requests that it sends to them.
//
// Single replicas may fail, pause or crash. Therefore a data centre is unreachable only
// if several of its replicas were sent requests and none of them has replied for some
// time. It becomes reachable again with the first reply or the first connection that
// can be opened.
package reach

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// MinSilentReplicas is the number of replicas without a reply from which on a data
	// centre is unreachable.
	MinSilentReplicas int
	// MinSilence is the time since the first request without a reply after which a data
	// centre is unreachable.
	MinSilence time.Duration
	// ProbeInterval is the interval between probes of an unreachable data centre, and
	// the minimum interval between checks of one that another host can't reach.
	ProbeInterval time.Duration
}

// Change reports that a data centre became unreachable or reachable again.
type Change struct {
	DataCentre     string
	Reachable      bool
	SilentReplicas int           // replicas without a reply
	Elapsed        time.Duration // since the first request without a reply, or since the check began
}

// Tracker tracks which data centres are reachable. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	centres map[string]*centre
}

// centre is the state of a data centre.
type centre struct {
	silent           map[string]struct{} // replicas without a reply since silentSince
	silentSince      time.Time           // time of the first request without a reply
	unreachable      bool
	unreachableSince time.Time
	nextProbe        time.Time // earliest time of the next probe or check
	lastReply        time.Time
}

// New returns a tracker. All data centres are reachable at first.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, centres: make(map[string]*centre)} }

// RequestSent records that a request was sent to a replica.
func (t *Tracker) RequestSent(now time.Time, dataCentre, replica string) {
	c := t.centre(dataCentre)
	if len(c.silent) == 0 {
		c.silentSince = now
	}
	if len(c.silent) < 2*t.cfg.MinSilentReplicas {
		c.silent[replica] = struct{}{}
	}
}

// centre returns the state of a data centre, which it creates if necessary.
func (t *Tracker) centre(dataCentre string) *centre {
	c := t.centres[dataCentre]
	if c == nil {
		c = &centre{silent: make(map[string]struct{})}
		t.centres[dataCentre] = c
	}
	return c
}

// ReplyReceived records that a replica of a data centre replied or accepted a
// connection. It returns the change and true if the data centre was unreachable.
func (t *Tracker) ReplyReceived(now time.Time, dataCentre string) (Change, bool) {
	c := t.centres[dataCentre]
	if c == nil {
		return Change{}, false
	}
	wasUnreachable := c.unreachable
	change := Change{DataCentre: dataCentre, Reachable: true, SilentReplicas: len(c.silent), Elapsed: now.Sub(c.silentSince)}
	clear(c.silent)
	c.unreachable, c.lastReply = false, now
	return change, wasUnreachable
}

// ReportedUnreachable records that another host can't reach a data centre. It reports
// whether this host should now check that data centre itself.
func (t *Tracker) ReportedUnreachable(now time.Time, dataCentre string) bool {
	c := t.centre(dataCentre)
	if c.unreachable || now.Before(c.nextProbe) {
		return false
	}
	c.nextProbe = now.Add(t.cfg.ProbeInterval)
	return true
}

// CheckFailed records that a check, which began at startedAt, reached none of the tried
// replicas. It returns the change and true if the data centre is now unreachable: enough
// replicas were tried and none has replied since the check began.
func (t *Tracker) CheckFailed(now, startedAt time.Time, dataCentre string, tried int) (Change, bool) {
	c := t.centre(dataCentre)
	if c.unreachable || tried < t.cfg.MinSilentReplicas || !c.lastReply.Before(startedAt) {
		return Change{}, false
	}
	c.unreachable, c.unreachableSince = true, now
	c.silentSince = startedAt
	return Change{DataCentre: dataCentre, SilentReplicas: tried, Elapsed: now.Sub(startedAt)}, true
}

// Tick marks the data centres that have become unreachable and returns the changes.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for name, c := range t.centres {
		if c.unreachable || len(c.silent) < t.cfg.MinSilentReplicas || now.Sub(c.silentSince) < t.cfg.MinSilence {
			continue
		}
		c.unreachable = true
		c.unreachableSince, c.nextProbe = now, now
		changes = append(changes, Change{DataCentre: name, SilentReplicas: len(c.silent), Elapsed: now.Sub(c.silentSince)})
	}
	return changes
}

// UnreachableSince returns the earliest time at which one of the unreachable data centres
// became unreachable. It returns false if all are reachable.
func (t *Tracker) UnreachableSince() (time.Time, bool) {
	var first time.Time
	found := false
	for _, c := range t.centres {
		if c.unreachable && (!found || c.unreachableSince.Before(first)) {
			first, found = c.unreachableSince, true
		}
	}
	return first, found
}

// Unreachable returns the unreachable data centres.
func (t *Tracker) Unreachable() []string {
	var names []string
	for name, c := range t.centres {
		if c.unreachable {
			names = append(names, name)
		}
	}
	return names
}

// DueProbes returns the unreachable data centres that are due for a probe and schedules
// their next one.
func (t *Tracker) DueProbes(now time.Time) []string {
	var due []string
	for name, c := range t.centres {
		if !c.unreachable || now.Before(c.nextProbe) {
			continue
		}
		c.nextProbe = now.Add(t.cfg.ProbeInterval)
		due = append(due, name)
	}
	return due
}
