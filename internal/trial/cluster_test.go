package trial

import (
	"context"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/cli"
	"github.com/marigoldlever/marigoldlever/internal/layout"
)

// startTimeout is generous, since the race detector and a busy machine slow the
// start down.
const startTimeout = time.Minute

func start(t *testing.T, l layout.Layout, change func(*Options)) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	o := Options{Layout: l, HostsPerDataCentre: 2, Seed: 1, Work: layout.DefaultWork}
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
	name := l.Contracts[0].Name
	answer, err := client.Query(ctx, api.QueryRequest{Contract: name, Request: []byte(`{"q":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	if !answer.Coverage.Complete || answer.Snapshot != firstSnapshot {
		t.Errorf("snapshot %d coverage %+v", answer.Snapshot, answer.Coverage)
	}
	result, err := client.Execute(ctx, api.ExecuteRequest{
		Contract: name, Service: answer.Parts[0].Service, Request: []byte(`{"pay":1}`), Key: cli.NewKey(time.Now()), SubmissionNumber: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Run != api.Ran || result.Resent {
		t.Errorf("execute: %+v", result)
	}
}
