package routing_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against a request that is handled by a route other than the one of its host
// with the longest matching prefix.
func TestLongestPrefixWins(t *testing.T) {
	table := routing.New(3, []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil, routing.Limits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"A.Example:80", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/1", ""}, {"a.example", "/X/1", ""},
	} {
		got := ""
		if r, ok := table.Find(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a distribution of requests that doesn't follow the weights.
func TestPickFollowsWeights(t *testing.T) {
	const n, tolerance = 20000, 0.02
	r := routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}, {Service: "c", Weight: 0}}}
	rng := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range n {
		count[r.Pick(rng.Float64())]++
	}
	for name, want := range map[string]float64{"a": 0.25, "b": 0.75, "c": 0} {
		if got := float64(count[name]) / n; math.Abs(got-want) > tolerance {
			t.Errorf("share of %s is %.3f, want %.2f", name, got, want)
		}
	}
	if got := (&routing.Route{}).Pick(0.5); got != "" {
		t.Errorf("a route without services picked %q", got)
	}
}
