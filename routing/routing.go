// Package routing finds the route of a request in one version of the
// configuration. A Table does not change once it is made.
package routing

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service with its part of the requests of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route tells where requests go and how they may be handled. Exactly one of
// Services and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route; it begins and ends with a slash.
	Prefix string
	// Services share the requests by weight.
	Services []WeightedService
	// Shards each answer a part of every request.
	Shards []string
	// Idempotent requests may run more than once.
	Idempotent bool
	Timeout    time.Duration // 0 if there is none
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas that may run one request; for
	// Shards, one request at each.
	MaxAttempts int
	// MinimumShare is the share of Shards without which there is no answer.
	MinimumShare float64
	// MaxRecords is the number of records in an answer that is merged from Shards.
	MaxRecords int
	// Regions are those that may run the request; empty allows all.
	Regions []string
}

// Service is what the operator says of a service.
type Service struct {
	Name           string
	MaxConnections int // of all callers at one replica; 0 if not limited
	// ColdRequestsPerSecond is the number of requests that a replica bears just after its
	// start, from all hosts together.
	ColdRequestsPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	hosts    map[string][]*Route // by length of prefix, longest first
	routes   []Route
}

// New returns the table of a version.
func New(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, services: map[string]Service{}, hosts: map[string][]*Route{}, routes: routes}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// All returns the routes, which must not be changed.
func (t *Table) All() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for i := range t.routes {
			if !yield(&t.routes[i]) {
				return
			}
		}
	}
}

// Service returns what the operator says of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Find returns the route with the longest prefix of the path among those of the
// host, whose port is ignored.
func (t *Table) Find(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick returns the service of the route for a number from 0 up to 1; evenly spread
// numbers pick each as often as its weight says.
func (r *Route) Pick(number float64) string {
	total := 0.0
	for _, w := range r.Services {
		total += max(w.Weight, 0)
	}
	at := number * total
	for _, w := range r.Services {
		if at -= max(w.Weight, 0); at < 0 {
			return w.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
