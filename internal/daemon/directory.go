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

// directory looks up the replicas of services: their owners, whether they accept new
// requests, and the snapshots that they hold.
type directory struct {
	self       ownership.Member
	dataCentre string
	live       func(member ownership.Member) bool // reports whether to prefer an owner

	mu     sync.Mutex // guards the fields from gate to routable
	gate   *drain.Gate
	holder *ownership.LeaseHolder
	tables map[string]ownership.Table
	// configuredAt is the time at which the first configuration came into force.
	configuredAt time.Time
	routable     bool

	state         atomic.Pointer[directoryState]
	heldSnapshots sync.Map // replica id to []uint64
	// draining is the set of ids of replicas that are closed because they signalled
	// draining themselves.
	draining sync.Map
	// changes counts the events that invalidate cached plans.
	changes atomic.Uint64
	plans   sync.Map // contract name to cachedGroups
}

// directoryState holds what rarely changes. It is replaced as a whole, so that
// readers need no lock.
type directoryState struct {
	active *configuration.Active
	tables map[string]ownership.Table
	owners sync.Map // replica id to []ownership.Share
	limits sync.Map // replica id to capacity.Config
}

// cachedGroups holds the groups of a contract's plans, built when directory.changes had the
// given value.
type cachedGroups struct {
	changes uint64
	groups  []query.Group
}

func newDirectory(self ownership.Member, dataCentre string, gate *drain.Gate, holder *ownership.LeaseHolder) *directory {
	d := &directory{
		self: self, dataCentre: dataCentre, gate: gate, holder: holder,
		live:   func(ownership.Member) bool { return true },
		tables: make(map[string]ownership.Table),
	}
	d.state.Store(&directoryState{})
	return d
}

// setConfiguration applies a new version and returns the replicas whose ramp has to
// be reset.
func (d *directory) setConfiguration(now time.Time, active *configuration.Active) []drain.RampReset {
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
	resets := d.gate.SetConfiguration(now, c)
	d.state.Store(&directoryState{active: active, tables: d.state.Load().tables})
	d.changes.Add(1)
	return resets
}

// setTable applies an ownership table of any data centre if it is newer than the
// known one.
func (d *directory) setTable(now time.Time, t ownership.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Epoch <= d.tables[t.DataCentre].Epoch {
		return
	}
	d.tables[t.DataCentre] = t
	if t.DataCentre == d.dataCentre {
		d.holder.AdoptTable(now, t)
	}
	tables := make(map[string]ownership.Table, len(d.tables))
	for name, table := range d.tables {
		tables[name] = table
	}
	d.state.Store(&directoryState{active: d.state.Load().active, tables: tables})
}

// canRoute reports whether this host can route requests: it has the ownership table
// of every data centre, or has waited long enough for one that may not exist or be
// unreachable. Once true, it stays true when a later configuration adds data centres.
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

// withHolder calls f with the holder, under the lock that serializes its events.
func (d *directory) withHolder(f func(now time.Time, h *ownership.LeaseHolder)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now(), d.holder)
}

// setHosts applies the platform's list of upstream hosts and returns the replicas
// whose ramp has to be reset.
func (d *directory) setHosts(requestedAt time.Time, list []drain.ListedHost) []drain.RampReset {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes.Add(1)
	return d.gate.SetHosts(time.Now(), requestedAt, list)
}

// applyReport applies an upstream's report about itself. It returns the replicas whose
// ramp has to be reset, and whether the report has just closed the upstream.
func (d *directory) applyReport(r drain.Report) (resets []drain.RampReset, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	before, _ := d.gate.PermissionFor(now, r.Replica)
	resets = d.gate.Report(now, r)
	after, reason := d.gate.PermissionFor(now, r.Replica)
	if before != after {
		d.changes.Add(1)
	}
	if reason == drain.ReasonDraining {
		d.draining.Store(r.Replica, struct{}{})
	} else {
		d.draining.Delete(r.Replica)
	}
	return resets, before == drain.Allowed && after != drain.Allowed
}

// isClosed reports whether an owner has to refuse requests for the replica.
func (d *directory) isClosed(now time.Time, replica string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	permission, _ := d.gate.PermissionFor(now, replica)
	return permission == drain.Closed
}

// recordHeldSnapshots records the snapshots that a replica holds.
func (d *directory) recordHeldSnapshots(replica string, heldSnapshots []uint64) {
	if len(heldSnapshots) == 0 {
		return
	}
	if known, ok := d.heldSnapshots.Load(replica); ok && slices.Equal(known.([]uint64), heldSnapshots) {
		return
	}
	d.heldSnapshots.Store(replica, heldSnapshots)
	d.changes.Add(1)
}

// owners implements ownerLookup. It returns the live owners or, if none counts as
// live, all of them.
func (d *directory) owners(replica string) []ownership.Share {
	all := d.allOwners(replica)
	live := make([]ownership.Share, 0, len(all))
	for _, s := range all {
		if d.live(s.Member) {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		// The failure detection may be wrong, and an attempt costs little.
		return all
	}
	return live
}

// allOwners returns the owners of a replica by the ownership table of its data centre.
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

// localReplica returns a replica of this data centre. A host can own only those.
func (d *directory) localReplica(id string) (*configuration.Replica, bool) {
	active := d.active()
	if active == nil {
		return nil, false
	}
	_, r, ok := active.Replica(id)
	return r, ok && r.DataCentre == d.dataCentre
}

// allowedSlots implements rights.
func (d *directory) allowedSlots(now time.Time, replica string) int {
	r, ok := d.localReplica(replica)
	if !ok {
		return 0
	}
	limits := d.limits(replica)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.AllowedSlotsWithin(now, replica, r.Slots, limits.Slots)
}

// shareOf implements rights.
func (d *directory) shareOf(replica string) (ownedShare, bool) {
	r, ok := d.localReplica(replica)
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

// limits returns the limiter's configuration for a replica. It combines the strictest
// limits of all contracts that name the replica's group, since the upstream carries
// the load of all of them.
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

// strictest returns c with each limit replaced by that of l if l's is stricter.
func strictest(c capacity.Config, l contract.Limits) capacity.Config {
	c.Slots = min(c.Slots, l.UpstreamLoad)
	c.Floor = lowerNonZero(c.Floor, l.ColdFloor)
	c.Step = lowerNonZero(c.Step, l.ColdStep)
	c.StepTime = max(c.StepTime, l.ColdStepTime)
	return c
}

// lowerNonZero returns the lower of two numbers of slots. 0 means that no limit is set.
func lowerNonZero(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// plan returns the query plan for a contract, or false if the contract is unknown.
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
	plan.Groups = d.withoutReturning(now, active, id, plan.Groups)
	return plan, true
}

// groups returns the groups of a plan. Queries share them until a change invalidates
// them.
func (d *directory) groups(now time.Time, active *configuration.Active, name string, wanted []string) []query.Group {
	changes := d.changes.Load()
	if cached, ok := d.plans.Load(name); ok && cached.(cachedGroups).changes == changes {
		return cached.(cachedGroups).groups
	}
	groups := d.buildGroups(now, active, wanted)
	d.plans.Store(name, cachedGroups{changes, groups})
	return groups
}

// currentGroups returns the groups of a running query under the newest configuration.
func (d *directory) currentGroups(wanted []string) []query.Group {
	return d.buildGroups(time.Now(), d.active(), wanted)
}

func (d *directory) buildGroups(now time.Time, active *configuration.Active, wanted []string) []query.Group {
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
			services[i] = d.buildService(now, &g.Services[i])
		}
		groups = append(groups, query.Group{Name: g.Name, Services: services})
	}
	return groups
}

// buildService returns a service of a plan. The caller holds d.mu.
func (d *directory) buildService(now time.Time, s *configuration.Service) query.Service {
	replicas := make([]query.Replica, len(s.Replicas))
	for i, r := range s.Replicas {
		replicas[i] = query.Replica{ID: r.ID, DataCentre: r.DataCentre, UnusableReason: d.unusableReason(now, r.ID)}
		if heldSnapshots, ok := d.heldSnapshots.Load(r.ID); ok {
			replicas[i].Held = heldSnapshots.([]uint64)
		}
	}
	return query.Service{Name: s.Name, Partition: s.Partition, Replicas: replicas}
}

// unusableReason returns the reason for which an entry host sends no new requests to a
// replica, or "" if it may. The caller holds d.mu.
func (d *directory) unusableReason(now time.Time, replica string) query.Reason {
	permission, reason := d.gate.PermissionFor(now, replica)
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

// withoutReturning marks replicas of data centres that were out and return gradually as
// unusable: the share of queries that may use them grows over time, and in the plans of
// the other queries they are unusable. A service without other usable replicas keeps them,
// since coverage matters more than a gradual return.
func (d *directory) withoutReturning(now time.Time, active *configuration.Active, id string, groups []query.Group) []query.Group {
	var excluded []string
	d.mu.Lock()
	for _, centre := range active.Document.DataCentres {
		if share := d.gate.LoadShare(now, centre.Name); !centre.Out && share < 1 && !drain.InShare(hashOf(id), share) {
			excluded = append(excluded, centre.Name)
		}
	}
	d.mu.Unlock()
	if len(excluded) == 0 {
		return groups
	}
	reduced := make([]query.Group, len(groups))
	for i, g := range groups {
		reduced[i] = query.Group{Name: g.Name, Services: make([]query.Service, len(g.Services))}
		for j, s := range g.Services {
			reduced[i].Services[j] = withoutDataCentres(s, excluded)
		}
	}
	return reduced
}

// withoutDataCentres marks the replicas of the data centres as unusable, unless no
// other replica is usable.
func withoutDataCentres(s query.Service, names []string) query.Service {
	elsewhere := func(r query.Replica) bool { return r.UnusableReason == "" && !slices.Contains(names, r.DataCentre) }
	if !slices.ContainsFunc(s.Replicas, elsewhere) {
		return s
	}
	replicas := slices.Clone(s.Replicas)
	for i := range replicas {
		if slices.Contains(names, replicas[i].DataCentre) && replicas[i].UnusableReason == "" {
			replicas[i].UnusableReason = query.ReasonOut
		}
	}
	return query.Service{Name: s.Name, Partition: s.Partition, Replicas: replicas}
}

// usableReplicas implements replicaLister. Replicas of this data centre come first.
func (d *directory) usableReplicas(now time.Time, service string) []string {
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
		if d.unusableReason(now, r.ID) != "" {
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

// recordReply records what a reply tells about its upstream. The reply reached this
// host as the entry host or as an owner. The results are those of applyReport.
func (d *directory) recordReply(replica string, r upstream.Reply, err error, sentAt time.Time) ([]drain.RampReset, bool) {
	d.recordHeldSnapshots(replica, r.Held)
	if r.Incarnation == "" && !isDrainSignal(err) {
		return nil, false
	}
	return d.applyReport(drain.Report{
		Replica: replica, Incarnation: r.Incarnation, SentAt: sentAt, Draining: r.Load.Draining || isDrainSignal(err),
	})
}
