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
	// Replicas is the number of replicas that have to be silent.
	Replicas int
	// Silence is how long nothing was heard since the first request.
	Silence time.Duration
	// Probe is the interval of attempts to reach a data centre that is out of
	// reach.
	Probe time.Duration
}

// Change is a data centre that went out of reach or came back.
type Change struct {
	DataCentre string
	Reached    bool
	Silent     int           // replicas that were not heard
	For        time.Duration // since the first request that got no reply
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

// Sent tells that a request is on its way to a replica.
func (t *Tracker) Sent(now time.Time, dataCentre, replica string) {
	c := t.centre(dataCentre)
	if len(c.silent) == 0 {
		c.since = now
	}
	if len(c.silent) < 2*t.cfg.Replicas {
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

// Heard tells that a replica of a data centre answered. It returns the change if
// the data centre was out of reach.
func (t *Tracker) Heard(now time.Time, dataCentre string) (Change, bool) {
	c := t.centres[dataCentre]
	if c == nil {
		return Change{}, false
	}
	was := c.out
	change := Change{DataCentre: dataCentre, Reached: true, Silent: len(c.silent), For: now.Sub(c.since)}
	clear(c.silent)
	c.out, c.heardAt = false, now
	return change, was
}

// Doubted tells that another host can't reach a data centre, and reports whether this
// host should check now whether it can.
func (t *Tracker) Doubted(now time.Time, dataCentre string) bool {
	c := t.centre(dataCentre)
	if c.out || now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(t.cfg.Probe)
	return true
}

// Checked takes the outcome of a check that began at a time: none of the replicas that
// were tried was reached. It returns the change unless one was heard meanwhile.
func (t *Tracker) Checked(now, began time.Time, dataCentre string, tried int) (Change, bool) {
	c := t.centre(dataCentre)
	if c.out || tried < t.cfg.Replicas || !c.heardAt.Before(began) {
		return Change{}, false
	}
	c.out, c.outAt = true, now
	c.since = began
	return Change{DataCentre: dataCentre, Silent: tried, For: now.Sub(began)}, true
}

// Tick looks for data centres that went out of reach.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for name, c := range t.centres {
		if c.out || len(c.silent) < t.cfg.Replicas || now.Sub(c.since) < t.cfg.Silence {
			continue
		}
		c.out = true
		c.outAt, c.probeAt = now, now
		changes = append(changes, Change{DataCentre: name, Silent: len(c.silent), For: now.Sub(c.since)})
	}
	return changes
}

// OutSince returns when the first of the data centres that are out of reach went out,
// and whether there is one.
func (t *Tracker) OutSince() (time.Time, bool) {
	var first time.Time
	found := false
	for _, c := range t.centres {
		if c.out && (!found || c.outAt.Before(first)) {
			first, found = c.outAt, true
		}
	}
	return first, found
}

// OutOfReach returns the data centres that are out of reach.
func (t *Tracker) OutOfReach() []string {
	var names []string
	for name, c := range t.centres {
		if c.out {
			names = append(names, name)
		}
	}
	return names
}

// Probes returns the data centres that are to be tried again now.
func (t *Tracker) Probes(now time.Time) []string {
	var due []string
	for name, c := range t.centres {
		if !c.out || now.Before(c.probeAt) {
			continue
		}
		c.probeAt = now.Add(t.cfg.Probe)
		due = append(due, name)
	}
	return due
}
