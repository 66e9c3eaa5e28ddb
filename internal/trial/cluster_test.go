package trial

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/once"
)

// startTimeout bounds the start of a cluster and other waits of tests. It is long
// because the race detector and a busy machine slow them down.
const startTimeout = time.Minute

// start runs a cluster of two hosts for each data centre until the end of the test.
// change, if not nil, changes its options.
func start(t *testing.T, l layout.Layout, change func(*Options)) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	o := Options{Layout: l, HostsPerDataCentre: 2, Seed: 1, WorkTime: layout.DefaultWork}
	if change != nil {
		change(&o)
	}
	c, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against components that work alone but not together: sends queries and an
// execute request through every host of both layouts.
func TestQueryAndExecuteThroughEveryHost(t *testing.T) {
	for _, l := range []layout.Layout{layout.Indus(), layout.Abay()} {
		t.Run(l.Name, func(t *testing.T) {
			c := start(t, l, nil)
			for _, address := range c.Addresses("") {
				checkHost(t, address, l)
			}
		})
	}
}

func checkHost(t *testing.T, address string, l layout.Layout) {
	t.Helper()
	client := api.NewClient(address, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	// The contract prefers coverage: with one that prefers latency, a slow machine
	// causes answers at the latency goal without some parts.
	i := slices.IndexFunc(l.Contracts, func(c contract.Contract) bool { return c.Prefer == contract.PreferCoverage })
	name := l.Contracts[i].Name
	answer, err := client.Query(ctx, api.QueryRequest{Contract: name, Request: []byte(`{"q":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	if !answer.Coverage.Complete || answer.Snapshot != initialSnapshot {
		t.Errorf("snapshot %d, coverage %+v; want snapshot 7 and a complete answer", answer.Snapshot, answer.Coverage)
	}
	second, err := client.Query(ctx, api.QueryRequest{Contract: l.Contracts[0].Name, Request: []byte(`{"q":2}`)})
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range second.Coverage.Groups {
		if (g.Share < 1) != (len(g.Missing) > 0) {
			t.Errorf("group %s: share %f contradicts the missing parts %+v", g.Group, g.Share, g.Missing)
		}
	}
	result, err := client.Execute(ctx, api.ExecuteRequest{
		Contract: name, Service: answer.Parts[0].Service, Request: []byte(`{"pay":1}`), Key: once.NewKey(time.Now(), uuid.NewString()), SubmissionNumber: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Run != api.Ran || result.Resent {
		t.Errorf("execute: %+v; want a first run", result)
	}
}
