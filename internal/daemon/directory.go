package daemon

import (
	"math/big"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// directory answers where things are: the replicas of services, who owns them,
// which may get new work and which snapshots they hold.
type directory struct {
	self       ownership.Member
	dataCentre string
	live       func(member ownership.Member) bool

	mu     sync.Mutex // guards the fields up to state
	gate   *drain.Gate
	holder *ownership.Holder
	tables map[string]ownership.Table
	// configuredAt is when the first configuration came into force.
	configuredAt time.Time
	routable     bool

	state atomic.Pointer[directoryState]
	held  sync.Map // replica id to []uint64
	// draining holds the ids of replicas that are closed by their own signal.
	draining sync.Map
	// changes counts what makes cached plans out of date.
	changes atomic.Uint64
	plans   sync.Map // contract name to cachedGroups
}

// directoryState is what changes rarely: readers take it without a lock.
type directoryState struct {
	active *configuration.Active
	tables map[string]ownership.Table
	owners sync.Map // replica id to []ownership.Share
	limits sync.Map // replica id to capacity.Config
}

type cachedGroups struct {
	changes uint64
	groups  []query.Group
}

func newDirectory(self ownership.Member, dataCentre string, gate *drain.Gate, holder *ownership.Holder) *directory {
	d := &directory{
		self: self, dataCentre: dataCentre, gate: gate, holder: holder,
		live:   func(ownership.Member) bool { return true },
		tables: make(map[string]ownership.Table),
	}
	d.state.Store(&directoryState{})
	return d
}

// setConfiguration takes a new version and returns the replicas whose ramp has to
// start again.
func (d *directory) setConfiguration(now time.Time, active *configuration.Active) []drain.Cold {
	c := drain.Configuration{Number: active.Number, Out: make(map[string]bool)}
	for _, centre := range active.Document.DataCentres {
		if centre.Out {
			c.Out[centre.Name] = true
		}
	}
	for _, g := range active.Document.Groups {
		for _, s := range g.Services {
			for _, r := range s.Replicas {
				c.Replicas = append(c.Replicas, drain.Replica{ID: r.ID, DataCentre: r.DataCentre, Host: r.ID})
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuredAt.IsZero() {
		d.configuredAt = now
	}
	cold := d.gate.SetConfiguration(now, c)
	d.state.Store(&directoryState{active: active, tables: d.state.Load().tables})
	d.changes.Add(1)
	return cold
}

// setTable takes a newer ownership table of any data centre.
func (d *directory) setTable(now time.Time, t ownership.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Epoch <= d.tables[t.DataCentre].Epoch {
		return
	}
	d.tables[t.DataCentre] = t
	if t.DataCentre == d.dataCentre {
		d.holder.Adopt(now, t)
	}
	tables := make(map[string]ownership.Table, len(d.tables))
	for name, table := range d.tables {
		tables[name] = table
	}
	d.state.Store(&directoryState{active: d.state.Load().active, tables: tables})
}

// canRoute reports whether this host knows whom to send requests to: it has the
// ownership table of each data centre, or waited in vain for one that may not
// exist or be out of reach. Later data centres don't take that back.
func (d *directory) canRoute(now time.Time, wait time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routable || d.configuredAt.IsZero() {
		return d.routable
	}
	d.routable = now.Sub(d.configuredAt) >= wait || !slices.ContainsFunc(d.active().Document.DataCentres,
		func(c configuration.DataCentre) bool { return d.tables[c.Name].Epoch == 0 })
	return d.routable
}

func (d *directory) active() *configuration.Active { return d.state.Load().active }

// withHolder runs f while no other event reaches the holder.
func (d *directory) withHolder(f func(now time.Time, h *ownership.Holder)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now(), d.holder)
}

// setHosts takes the platform's list of upstream hosts.
func (d *directory) setHosts(requestedAt time.Time, list []drain.Listed) []drain.Cold {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes.Add(1)
	return d.gate.SetHosts(time.Now(), requestedAt, list)
}

// report takes what an upstream said about itself. It tells which ramps start
// again and whether the upstream has just closed.
func (d *directory) report(r drain.Report) (cold []drain.Cold, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	before, _ := d.gate.May(now, r.Replica)
	cold = d.gate.Report(now, r)
	after, reason := d.gate.May(now, r.Replica)
	if before != after {
		d.changes.Add(1)
	}
	if reason == drain.ReasonDraining {
		d.draining.Store(r.Replica, struct{}{})
	} else {
		d.draining.Delete(r.Replica)
	}
	return cold, before == drain.Allowed && after != drain.Allowed
}

// closed reports whether an owner has to refuse work for the replica.
func (d *directory) closed(now time.Time, replica string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	permission, _ := d.gate.May(now, replica)
	return permission == drain.Closed
}

// learnHeld records which snapshots a replica holds.
func (d *directory) learnHeld(replica string, held []uint64) {
	if len(held) == 0 {
		return
	}
	if known, ok := d.held.Load(replica); ok && slices.Equal(known.([]uint64), held) {
		return
	}
	d.held.Store(replica, held)
	d.changes.Add(1)
}

// owners implements ownerLookup.
func (d *directory) owners(replica string) []ownership.Share {
	all := d.allOwners(replica)
	live := make([]ownership.Share, 0, len(all))
	for _, s := range all {
		if d.live(s.Member) {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		// The liveness verdict may be wrong; a try costs little.
		return all
	}
	return live
}

func (d *directory) allOwners(replica string) []ownership.Share {
	state := d.state.Load()
	if cached, ok := state.owners.Load(replica); ok {
		return cached.([]ownership.Share)
	}
	if state.active == nil {
		return nil
	}
	_, r, ok := state.active.Replica(replica)
	if !ok {
		return nil
	}
	shares := ownership.Owners(state.tables[r.DataCentre], replica, r.Slots, r.Connections)
	state.owners.Store(replica, shares)
	return shares
}

// replicaHere returns a replica of this data centre; only those can be owned here.
func (d *directory) replicaHere(id string) (*configuration.Replica, bool) {
	active := d.active()
	if active == nil {
		return nil, false
	}
	_, r, ok := active.Replica(id)
	return r, ok && r.DataCentre == d.dataCentre
}

// allowed implements rights.
func (d *directory) allowed(now time.Time, replica string) int {
	r, ok := d.replicaHere(replica)
	if !ok {
		return 0
	}
	limits := d.limits(replica)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.AllowedOf(now, replica, r.Slots, limits.Slots)
}

// place implements rights.
func (d *directory) place(replica string) (ownedShare, bool) {
	r, ok := d.replicaHere(replica)
	if !ok {
		return ownedShare{}, false
	}
	shares := d.allOwners(replica)
	for _, s := range shares {
		if s.Member.ID == d.self.ID && s.Member.Incarnation == d.self.Incarnation {
			return ownedShare{
				address: r.Address, limits: d.limits(replica), rank: s.Rank, owners: len(shares), connections: s.Connections,
			}, true
		}
	}
	return ownedShare{}, false
}

// limits returns the limiter's configuration for a replica: of all contracts that
// name its group the strictest limit counts, since the upstream carries the load
// of all of them.
func (d *directory) limits(replica string) capacity.Config {
	state := d.state.Load()
	if cached, ok := state.limits.Load(replica); ok {
		return cached.(capacity.Config)
	}
	service, r, ok := state.active.Replica(replica)
	if !ok {
		return capacity.Config{}
	}
	group, _, _ := state.active.Service(service.Name)
	c := capacity.DefaultConfig(r.Slots)
	c.Floor, c.Step = 0, 0
	for _, definition := range state.active.Document.Contracts {
		limits, ok := state.active.Contract(definition.Name)
		if ok && slices.Contains(limits.Groups, group.Name) {
			c = strictest(c, limits)
		}
	}
	c.Floor = min(max(c.Floor, 1), c.Slots)
	c.Step = max(c.Step, 1)
	state.limits.Store(replica, c)
	return c
}

func strictest(c capacity.Config, l contract.Limits) capacity.Config {
	c.Slots = min(c.Slots, l.UpstreamLoad)
	c.Floor = lower(c.Floor, l.ColdFloor)
	c.Step = lower(c.Step, l.ColdStep)
	c.StepTime = max(c.StepTime, l.ColdStepTime)
	return c
}

// lower returns the lower of two numbers of slots, of which 0 stands for none.
func lower(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// plan returns the plan of a query under a contract.
func (d *directory) plan(now time.Time, id, name string) (query.Plan, bool) {
	active := d.active()
	if active == nil {
		return query.Plan{}, false
	}
	limits, ok := active.Contract(name)
	if !ok {
		return query.Plan{}, false
	}
	plan := query.Plan{
		ID: id, Contract: name, Groups: d.groups(now, active, name, limits.Groups),
		AnswerTime: limits.AnswerTime, LatencyGoal: limits.LatencyGoal,
		MinimumCoverage: new(big.Rat).Set(limits.MinimumCoverage), Prefer: query.PreferCoverage,
	}
	if limits.Prefer == contract.PreferLatency {
		plan.Prefer = query.PreferLatency
	}
	plan.Groups = d.withReturning(now, active, id, plan.Groups)
	return plan, true
}

// groups returns the groups of a plan, shared by queries until something changes.
func (d *directory) groups(now time.Time, active *configuration.Active, name string, wanted []string) []query.Group {
	changes := d.changes.Load()
	if cached, ok := d.plans.Load(name); ok && cached.(cachedGroups).changes == changes {
		return cached.(cachedGroups).groups
	}
	groups := d.describe(now, active, wanted)
	d.plans.Store(name, cachedGroups{changes, groups})
	return groups
}

// regroup describes the groups of a running query under the newest version.
func (d *directory) regroup(wanted []string) []query.Group {
	return d.describe(time.Now(), d.active(), wanted)
}

func (d *directory) describe(now time.Time, active *configuration.Active, wanted []string) []query.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	groups := make([]query.Group, 0, len(wanted))
	for _, name := range wanted {
		g, ok := active.Group(name)
		if !ok {
			continue
		}
		services := make([]query.Service, len(g.Services))
		for i := range g.Services {
			services[i] = d.service(now, &g.Services[i])
		}
		groups = append(groups, query.Group{Name: g.Name, Services: services})
	}
	return groups
}

// service describes one service for a plan. The lock is held.
func (d *directory) service(now time.Time, s *configuration.Service) query.Service {
	replicas := make([]query.Replica, len(s.Replicas))
	for i, r := range s.Replicas {
		replicas[i] = query.Replica{ID: r.ID, DataCentre: r.DataCentre, Unusable: d.unusable(now, r.ID)}
		if held, ok := d.held.Load(r.ID); ok {
			replicas[i].Held = held.([]uint64)
		}
	}
	return query.Service{Name: s.Name, Partition: s.Partition, Replicas: replicas}
}

// unusable returns why a replica gets no new work from an entry host. The lock is
// held.
func (d *directory) unusable(now time.Time, replica string) query.Reason {
	permission, reason := d.gate.May(now, replica)
	switch {
	case permission == drain.Allowed:
		return ""
	case reason == drain.ReasonDataCentreOut:
		return query.ReasonOut
	case reason == drain.ReasonUnknown:
		return query.ReasonNoReplica
	default:
		return query.ReasonLeaving
	}
}

// withReturning takes replicas of data centres that came back out of the plan for
// the share of queries that does not go there yet. A service that has no other
// replica keeps them: coverage goes before an even return.
func (d *directory) withReturning(now time.Time, active *configuration.Active, id string, groups []query.Group) []query.Group {
	var waiting []string
	d.mu.Lock()
	for _, centre := range active.Document.DataCentres {
		if share := d.gate.Share(now, centre.Name); !centre.Out && share < 1 && !drain.Chosen(hashOf(id), share) {
			waiting = append(waiting, centre.Name)
		}
	}
	d.mu.Unlock()
	if len(waiting) == 0 {
		return groups
	}
	reduced := make([]query.Group, len(groups))
	for i, g := range groups {
		reduced[i] = query.Group{Name: g.Name, Services: make([]query.Service, len(g.Services))}
		for j, s := range g.Services {
			reduced[i].Services[j] = withoutCentres(s, waiting)
		}
	}
	return reduced
}

func withoutCentres(s query.Service, names []string) query.Service {
	elsewhere := func(r query.Replica) bool { return r.Unusable == "" && !slices.Contains(names, r.DataCentre) }
	if !slices.ContainsFunc(s.Replicas, elsewhere) {
		return s
	}
	replicas := slices.Clone(s.Replicas)
	for i := range replicas {
		if slices.Contains(names, replicas[i].DataCentre) && replicas[i].Unusable == "" {
			replicas[i].Unusable = query.ReasonOut
		}
	}
	return query.Service{Name: s.Name, Partition: s.Partition, Replicas: replicas}
}

// usable implements replicaChooser: this data centre's replicas first.
func (d *directory) usable(now time.Time, service string) []string {
	active := d.active()
	if active == nil {
		return nil
	}
	_, s, ok := active.Service(service)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var here, elsewhere []string
	for _, r := range s.Replicas {
		if d.unusable(now, r.ID) != "" {
			continue
		}
		if r.DataCentre == d.dataCentre {
			here = append(here, r.ID)
		} else {
			elsewhere = append(elsewhere, r.ID)
		}
	}
	return append(here, elsewhere...)
}

// observe learns from a reply that reached this host, as entry or as owner.
func (d *directory) observe(replica string, r upstream.Reply, err error, sentAt time.Time) ([]drain.Cold, bool) {
	d.learnHeld(replica, r.Held)
	if r.Incarnation == "" && !isDraining(err) {
		return nil, false
	}
	return d.report(drain.Report{
		Replica: replica, Incarnation: r.Incarnation, SentAt: sentAt, Draining: r.Load.Draining || isDraining(err),
	})
}
