package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against a host that refuses a request although the parts in reach are just
// enough for an answer: 0.55 of 100 parts are 55, while the product is a little more.
func TestJustEnoughPartsInReach(t *testing.T) {
	const shards, share, enough = 100, 0.55, 55
	for inReach, want := range map[int]bool{enough: true, enough - 1: false} {
		e := New(Settings{}, nil, metrics.NewRegistry(), 1)
		route := &routing.Route{MinimumShare: share}
		now := time.Unix(1000, 0)
		for i := range shards {
			name := fmt.Sprint("shard-", i)
			route.Shards = append(route.Shards, name)
			r := replicas.Replica{ID: fmt.Sprint("replica-", i), Service: name, DataCentre: "near"}
			if i >= inReach {
				r.DataCentre = "far"
			}
			e.view.registry.Put(now, r)
		}
		for i := range reachConfig.Replicas {
			e.reach.sent(now, "far", fmt.Sprint("replica-", i))
		}
		e.reach.look(t.Context(), now.Add(reachConfig.Silence))
		if got := e.enoughInReach(now, route); got != want {
			t.Errorf("%d of %d parts in reach: enough is %t, want %t", inReach, shards, got, want)
		}
	}
}
