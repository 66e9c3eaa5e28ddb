package drain

import (
	"slices"
	"strings"
	"time"
)

// Permission says whether an upstream may receive new work.
type Permission int

const (
	// Allowed upstreams receive new work.
	Allowed Permission = iota
	// Closing upstreams receive no new work from entry hosts. Owners still accept
	// work for them from entry hosts that have not received the signal yet.
	Closing
	// Closed upstreams receive no new work at all.
	Closed
)

// Reason says why an upstream may not receive new work.
type Reason string

// Reasons for a permission. ReasonNone belongs to Allowed.
const (
	ReasonNone          Reason = ""
	ReasonUnknown       Reason = "unknown_replica"
	ReasonDataCentreOut Reason = "data_centre_out"
	ReasonLeaving       Reason = "host_leaving"
	ReasonGone          Reason = "host_gone"
	ReasonDraining      Reason = "draining"
)

// Replica identifies an upstream, its data centre and its host.
type Replica struct {
	ID         string
	DataCentre string
	Host       string // ID in the host list
}

// Configuration is the part of a configuration version that Gate uses.
type Configuration struct {
	Number   uint64
	Out      map[string]bool // data centres that are out
	Replicas []Replica
}

// RampReset requests that replicas restart at the floor of their cold-start ramp.
type RampReset struct {
	DataCentre string // set if a whole data centre returns
	Replicas   []string
}

// Gate decides which upstreams and data centres may receive new work. It is not
// safe for concurrent use.
type Gate struct {
	cfg         Config
	number      uint64
	dataCentres map[string]*dataCentreState
	replicas    map[string]*replica
	hosts       map[string]*hostState
	listedAt    time.Time // when the newest host list was requested
}

type dataCentreState struct {
	out        bool
	outAt      time.Time
	returned   bool
	returnedAt time.Time
}

// hostState is the state of a host according to the host list. There is none for
// a host that was never listed, which does not count as gone: the configuration
// may name a replica before its host appears in the list.
type hostState struct {
	listed  bool
	leaving bool
	since   time.Time // when it began to leave or disappeared from the list
}

func (h *hostState) closed() bool { return h != nil && (h.leaving || !h.listed) }

type replica struct {
	Replica
	incarnation      string    // newest known incarnation
	lastReportAt     time.Time // when the last report of this incarnation arrived
	draining         bool      // this incarnation reported that it is draining
	unorderedDrainAt time.Time // arrival of a drain signal of an incarnation of unknown order; zero if none
}

// NewGate returns a Gate without upstreams.
func NewGate(cfg Config) *Gate {
	return &Gate{
		cfg:         cfg,
		dataCentres: make(map[string]*dataCentreState),
		replicas:    make(map[string]*replica),
		hosts:       make(map[string]*hostState),
	}
}

// SetConfiguration applies a configuration version. It ignores versions that are
// not newer than the current one. It returns a RampReset for each data centre
// that is no longer out.
func (g *Gate) SetConfiguration(now time.Time, c Configuration) []RampReset {
	if c.Number <= g.number {
		return nil
	}
	g.number = c.Number
	g.setReplicas(c.Replicas)
	var resets []RampReset
	for _, name := range g.setDataCentres(now, c.Out) {
		resets = append(resets, RampReset{DataCentre: name, Replicas: g.replicasOf(name)})
	}
	return resets
}

func (g *Gate) setReplicas(list []Replica) {
	next := make(map[string]*replica, len(list))
	for _, r := range list {
		known := g.replicas[r.ID]
		if known == nil {
			known = &replica{}
		}
		known.Replica = r
		next[r.ID] = known
		if g.dataCentres[r.DataCentre] == nil {
			g.dataCentres[r.DataCentre] = &dataCentreState{}
		}
	}
	g.replicas = next
}

// setDataCentres updates the data centres and returns the names of those that are
// no longer out.
func (g *Gate) setDataCentres(now time.Time, out map[string]bool) []string {
	for name := range out {
		if g.dataCentres[name] == nil {
			g.dataCentres[name] = &dataCentreState{}
		}
	}
	var back []string
	for name, c := range g.dataCentres {
		switch {
		case out[name] && !c.out:
			*c = dataCentreState{out: true, outAt: now}
		case !out[name] && c.out:
			*c = dataCentreState{returned: true, returnedAt: now}
			back = append(back, name)
		}
	}
	slices.Sort(back)
	return back
}

func (g *Gate) replicasOf(dataCentre string) []string {
	var ids []string
	for id, r := range g.replicas {
		if r.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ListedHost is one host of the host list.
type ListedHost struct {
	ID      string
	Leaving bool
}

// SetHosts applies a list of the upstream hosts that was requested at the given
// time. It ignores a list that was requested before the newest one. It returns
// the replicas whose host is available again.
func (g *Gate) SetHosts(now, requestedAt time.Time, list []ListedHost) []RampReset {
	if requestedAt.Before(g.listedAt) {
		return nil
	}
	g.listedAt = requestedAt
	present := make(map[string]bool, len(list))
	var returned []string
	for _, l := range list {
		present[l.ID] = true
		if g.setHost(now, l) {
			returned = append(returned, l.ID)
		}
	}
	for id, h := range g.hosts {
		if !present[id] && h.listed {
			if !h.closed() {
				h.since = now
			}
			h.listed = false
		}
	}
	return g.rampResetsOn(returned)
}

// setHost updates a listed host and reports whether it is available again.
func (g *Gate) setHost(now time.Time, l ListedHost) bool {
	h := g.hosts[l.ID]
	if h == nil {
		h = &hostState{listed: true}
		g.hosts[l.ID] = h
	}
	wasClosed := h.closed()
	h.listed, h.leaving = true, l.Leaving
	if h.closed() && !wasClosed {
		h.since = now
	}
	return wasClosed && !h.closed()
}

func (g *Gate) rampResetsOn(hosts []string) []RampReset {
	var ids []string
	for id, r := range g.replicas {
		if slices.Contains(hosts, r.Host) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return []RampReset{{Replicas: ids}}
}

// Report is the state that an upstream reports in a reply, a refusal or a health
// report.
type Report struct {
	Replica     string
	Incarnation string    // empty if unknown
	SentAt      time.Time // when the answered request was sent
	Draining    bool
}

// Report applies a report of an upstream. A draining incarnation stays draining,
// because its reports without the flag may be older than the one with the flag.
//
// A report of another incarnation is certainly newer if the request that it
// answers was sent after the last report of the known incarnation arrived. Any
// other such report may be a late one of an earlier incarnation. If it has the
// draining flag, the replica is closed until a report arrives that answers a
// later request.
//
// Report returns a RampReset for the replica if a new incarnation has started.
func (g *Gate) Report(now time.Time, report Report) []RampReset {
	r := g.replicas[report.Replica]
	if r == nil {
		return nil
	}
	known := report.Incarnation == r.incarnation
	if !known && report.SentAt.Before(r.lastReportAt) {
		if report.Draining {
			r.unorderedDrainAt = now
		}
		return nil
	}
	if report.Incarnation == "" {
		r.draining = r.draining || report.Draining
		return nil
	}
	var resets []RampReset
	if !known {
		if !r.lastReportAt.IsZero() {
			resets = []RampReset{{Replicas: []string{r.ID}}}
		}
		r.incarnation = report.Incarnation
		r.draining = false
	}
	r.lastReportAt = now
	r.draining = r.draining || report.Draining
	if !report.SentAt.Before(r.unorderedDrainAt) {
		r.unorderedDrainAt = time.Time{}
	}
	return resets
}

// PermissionFor returns whether a replica may receive new work, and the reason if
// not. Entry hosts send first attempts, retries and hedges only to Allowed
// replicas; owners refuse work only for Closed ones.
func (g *Gate) PermissionFor(now time.Time, id string) (Permission, Reason) {
	r := g.replicas[id]
	if r == nil {
		return Closed, ReasonUnknown
	}
	if r.draining || !r.unorderedDrainAt.IsZero() {
		return Closed, ReasonDraining
	}
	permission, reason := Allowed, ReasonNone
	if c := g.dataCentres[r.DataCentre]; c.out {
		permission, reason = g.since(now, c.outAt), ReasonDataCentreOut
	}
	if h := g.hosts[r.Host]; h.closed() {
		if p := g.since(now, h.since); p > permission {
			permission, reason = p, h.reason()
		}
	}
	return permission, reason
}

func (h *hostState) reason() Reason {
	if !h.listed {
		return ReasonGone
	}
	return ReasonLeaving
}

// since returns the permission that follows from a configuration or host list signal
// which arrived at the given time.
func (g *Gate) since(now, signal time.Time) Permission {
	if now.Sub(signal) < g.cfg.Closing {
		return Closing
	}
	return Closed
}

// Blocked is a replica whose permission is Closing or Closed.
type Blocked struct {
	Replica    string
	DataCentre string
	Permission Permission
	Reason     Reason
}

// Blocked returns the replicas that are not Allowed, sorted by ID, for the status
// page.
func (g *Gate) Blocked(now time.Time) []Blocked {
	var list []Blocked
	for id, r := range g.replicas {
		if p, reason := g.PermissionFor(now, id); p != Allowed {
			list = append(list, Blocked{Replica: id, DataCentre: r.DataCentre, Permission: p, Reason: reason})
		}
	}
	slices.SortFunc(list, func(a, b Blocked) int { return strings.Compare(a.Replica, b.Replica) })
	return list
}

// LoadShare returns the share of its normal load that a data centre gets now. It
// is 0 while the data centre is out or unknown, rises in steps after its return,
// and is 1 otherwise.
func (g *Gate) LoadShare(now time.Time, dataCentre string) float64 {
	c := g.dataCentres[dataCentre]
	switch {
	case c == nil:
		return 0
	case c.out:
		return 0
	case c.returned:
		return g.cfg.ReturnShare(now.Sub(c.returnedAt))
	default:
		return 1
	}
}
