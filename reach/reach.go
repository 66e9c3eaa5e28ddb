// Package reach tells which data centres this host can't reach at the moment, from
// what becomes of the requests that it sends there.
//
// Single replicas fail, pause and crash. A data centre counts as out of reach when
// several of its replicas have got requests for some time and none of them has
// been heard. One reply, or one connection that opens, ends it.
package reach

import "time"

// Config sets what counts as silence.
type Config struct {
	// MinSilentReplicas is the number of replicas that have to be silent.
	MinSilentReplicas int
	// MinSilence is how long nothing was heard since the first request.
	MinSilence time.Duration
	// ProbeInterval is the interval of attempts to reach a data centre that is out of
	// reach.
	ProbeInterval time.Duration
}

// Change is a data centre that went out of reach or came back.
type Change struct {
	DataCentre     string
	Reachable      bool
	SilentReplicas int           // replicas that were not heard
	Elapsed        time.Duration // since the first request that got no reply
}

// Tracker is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	centres map[string]*centre
}

type centre struct {
	silent  map[string]struct{} // replicas without a reply since
	since   time.Time           // of the first request without a reply
	out     bool
	outAt   time.Time
	probeAt time.Time // of the next probe or check
	heardAt time.Time
}

// New returns a tracker that takes all data centres to be in reach.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, centres: make(map[string]*centre)} }

// RequestSent tells that a request is on its way to a replica.
func (t *Tracker) RequestSent(now time.Time, dataCentre, replica string) {
	c := t.centre(dataCentre)
	if len(c.silent) == 0 {
		c.since = now
	}
	if len(c.silent) < 2*t.cfg.MinSilentReplicas {
		c.silent[replica] = struct{}{}
	}
}

func (t *Tracker) centre(dataCentre string) *centre {
	c := t.centres[dataCentre]
	if c == nil {
		c = &centre{silent: make(map[string]struct{})}
		t.centres[dataCentre] = c
	}
	return c
}

// ReplyReceived tells that a replica of a data centre answered. It returns the change if
// the data centre was out of reach.
func (t *Tracker) ReplyReceived(now time.Time, dataCentre string) (Change, bool) {
	c := t.centres[dataCentre]
	if c == nil {
		return Change{}, false
	}
	was := c.out
	change := Change{DataCentre: dataCentre, Reachable: true, SilentReplicas: len(c.silent), Elapsed: now.Sub(c.since)}
	clear(c.silent)
	c.out, c.heardAt = false, now
	return change, was
}

// ReportedUnreachable tells that another host can't reach a data centre, and reports whether this
// host should check now whether it can.
func (t *Tracker) ReportedUnreachable(now time.Time, dataCentre string) bool {
	c := t.centre(dataCentre)
	if c.out || now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(t.cfg.ProbeInterval)
	return true
}

// CheckFailed takes the outcome of a check that began at a time: none of the replicas that
// were tried was reached. It returns the change unless one was heard meanwhile.
func (t *Tracker) CheckFailed(now, began time.Time, dataCentre string, tried int) (Change, bool) {
	c := t.centre(dataCentre)
	if c.out || tried < t.cfg.MinSilentReplicas || !c.heardAt.Before(began) {
		return Change{}, false
	}
	c.out, c.outAt = true, now
	c.since = began
	return Change{DataCentre: dataCentre, SilentReplicas: tried, Elapsed: now.Sub(began)}, true
}

// Tick looks for data centres that went out of reach.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for name, c := range t.centres {
		if c.out || len(c.silent) < t.cfg.MinSilentReplicas || now.Sub(c.since) < t.cfg.MinSilence {
			continue
		}
		c.out = true
		c.outAt, c.probeAt = now, now
		changes = append(changes, Change{DataCentre: name, SilentReplicas: len(c.silent), Elapsed: now.Sub(c.since)})
	}
	return changes
}

// UnreachableSince returns when the first of the data centres that are out of reach went out,
// and whether there is one.
func (t *Tracker) UnreachableSince() (time.Time, bool) {
	var first time.Time
	found := false
	for _, c := range t.centres {
		if c.out && (!found || c.outAt.Before(first)) {
			first, found = c.outAt, true
		}
	}
	return first, found
}

// Unreachable returns the data centres that are out of reach.
func (t *Tracker) Unreachable() []string {
	var names []string
	for name, c := range t.centres {
		if c.out {
			names = append(names, name)
		}
	}
	return names
}

// DueProbes returns the data centres that are to be tried again now.
func (t *Tracker) DueProbes(now time.Time) []string {
	var due []string
	for name, c := range t.centres {
		if !c.out || now.Before(c.probeAt) {
			continue
		}
		c.probeAt = now.Add(t.cfg.ProbeInterval)
		due = append(due, name)
	}
	return due
}
