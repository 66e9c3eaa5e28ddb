package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/rollout"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// lapsedGrace is how long replicas whose entries lapsed during a store outage may take
// to register again.
const lapsedGrace = 2500 * time.Millisecond

// view is this host's view of the configuration, the replicas and the data centres,
// kept up to date by followers of the store.
type view struct {
	table atomic.Pointer[routing.Table]
	// onTable is called with each version that comes into force.
	onTable func(*routing.Table)
	// rollouts decides by the versions of replicas; nil if these are ignored.
	rollouts *rollouts

	mu             sync.Mutex // guards the fields below
	registry       *replicas.Registry
	cold           *capacity.ColdRateLimiter[replicas.Incarnation]
	dataCentresOut map[string]bool
	leaving        metrics.Counter // replicas that said in a reply that they are leaving
	paused         metrics.Counter // pauses that replicas asked for
	leftOut        metrics.Counter // entries for which the registry had no room
	replicasListed bool            // whether the replicas were listed once
	outListed      bool            // whether the data centres that are out were listed once
	outKept        keptOut         // data centres that stay out after the store lost their entries
	// caughtUpAt is when the first lists, which may be out of date, can be relied on.
	caughtUpAt time.Time
}

// catchUpTime is how long after its first lists a host waits for the changes that they
// lack. The store, or a watcher, returns those at once. Without the wait, a host that has
// just started could use a replica that had left before.
const catchUpTime = 100 * time.Millisecond

// newView returns a view that keeps a registry of at most registryBytes.
func newView(registryBytes int64, registry metrics.Registry) *view {
	entries := replicas.New(lapsedGrace)
	entries.LimitBytes(int(registryBytes))
	return &view{
		onTable:        func(*routing.Table) {},
		registry:       entries,
		cold:           capacity.NewColdRateLimiter[replicas.Incarnation](),
		dataCentresOut: make(map[string]bool),
		leaving:        metrics.GetOrRegisterCounter("replicas.leaving", registry),
		paused:         metrics.GetOrRegisterCounter("replicas.pauses", registry),
		leftOut:        metrics.GetOrRegisterCounter("replicas.left_out", registry),
	}
}

// complete reports whether this host knows enough to serve.
func (v *view) complete(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Load() != nil && v.replicasListed && v.outListed && !now.Before(v.caughtUpAt) && v.rollouts.ready()
}

// firstListed records that one of the lists was read for the first time. The caller holds
// mu.
func (v *view) firstListed(now time.Time) { v.caughtUpAt = now.Add(catchUpTime) }

// services returns the query services with their usable replicas in allowed data
// centres, and the incarnations of these replicas. The hash space is divided equally
// among the names, so that each counts the same towards coverage. For each service whose
// usable replicas are all paused, or cold with this host's share of their request rate used
// up, it also returns the time until the first may be used.
func (v *view) services(now time.Time, names []string, partitions []query.Service, allowed func(dataCentre string) bool, coldShare func(service string) float64) ([]query.Service, []replicas.Incarnation, []pause) {
	result := make([]query.Service, len(names))
	copy(result, partitions)
	replicaBuffer := make([]query.Replica, 0, 2*len(names))
	runs := make([]replicas.Incarnation, 0, 2*len(names))
	var usable []replicas.Candidate
	var pauses []pause
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, name := range names {
		result[i].Name = name
		usable = v.registry.Usable(now, name, usable[:0])
		usable = slices.DeleteFunc(usable, func(c replicas.Candidate) bool { return !allowed(c.DataCentre) })
		candidates, tryFirst := v.rollouts.choose(now, name, usable)
		from, first := len(replicaBuffer), pause{}
		for j, c := range candidates {
			wait := pause{remaining: c.Pause}
			if c.ColdNow && c.Pause == 0 {
				wait = pause{v.cold.Wait(now, c.Incarnation(), coldShare(c.Service)), true}
			}
			switch {
			case wait.remaining == 0:
				r := query.Replica{ID: c.ID, DataCentre: c.DataCentre, Held: oneSnapshot, Cold: c.ColdNow, Lapsed: c.Lapsed}
				if tryFirst { // rank the others after the first, as if they were lapsed
					r.Cold, r.Lapsed = r.Cold && j > 0, r.Lapsed || j > 0
				}
				replicaBuffer = append(replicaBuffer, r)
				runs = append(runs, c.Incarnation())
			case first.remaining == 0 || wait.remaining < first.remaining:
				first = wait
			}
		}
		if first.remaining > 0 && len(replicaBuffer) == from {
			pauses = append(pauses, first)
		}
		result[i].Replicas = replicaBuffer[from:len(replicaBuffer):len(replicaBuffer)]
	}
	return result, runs, pauses
}

// pause is the time until a replica may get a request from this host.
type pause struct {
	remaining time.Duration
	// cold is set if the replica is cold and this host's share of its request rate is used up,
	// so that another host may still send to it. Otherwise the replica asked for the pause.
	cold bool
}

// sampleAddresses returns addresses of up to n random replicas registered in a data
// centre. It prefers replicas that get requests: what other writers register for services
// that no route names may be no replica at all.
func (v *view) sampleAddresses(dataCentre string, n int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if table := v.table.Load(); table != nil {
		if addresses := v.registry.SampleAddresses(dataCentre, n, table.Routed); len(addresses) > 0 {
			return addresses
		}
	}
	return v.registry.SampleAddresses(dataCentre, n, func(string) bool { return true })
}

// oneSnapshot stands for the data version that replicas hold: the platform's replicas
// do not report snapshots, and all shards of one configuration version fit together.
var oneSnapshot = []uint64{snapshot}

const snapshot = 1

// admitted is a replica that may get a request now.
type admitted struct {
	replicas.Replica
	lapsed bool
	pass   rollout.Pass // must be finished
}

// permit checks a replica again right before a send. It refuses a replica that may no
// longer get new work, that is paused, whose request rate while cold is used up, or whose
// version may get no request.
func (v *view) permit(now time.Time, id string, coldShare func(service string) float64) (admitted, permission) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.registry.GetUsable(now, id)
	switch {
	case !ok:
		return admitted{}, unusable
	case c.Pause > 0:
		return admitted{}, paused
	case c.ColdNow && !v.cold.Allow(now, c.Incarnation(), coldShare(c.Service)):
		return admitted{}, coldLimited
	}
	pass, ok := v.rollouts.admit(now, &c.Replica, func() []replicas.Candidate { return v.registry.Usable(now, c.Service, nil) })
	if !ok {
		return admitted{}, unusable
	}
	return admitted{Replica: c.Replica, lapsed: c.Lapsed, pass: pass}, allowed
}

// hasUsable reports whether a service has a usable replica of a version that is not cold, so that
// it may get as many requests as others.
func (v *view) hasUsable(now time.Time, service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.registry.Usable(now, service, nil), func(c replicas.Candidate) bool { return c.Version == version && !c.ColdNow })
}

// permission tells whether a replica may get a request now.
type permission int

const (
	allowed     permission = iota
	unusable               // leaving, unregistered, moved or in a data centre that is out
	paused                 // the replica wants no requests from this host for a while
	coldLimited            // this host's share of the cold replica's request rate is used up
)

// serviceOf returns the service of a replica; empty if it is not known.
func (v *view) serviceOf(id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Service(id)
}

// recheck reports whether a run that got permission may still get new work. The rate of a
// cold replica was charged by permit.
func (v *view) recheck(now time.Time, run replicas.Incarnation) permission {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.registry.GetUsable(now, run.ID)
	switch {
	case !ok || c.Incarnation() != run:
		return unusable
	case c.Pause > 0:
		return paused
	case !v.rollouts.permits(now, &c.Replica):
		return unusable
	}
	return allowed
}

// recordReply records what a reply says about the replica. A reply of another replica
// than the one asked for says only that the run has moved.
func (v *view) recordReply(now time.Time, run replicas.Incarnation, reply *exchange.Reply) {
	if !reply.Misdirected && !reply.Leaving && reply.ColdRemaining == 0 && reply.Pause == 0 && reply.MalformedPause == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if reply.Misdirected {
		v.registry.MarkMoved(run)
		return
	}
	if reply.Leaving && v.registry.MarkLeaving(run) {
		v.leaving.Inc(1)
		klog.InfoS("Replica says that it is leaving", "replica", run.ID, "address", run.Address)
	}
	if reply.Pause > 0 && v.registry.Pause(now, run, reply.Pause) {
		v.paused.Inc(1)
		klog.InfoS("Replica asked for a pause", "replica", run.ID, "address", run.Address, "pauseMS", reply.Pause.Milliseconds())
	}
	if reply.MalformedPause != "" && v.registry.MarkMalformed(run) {
		klog.InfoS("Replica asked for a pause that can't be decoded", "replica", run.ID, "address", run.Address, "text", reply.MalformedPause)
	}
	if reply.ColdRemaining > 0 {
		v.registry.Cold(now, run, reply.ColdRemaining)
	}
}

// expire drops lapsed entries that did not come back, and returns the remaining
// incarnations.
func (v *view) expire(now time.Time) map[replicas.Incarnation]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if expired := v.registry.Expire(now); len(expired) > 0 {
		klog.InfoS("Replicas gone that did not register again", "replicas", len(expired), "first", expired[0])
	}
	if v.outKept.expire(now) {
		v.registry.SetDataCentresOut(v.dataCentresOut)
	}
	remaining := v.registry.Incarnations()
	v.cold.RetainOnly(remaining)
	return remaining
}

// listLog logs the availability of a list of the store.
type listLog struct{ list string }

// EraChanged implements follow.Sink.
func (l listLog) EraChanged(_ time.Time, era uint64) {
	klog.InfoS("List is of a new era of the store", "list", l.list, "era", era)
}

// NeedsList implements follow.Sink. Lists whose copy is never incomplete need nothing more.
func (l listLog) NeedsList() bool { return false }

func (l listLog) Available(time.Time) { klog.InfoS("Store reached", "list", l.list) }

func (l listLog) Unavailable(_ time.Time, err error) { klog.ErrorS(err, "Store lost", "list", l.list) }

func (l listLog) CallFailed(err error) {
	if errors.Is(err, follow.ErrTooLarge) {
		klog.ErrorS(err, "Changes can't be read, the list is read instead", "list", l.list)
		return
	}
	klog.V(1).InfoS("Store call failed", "list", l.list, "err", err)
}

// tableSink receives versions of the configuration. An older version never replaces a
// newer one.
type tableSink struct {
	listLog
	view *view
}

func (s tableSink) Replace(now time.Time, items []follow.Item[*routing.Table], revision uint64) {
	if s.view.table.Load() == nil {
		s.view.mu.Lock()
		s.view.firstListed(now)
		s.view.mu.Unlock()
	}
	s.Apply(now, items, revision)
}

func (s tableSink) Apply(_ time.Time, items []follow.Item[*routing.Table], revision uint64) {
	for _, item := range items {
		if item.Removed {
			continue
		}
		current := s.view.table.Load()
		if current != nil && item.Value.Version <= current.Version {
			continue
		}
		s.view.table.Store(item.Value)
		klog.InfoS("Configuration in force", "version", item.Value.Version, "revision", revision, "routes", item.Value.RouteCount())
		s.view.onTable(item.Value)
	}
}

// replicaSink receives the registry of replicas.
type replicaSink struct {
	listLog
	view *view
}

func (s replicaSink) Available(now time.Time) {
	s.listLog.Available(now)
	s.available(now, true)
}

func (s replicaSink) Unavailable(now time.Time, err error) {
	s.listLog.Unavailable(now, err)
	s.available(now, false)
}

func (s replicaSink) available(now time.Time, available bool) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.registry.SetAvailable(now, available)
}

// EraChanged implements follow.Sink.
func (s replicaSink) EraChanged(now time.Time, era uint64) {
	s.listLog.EraChanged(now, era)
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.registry.BeginEra(now)
}

func (s replicaSink) Replace(now time.Time, items []follow.Item[replicas.Replica], revision uint64) {
	list := make([]replicas.Replica, 0, len(items))
	for _, item := range items {
		if !item.Removed {
			list = append(list, item.Value)
		}
	}
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.rollouts.see(now, list, true)
	if leftOut := s.view.registry.Replace(now, list); leftOut > 0 {
		s.recordLeftOut(leftOut, list[len(list)-1].ID)
	}
	s.view.registry.EndStep()
	if !s.view.replicasListed {
		s.view.replicasListed = true
		s.view.firstListed(now)
	}
	klog.InfoS("Replicas listed", "replicas", len(list), "revision", revision)
}

func (s replicaSink) Apply(now time.Time, items []follow.Item[replicas.Replica], revision uint64) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	defer s.view.registry.EndStep()
	for _, item := range items {
		if item.Removed {
			s.view.registry.Remove(now, item.Name)
			klog.InfoS("Replica removed", "replica", item.Name, "revision", revision)
			continue
		}
		s.view.rollouts.see(now, []replicas.Replica{item.Value}, false)
		if !s.view.registry.Put(now, item.Value) {
			s.recordLeftOut(1, item.Name)
			continue
		}
		klog.InfoS("Replica changed", "replica", item.Name, "service", item.Value.Service, "draining", item.Value.Draining,
			"coldMS", item.Value.Cold.Milliseconds(), "revision", revision)
	}
}

// recordLeftOut records entries for which the registry has no room. The caller holds mu.
func (s replicaSink) recordLeftOut(entries int, last string) {
	s.view.leftOut.Inc(int64(entries))
	klog.ErrorS(errRegistryFull, "Replicas left out", "replicas", entries, "last", last)
}

// errRegistryFull reports that the registry of replicas has reached its share of the memory.
var errRegistryFull = errors.New("no memory is left for the registry of replicas")

// NeedsList implements follow.Sink.
func (s replicaSink) NeedsList() bool {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return s.view.registry.NeedsList()
}

// Bounds of the data centres that are out, far above what any deployment has.
const (
	maxDataCentresOut = 4096
	maxNameBytes      = 256
)

// errNoDataCentre reports an entry that can't name a data centre.
var errNoDataCentre = errors.New("not the name of a data centre, or too many of them")

// outSink receives the data centres that are out.
type outSink struct {
	listLog
	view *view
}

// EraChanged implements follow.Sink.
func (s outSink) EraChanged(now time.Time, era uint64) {
	s.listLog.EraChanged(now, era)
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.outKept.begin(now, s.view.dataCentresOut)
}

func (s outSink) Replace(now time.Time, items []follow.Item[struct{}], revision uint64) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.dataCentresOut = make(map[string]bool)
	if !s.view.outListed {
		s.view.outListed = true
		s.view.firstListed(now)
	}
	s.apply(items, revision)
}

func (s outSink) Apply(_ time.Time, items []follow.Item[struct{}], revision uint64) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.apply(items, revision)
}

// apply applies changes in order. The caller holds the view's lock.
func (s outSink) apply(items []follow.Item[struct{}], revision uint64) {
	for _, item := range items {
		switch {
		case item.Removed:
			delete(s.view.dataCentresOut, item.Name)
		case len(item.Name) > maxNameBytes || len(s.view.dataCentresOut) >= maxDataCentresOut:
			klog.ErrorS(errNoDataCentre, "Data centre left out", "bytes", len(item.Name), "out", len(s.view.dataCentresOut))
			continue
		default:
			s.view.dataCentresOut[item.Name] = true
		}
		klog.InfoS("Data centre changed", "dataCentre", item.Name, "out", !item.Removed, "revision", revision)
	}
	s.view.outKept.endStep(s.view.dataCentresOut)
	s.view.registry.SetDataCentresOut(s.view.outKept.with(s.view.dataCentresOut))
}
