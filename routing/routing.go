// Package routing finds the route of a request in one version of the configuration.
package routing

import (
	"encoding/json"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes where matching requests are sent and how they are handled. Exactly
// one of Services and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the route. It begins and ends with a slash.
	Prefix string
	// Services receive the requests in proportion to their weights.
	Services []WeightedService
	// Shards are services that each answer a part of every request.
	Shards []string
	// Idempotent requests may run more than once.
	Idempotent bool
	Timeout    time.Duration // 0 if there is none
	// TargetLatency is the time within which requests should be answered.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of replicas that may run a request. With Shards
	// it applies to the sub-request to each shard.
	MaxAttempts int
	// MinimumShare is the minimum share of Shards that must reply for an answer.
	MinimumShare float64
	// MaxRecords is the maximum number of records in an answer merged from Shards.
	MaxRecords int
	// Regions are the regions that may run the request; empty allows all.
	Regions []string
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Public requests need no key of an account.
	Public bool
}

// Service is the operator's configuration of a service.
type Service struct {
	Name           string
	MaxConnections int // per replica, from all callers together; 0 if unlimited
	// ColdRequestsPerSecond is the request rate that a replica can handle just after its
	// start, from all hosts together.
	ColdRequestsPerSecond float64
}

// Limits restrict the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table holds the routes and services of one version of the configuration. It is
// immutable.
type Table struct {
	Version      uint64
	Limits       Limits
	services     map[string]Service
	routed       map[string]struct{} // services that routes send requests to
	routesByHost map[string][]*Route // by lower-case host; longest prefix first
	routes       []Route
	accounts     map[string]*Account // by name; nil if the configuration has none
	accountByKey map[keyDigest]*Account
	hasQuotas    bool
}

// New returns the table of one version of the configuration.
func New(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, services: map[string]Service{}, routed: map[string]struct{}{}, routesByHost: map[string][]*Route{}, routes: routes}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		for _, s := range routes[i].Services {
			t.routed[s.Service] = struct{}{}
		}
		for _, name := range routes[i].Shards {
			t.routed[name] = struct{}{}
		}
		host := strings.ToLower(routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &routes[i])
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// All returns the routes, which must not be modified.
func (t *Table) All() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for i := range t.routes {
			if !yield(&t.routes[i]) {
				return
			}
		}
	}
}

// Service returns the operator's configuration of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Routed reports whether a route sends requests to a service.
func (t *Table) Routed(service string) bool {
	_, ok := t.routed[service]
	return ok
}

// Find returns the route of the host with the longest prefix that matches the path. It
// ignores a port in host, and the case of host.
func (t *Table) Find(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Fingerprint returns a hash of all fields of the route; 0 if it can't be computed. Versions of
// the configuration whose routes have the same fingerprint send a request to the same services
// under the same conditions. Limits of the services and of the accounts are not part of it.
func (r *Route) Fingerprint() uint64 {
	text, err := json.Marshal(r)
	if err != nil {
		return 0 // a weight that is not a number; such a route is like no other
	}
	return xxhash.Sum64(text)
}

// Pick returns the service of the route at a fraction from 0 to below 1 of the total
// weight. Uniformly distributed fractions pick each service in proportion to its weight.
func (r *Route) Pick(fraction float64) string {
	total := 0.0
	for _, w := range r.Services {
		total += max(w.Weight, 0)
	}
	remaining := fraction * total
	for _, w := range r.Services {
		if remaining -= max(w.Weight, 0); remaining < 0 {
			return w.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
