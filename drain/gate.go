package drain

import (
	"slices"
	"strings"
	"time"
)

// Permission tells whether an upstream may get new work.
type Permission int

const (
	// Allowed upstreams get new work.
	Allowed Permission = iota
	// Closing upstreams get no new work from an entry host; an owner still
	// accepts what entry hosts have sent that have not heard of it.
	Closing
	// Closed upstreams get no new work from anyone.
	Closed
)

// Reason tells why an upstream may not get new work.
type Reason string

// Reasons for Closing and Closed.
const (
	ReasonNone          Reason = ""
	ReasonUnknown       Reason = "unknown_replica"
	ReasonDataCentreOut Reason = "data_centre_out"
	ReasonLeaving       Reason = "host_leaving"
	ReasonGone          Reason = "host_gone"
	ReasonDraining      Reason = "draining"
)

// Replica places an upstream in its data centre and on its host.
type Replica struct {
	ID         string
	DataCentre string
	Host       string // id in the host list
}

// Configuration is the part of a configuration version that Gate uses.
type Configuration struct {
	Number   uint64
	Out      map[string]bool // data centres that are out
	Replicas []Replica
}

// RampReset asks to put replicas back to the floor of their ramp.
type RampReset struct {
	DataCentre string // set if the whole data centre returns
	Replicas   []string
}

// Gate decides which upstreams and data centres may get new work. It is not
// safe for concurrent use.
type Gate struct {
	cfg      Config
	number   uint64
	centres  map[string]*centre
	replicas map[string]*replica
	hosts    map[string]*host
	listedAt time.Time // when the newest host list was requested
}

type centre struct {
	out        bool
	outAt      time.Time
	returned   bool
	returnedAt time.Time
}

// host is what the host list says. A host that was never listed is not gone:
// the configuration may name a replica before the list has it.
type host struct {
	listed  bool
	leaving bool
	since   time.Time // of leaving or gone
}

func (h *host) closed() bool { return h != nil && (h.leaving || !h.listed) }

type replica struct {
	Replica
	incarnation string    // newest one known
	heardAt     time.Time // when its last report arrived
	draining    bool      // set by that incarnation
	doubtAt     time.Time // a drain signal arrived whose incarnation can't be ordered; zero is none
}

// NewGate returns a Gate that knows no upstream.
func NewGate(cfg Config) *Gate {
	return &Gate{
		cfg:      cfg,
		centres:  make(map[string]*centre),
		replicas: make(map[string]*replica),
		hosts:    make(map[string]*host),
	}
}

// SetConfiguration takes a configuration version; versions that are not newer
// are ignored. It returns the replicas of each data centre that came back.
func (g *Gate) SetConfiguration(now time.Time, c Configuration) []RampReset {
	if c.Number <= g.number {
		return nil
	}
	g.number = c.Number
	g.setReplicas(c.Replicas)
	var cold []RampReset
	for _, name := range g.setCentres(now, c.Out) {
		cold = append(cold, RampReset{DataCentre: name, Replicas: g.replicasOf(name)})
	}
	return cold
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
		if g.centres[r.DataCentre] == nil {
			g.centres[r.DataCentre] = &centre{}
		}
	}
	g.replicas = next
}

// setCentres returns the names of the data centres that are no longer out.
func (g *Gate) setCentres(now time.Time, out map[string]bool) []string {
	for name := range out {
		if g.centres[name] == nil {
			g.centres[name] = &centre{}
		}
	}
	var back []string
	for name, c := range g.centres {
		switch {
		case out[name] && !c.out:
			*c = centre{out: true, outAt: now}
		case !out[name] && c.out:
			*c = centre{returned: true, returnedAt: now}
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

// SetHosts takes a host list of upstream hosts that was requested at the given
// time. A list that was requested before the newest one is ignored. It returns
// the replicas whose host is listed again.
func (g *Gate) SetHosts(now, requestedAt time.Time, list []ListedHost) []RampReset {
	if requestedAt.Before(g.listedAt) {
		return nil
	}
	g.listedAt = requestedAt
	present := make(map[string]bool, len(list))
	var back []string
	for _, l := range list {
		present[l.ID] = true
		if g.setHost(now, l) {
			back = append(back, l.ID)
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
	return g.coldOn(back)
}

// setHost reports whether the host came back.
func (g *Gate) setHost(now time.Time, l ListedHost) bool {
	h := g.hosts[l.ID]
	if h == nil {
		h = &host{listed: true}
		g.hosts[l.ID] = h
	}
	was := h.closed()
	h.listed, h.leaving = true, l.Leaving
	if h.closed() && !was {
		h.since = now
	}
	return was && !h.closed()
}

func (g *Gate) coldOn(hosts []string) []RampReset {
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

// Report is what an upstream says about itself in a reply, a refusal or a
// health report.
type Report struct {
	Replica     string
	Incarnation string    // empty if the report doesn't name it
	SentAt      time.Time // when the request that it answers was sent
	Draining    bool
}

// Report takes a report of an upstream. A draining incarnation stays draining: a
// report of it without the flag may be older than the one with it. Another
// incarnation is surely the newer one if its report answers a request that was
// sent after the last report of the known one arrived. Any other report may be a
// late one of an earlier incarnation; if it says draining, the replica is closed
// until a report that answers a later request settles it. Report returns the
// replica if a new incarnation of it starts.
func (g *Gate) Report(now time.Time, report Report) []RampReset {
	r := g.replicas[report.Replica]
	if r == nil {
		return nil
	}
	known := report.Incarnation == r.incarnation
	if !known && report.SentAt.Before(r.heardAt) {
		if report.Draining {
			r.doubtAt = now
		}
		return nil
	}
	if report.Incarnation == "" {
		r.draining = r.draining || report.Draining
		return nil
	}
	var cold []RampReset
	if !known {
		if !r.heardAt.IsZero() {
			cold = []RampReset{{Replicas: []string{r.ID}}}
		}
		r.incarnation = report.Incarnation
		r.draining = false
	}
	r.heardAt = now
	r.draining = r.draining || report.Draining
	if !report.SentAt.Before(r.doubtAt) {
		r.doubtAt = time.Time{}
	}
	return cold
}

// PermissionFor tells whether a replica may get new work. Entry hosts send first tries,
// retries and hedges only to Allowed replicas; owners refuse work for Closed ones.
func (g *Gate) PermissionFor(now time.Time, id string) (Permission, Reason) {
	r := g.replicas[id]
	if r == nil {
		return Closed, ReasonUnknown
	}
	if r.draining || !r.doubtAt.IsZero() {
		return Closed, ReasonDraining
	}
	best, reason := Allowed, ReasonNone
	if c := g.centres[r.DataCentre]; c.out {
		best, reason = g.since(now, c.outAt), ReasonDataCentreOut
	}
	if h := g.hosts[r.Host]; h.closed() {
		if p := g.since(now, h.since); p > best {
			best, reason = p, h.reason()
		}
	}
	return best, reason
}

func (h *host) reason() Reason {
	if !h.listed {
		return ReasonGone
	}
	return ReasonLeaving
}

func (g *Gate) since(now, signal time.Time) Permission {
	if now.Sub(signal) < g.cfg.Closing {
		return Closing
	}
	return Closed
}

// Blocked is a replica that gets no new work, or none from entry hosts.
type Blocked struct {
	Replica    string
	DataCentre string
	Permission Permission
	Reason     Reason
}

// Blocked lists the replicas that are not Allowed, in order, for status.
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

// LoadShare returns the share of its normal load that a data centre gets now: 0
// while it is out, rising by steps after its return, else 1.
func (g *Gate) LoadShare(now time.Time, dataCentre string) float64 {
	c := g.centres[dataCentre]
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
