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

// startTimeout is generous, since the race detector and a busy machine slow the
// start down.
const startTimeout = time.Minute

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

// Guards against parts that work alone but not together: a query and an execute
// request through every host of both layouts.
func TestWholePath(t *testing.T) {
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
	// A contract that prefers latency may answer at its goal without some parts,
	// and does so when the machine is slow.
	i := slices.IndexFunc(l.Contracts, func(c contract.Contract) bool { return c.Prefer == contract.PreferCoverage })
	name := l.Contracts[i].Name
	answer, err := client.Query(ctx, api.QueryRequest{Contract: name, Request: []byte(`{"q":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	if !answer.Coverage.Complete || answer.Snapshot != firstSnapshot {
		t.Errorf("snapshot %d coverage %+v", answer.Snapshot, answer.Coverage)
	}
	whole, err := client.Query(ctx, api.QueryRequest{Contract: l.Contracts[0].Name, Request: []byte(`{"q":2}`)})
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range whole.Coverage.Groups {
		if (g.Share < 1) != (len(g.Missing) > 0) {
			t.Errorf("group %s: share %f with missing parts %+v", g.Group, g.Share, g.Missing)
		}
	}
	result, err := client.Execute(ctx, api.ExecuteRequest{
		Contract: name, Service: answer.Parts[0].Service, Request: []byte(`{"pay":1}`), Key: once.NewKey(time.Now(), uuid.NewString()), SubmissionNumber: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Run != api.Ran || result.Resent {
		t.Errorf("execute: %+v", result)
	}
}
