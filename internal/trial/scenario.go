package trial

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// In the straggler scenario 1 in 100 sub-requests takes 20 times as long.
const (
	stragglerShare  = 0.01
	stragglerFactor = 20
)

// Event is an action that a scenario performs at a time since its start.
type Event struct {
	At    time.Duration
	Label string
	Do    func(ctx context.Context, c *Cluster) error
}

// Scenario is a sequence of events, mostly faults, during a load.
type Scenario struct {
	Name    string
	Summary string
	events  func(l time.Duration) []Event
}

// Events returns the events for a load of the given length.
func (s Scenario) Events(length time.Duration) []Event { return s.events(length) }

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", "no faults", func(time.Duration) []Event { return nil }},
		{"stragglers", "1 in 100 sub-requests is 20 times slower", func(time.Duration) []Event {
			return []Event{{0, "stragglers", injectStragglers}}
		}},
		{"replica-loss", "the first replica of a service crashes for a third of the time", func(l time.Duration) []Event {
			return []Event{{l / 3, "crash", crashReplica}, {2 * l / 3, "restart", restartReplica}}
		}},
		{"cold-start", "all upstreams of a data centre restart cold", func(l time.Duration) []Event {
			return []Event{{l / 3, "cold", restartUpstreams}}
		}},
		{"drain-data-centre", "operators take a data centre out and bring it back", func(l time.Duration) []Event {
			return []Event{{l / 3, "out", takeDataCentreOut}, {2 * l / 3, "in", bringDataCentreIn}}
		}},
		{"platform-outage", "the platform answers nothing for a third of the time", func(l time.Duration) []Event {
			return []Event{{l / 3, "outage", setOutage(true)}, {2 * l / 3, "back", setOutage(false)}}
		}},
		{"host-kill", "a daemon is killed and started again", func(l time.Duration) []Event {
			return []Event{{l / 3, "kill", killHost}, {2 * l / 3, "start", startHost}}
		}},
	}
}

// ScenarioByName returns the scenario with the name.
func ScenarioByName(name string) (Scenario, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, errors.Newf("unknown scenario %q", name)
	}
	return all[i], nil
}

// RunEvents performs each event at its time. It returns after the last one, on the
// first error or when ctx ends.
func (c *Cluster) RunEvents(ctx context.Context, events []Event) error {
	started := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(started.Add(e.At))):
		}
		if err := e.Do(ctx, c); err != nil {
			return errors.Wrapf(err, "event %s", e.Label)
		}
	}
	return nil
}

func (c *Cluster) firstDataCentre() (string, *upstreamstandin.DataCentre) {
	name := c.Options.Layout.DataCentres[0]
	return name, c.Upstreams[name]
}

func injectStragglers(_ context.Context, c *Cluster) error {
	for _, centre := range c.Upstreams {
		f := upstreamstandin.Faults{StragglerShare: stragglerShare, StragglerFactor: stragglerFactor}
		if err := centre.SetFaults("*", f); err != nil {
			return err
		}
	}
	return nil
}

func firstReplica(centre *upstreamstandin.DataCentre) upstreamstandin.Selector {
	return upstreamstandin.Selector(centre.Replicas()[0])
}

func crashReplica(_ context.Context, c *Cluster) error {
	_, centre := c.firstDataCentre()
	return centre.Crash(firstReplica(centre))
}

func restartReplica(_ context.Context, c *Cluster) error {
	_, centre := c.firstDataCentre()
	return centre.Restart(firstReplica(centre))
}

func restartUpstreams(_ context.Context, c *Cluster) error {
	_, centre := c.firstDataCentre()
	return centre.Restart("*")
}

func takeDataCentreOut(ctx context.Context, c *Cluster) error {
	name, centre := c.firstDataCentre()
	if err := c.SetOutOfService(ctx, name, true); err != nil {
		return err
	}
	centre.SetOutOfService(true)
	return nil
}

func bringDataCentreIn(ctx context.Context, c *Cluster) error {
	name, centre := c.firstDataCentre()
	centre.SetOutOfService(false)
	return c.SetOutOfService(ctx, name, false)
}

// SetOutOfService submits a patch that takes a data centre out of service or puts it back.
func (c *Cluster) SetOutOfService(ctx context.Context, name string, out bool) error {
	client := api.NewClient(c.Hosts[len(c.Hosts)-1].Settings.Host.CallerAddress, 1)
	defer client.Close()
	current, err := client.Configuration(ctx, 0)
	if err != nil {
		return err
	}
	i := slices.Index(c.Options.Layout.DataCentres, name)
	patch := fmt.Sprintf(`[{"op":"replace","path":"/data_centres/%d/out","value":%t}]`, i, out)
	_, err = client.Patch(ctx, api.PatchRequest{ID: uuid.NewString(), Base: current.Number, Type: "json-patch", Patch: []byte(patch)})
	return err
}

func setOutage(on bool) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.Outage = on })
		return nil
	}
}

func killHost(_ context.Context, c *Cluster) error {
	c.Hosts[0].Kill()
	return nil
}

func startHost(_ context.Context, c *Cluster) error {
	return c.Hosts[0].Start()
}
