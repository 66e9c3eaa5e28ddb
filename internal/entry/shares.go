package entry

import (
	"sync/atomic"

	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
)

const (
	// unknownHosts is the number of hosts assumed until the host list was read.
	unknownHosts = 40
	// connectionShare of what a replica accepts is divided among the hosts.
	connectionShare = 0.9
	// maxConnections bounds the connections to a replica whose service states no limit.
	maxConnections = 32
)

// shares is how the hosts divide the bounds that hold for all of them together.
type shares struct {
	division atomic.Pointer[offload.Division]
	// large holds the services that are parts of large requests. The other services get
	// requests from all hosts alike.
	large atomic.Pointer[map[string]bool]
}

func newShares() *shares {
	s := &shares{}
	d := offload.Uniform(unknownHosts)
	s.division.Store(&d)
	s.large.Store(&map[string]bool{})
	return s
}

// setTable takes the configuration in force.
func (s *shares) setTable(t *routing.Table) {
	large := map[string]bool{}
	for route := range t.All() {
		if !givable(route) {
			continue
		}
		for _, name := range route.Shards {
			large[name] = true
		}
	}
	s.large.Store(&large)
}

// of returns the division for the requests to a service.
func (s *shares) of(service string) offload.Division {
	d := *s.division.Load()
	if (*s.large.Load())[service] {
		return d
	}
	return offload.Uniform(d.Hosts)
}

// budgetLimits returns what this host may use of the bound on extra sends to a service.
func (e *Entry) budgetLimits(service string) query.BudgetLimits {
	b, d := e.bounds.Load(), e.shares.of(service)
	return query.HostLimits(b.ExtraRatio, b.ExtraSlack, b.ExtraWindow, d.Hosts, d.OffloadingHosts, d.Offloads)
}

// coldShare returns the requests per second that this host may send to a cold
// replica of a service.
func (e *Entry) coldShare(service string) float64 {
	table := e.view.table.Load()
	if table == nil {
		return 0
	}
	s, _ := table.Service(service)
	b := e.bounds.Load()
	return (s.ColdPerSecond*b.ColdFactor + b.ColdSlack) * e.shares.of(service).Share
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
		return maxConnections
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)*e.shares.of(name).Share))
}
