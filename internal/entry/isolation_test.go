package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against refusing a request although exactly enough parts are reachable: 0.55 of
// 100 parts are 55, while the floating-point product is slightly more.
func TestExactlyEnoughPartsAreReachable(t *testing.T) {
	const shards, share, enough = 100, 0.55, 55
	for reachable, want := range map[int]bool{enough: true, enough - 1: false} {
		e := New(Settings{}, nil, metrics.NewRegistry(), 1)
		route := &routing.Route{MinimumShare: share}
		now := time.Unix(1000, 0)
		for i := range shards {
			name := fmt.Sprint("shard-", i)
			route.Shards = append(route.Shards, name)
			r := replicas.Replica{ID: fmt.Sprint("replica-", i), Service: name, DataCentre: "near"}
			if i >= reachable {
				r.DataCentre = "far"
			}
			e.view.registry.Put(now, r)
		}
		for i := range reachConfig.MinSilentReplicas {
			e.reach.sent(now, "far", fmt.Sprint("replica-", i))
		}
		e.reach.tick(t.Context(), now.Add(reachConfig.MinSilence))
		if a := e.availability(now, route, route.Shards); a.enoughReachable() != want {
			t.Errorf("%d of %d parts reachable: enoughReachable is %t, want %t", reachable, shards, !want, want)
		}
	}
}

// Guards against an isolated host that reports ready because it can still answer one of
// its routes: callers of the other routes would be refused until the outage ends,
// although hosts of other data centres can answer them. A route without any replica, as
// before a repartition, must not affect readiness.
func TestHostThatCannotAnswerARouteIsIsolated(t *testing.T) {
	e := New(Settings{}, nil, metrics.NewRegistry(), 1)
	now := time.Unix(1000, 0)
	shards := []string{"near", "far"}
	for _, name := range shards {
		e.view.registry.Put(now, replicas.Replica{ID: name, Service: name, DataCentre: name})
	}
	halfRoute := routing.Route{Name: "half", Host: "half", Prefix: "/", Shards: shards, MinimumShare: 0.5}
	fullRoute := routing.Route{Name: "whole", Host: "whole", Prefix: "/", Shards: shards, MinimumShare: 1}
	emptyRoute := routing.Route{Name: "later", Host: "later", Prefix: "/", Shards: []string{"later"}, MinimumShare: 1}
	for i := range reachConfig.MinSilentReplicas {
		e.reach.sent(now, "far", fmt.Sprint("replica-", i))
	}
	for _, c := range []struct {
		routes                    []routing.Route
		unreachable, wantIsolated bool
	}{
		{[]routing.Route{halfRoute, fullRoute, emptyRoute}, false, false},
		{[]routing.Route{halfRoute, emptyRoute}, true, false},
		{[]routing.Route{halfRoute, fullRoute, emptyRoute}, true, true},
		{[]routing.Route{emptyRoute}, true, false},
	} {
		if c.unreachable {
			e.reach.tick(t.Context(), now.Add(reachConfig.MinSilence))
		}
		e.view.table.Store(routing.New(1, c.routes, nil, routing.Limits{}))
		if got := e.isolated(now); got != c.wantIsolated {
			t.Errorf("%d routes, data centre unreachable: %t: isolated is %t, want %t", len(c.routes), c.unreachable, got, c.wantIsolated)
		}
	}
}

// Guards against Retry-After times that send callers back to an isolated data centre
// before the balancer can have noticed.
func TestIsolatedRetryAfterCoversBalancerLag(t *testing.T) {
	route := &routing.Route{TargetLatency: 100 * time.Millisecond}
	for unreachableFor, want := range map[time.Duration]time.Duration{
		0:               balancerLag,
		balancerLag / 2: balancerLag / 2,
		balancerLag:     refusedRetryAfter(route),
		time.Minute:     refusedRetryAfter(route),
	} {
		if got := isolatedRetryAfter(route, unreachableFor); got != want {
			t.Errorf("unreachable for %v: Retry-After is %v, want %v", unreachableFor, got, want)
		}
	}
}
