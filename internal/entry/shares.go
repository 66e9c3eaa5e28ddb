package entry

import (
	"sync/atomic"

	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
)

const (
	// assumedHosts is the number of hosts assumed until the host list is read.
	assumedHosts = 40
	// connectionShare of a replica's connection limit is divided among the hosts.
	connectionShare = 0.9
	// defaultMaxConnections limits the connections to a replica whose service sets no
	// limit.
	defaultMaxConnections = 32
)

// shares holds this host's shares of the bounds that all hosts keep together.
type shares struct {
	division atomic.Pointer[offload.Division]
	// offloaded holds the services of routes whose requests may be forwarded. All other
	// services get requests from every host alike.
	offloaded atomic.Pointer[map[string]bool]
}

func newShares() *shares {
	s := &shares{}
	d := offload.Uniform(assumedHosts)
	s.division.Store(&d)
	s.offloaded.Store(&map[string]bool{})
	return s
}

// setTable applies the configuration in force.
func (s *shares) setTable(t *routing.Table) {
	offloaded := map[string]bool{}
	for route := range t.All() {
		if !offloadable(route) {
			continue
		}
		for _, name := range route.Shards {
			offloaded[name] = true
		}
	}
	s.offloaded.Store(&offloaded)
}

// forService returns the division that applies to requests to a service.
func (s *shares) forService(service string) offload.Division {
	d := *s.division.Load()
	if (*s.offloaded.Load())[service] {
		return d
	}
	return offload.Uniform(d.Hosts)
}

// budgetLimits returns this host's share of the limit on retries and hedges to a
// service.
func (e *Entry) budgetLimits(service string) query.BudgetLimits {
	b, d := e.bounds.Load(), e.shares.forService(service)
	return query.HostBudgetLimits(b.ExtraRatio, b.ExtraSlack, b.ExtraWindow, d.Hosts, d.OffloadingHosts, d.Offloads)
}

// coldShare returns how many requests per second this host may send to a cold replica
// of a service.
func (e *Entry) coldShare(service string) float64 {
	table := e.view.table.Load()
	if table == nil {
		return 0
	}
	s, _ := table.Service(service)
	b := e.bounds.Load()
	return (s.ColdRequestsPerSecond*b.ColdFactor + b.ColdSlack) * e.shares.forService(service).Share
}

// connections returns how many connections this host may hold to a replica.
func (e *Entry) connections(run replicas.Incarnation) int {
	table := e.view.table.Load()
	if table == nil {
		return 0
	}
	name := e.view.serviceOf(run.ID)
	s, ok := table.Service(name)
	if !ok || s.MaxConnections <= 0 {
		return defaultMaxConnections
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)*e.shares.forService(name).Share))
}
