package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
	"github.com/marigoldlever/marigoldlever/internal/trial/history"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// stopBound is how long new work may arrive after a data centre was taken out or
// an upstream began to leave (R4 and R8).
const stopBound = 3 * time.Second

// afterBound is how long the load goes on after such an event: long enough that
// work after the bound would be seen.
const afterBound = stopBound + 1500*time.Millisecond

// setFaults sets the faults of every upstream.
func (c *Cluster) setFaults(t *testing.T, f upstreamstandin.Faults) {
	t.Helper()
	for _, centre := range c.Upstreams {
		if err := centre.SetFaults("*", f); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards R1, R2 and R5 (one snapshot, true coverage, the whole answer to one's own
// request) against bad replies, new index versions and a partition that moves, all
// while queries run.
func TestAnswersAreWholeAndTrue(t *testing.T) {
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = quickHosts })
	snapshot := uint64(firstSnapshot)
	publish := func(f *traffic) {
		for range 4 {
			snapshot++
			for _, centre := range c.Upstreams {
				centre.Publish(snapshot, 300*time.Millisecond)
			}
			f.awaitAnswers(t, 100)
		}
	}
	bad := upstreamstandin.Faults{
		LostShare: 0.02, BrokenShare: 0.02, CrossedShare: 0.05, LateShare: 0.01, LateMS: 50, ShedShare: 0.02,
		StragglerShare: 0.02, StragglerFactor: 20,
	}
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"bad replies and stragglers", func(t *testing.T, f *traffic) {
			c.setFaults(t, bad)
			f.awaitAnswers(t, 400)
		}},
		{"index versions published", func(_ *testing.T, f *traffic) { publish(f) }},
		{"partition moves", func(t *testing.T, f *traffic) {
			c.moveBoundary(t, 0xa<<60)
			f.awaitAnswers(t, 200)
			c.moveBoundary(t, 0xc<<60)
		}},
		{"index versions published, partition moves, bad replies", func(t *testing.T, f *traffic) {
			c.setFaults(t, bad)
			c.moveBoundary(t, 0xb<<60)
			publish(f)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := startTraffic(t, c, 2, 0)
			f.awaitAnswers(t, 100)
			test.do(t, f)
			f.awaitAnswers(t, 100)
			c.setFaults(t, upstreamstandin.Faults{})
			awaitMore(t, "whole answers", 100, f.wholeAnswers)
			f.stop()
			f.check(t)
		})
	}
}

// wholeAnswers counts the answers with all of the data.
func (f *traffic) wholeAnswers() int {
	n := 0
	for _, a := range f.answers.Entries() {
		if a.Answer.Coverage.Complete {
			n++
		}
	}
	return n
}

// moveBoundary moves the boundary between the third and the fourth service: first
// the upstreams move it, one after the other, then the operators state it.
func (c *Cluster) moveBoundary(t *testing.T, boundary uint64) {
	t.Helper()
	third, fourth := upstream.HashRange{Start: 8 << 60, End: boundary}, upstream.HashRange{Start: boundary}
	for _, centre := range c.Upstreams {
		for _, id := range centre.Replicas() {
			var err error
			switch id[:min(len(id), len("tickets-03"))] {
			case "tickets-03":
				err = centre.SetPartition(upstreamstandin.Selector(id), third)
			case "tickets-04":
				err = centre.SetPartition(upstreamstandin.Selector(id), fourth)
			}
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(callPause)
		}
	}
	patch := fmt.Sprintf(`[{"op":"replace","path":"/groups/0/services/2/partition","value":%s},`+
		`{"op":"replace","path":"/groups/0/services/3/partition","value":%s}]`, rangeJSON(third), rangeJSON(fourth))
	c.patch(t, patch)
}

func rangeJSON(r upstream.HashRange) string {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // two numbers can always be encoded
	}
	return string(encoded)
}

// patch makes a JSON patch on the current configuration.
func (c *Cluster) patch(t *testing.T, patch string) uint64 {
	t.Helper()
	client := api.NewClient(c.Hosts[0].Settings.Host.CallerAddress, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	current, err := client.Configuration(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := client.Patch(ctx, api.PatchRequest{ID: uuid.NewString(), Base: current.Number, Type: "json-patch", Patch: []byte(patch)})
	if err != nil {
		t.Fatal(err)
	}
	return answer.Number
}

// Guards R3 against upstreams that restart cold without warning, alone, together
// with a killed host and during an outage of the platform. The two-host data
// centre goes on serving when one host is killed during the outage.
func TestUpstreamsAreNotOverloaded(t *testing.T) {
	l := smallLayout("east", "west")
	for i := range l.Contracts {
		// Long enough for the load to warm an upstream, which takes 50 requests.
		l.Contracts[i].ColdStepTime = "5 second"
	}
	c := start(t, l, func(o *Options) { o.Settings, o.Work = quickHosts, busyWork })
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"restart cold", func(t *testing.T, f *traffic) { c.restartCold(t, "east") }},
		{"restart cold, host killed", func(t *testing.T, f *traffic) {
			c.Host("west-1").Kill()
			c.restartCold(t, "west")
			f.awaitAnswers(t, 100)
			if err := c.Host("west-1").Start(); err != nil {
				t.Fatal(err)
			}
		}},
		{"platform outage, host killed, restart cold", func(t *testing.T, f *traffic) {
			c.Platform.SetFaults(outageFaults)
			c.Host("east-2").Kill()
			c.awaitServed(t, "east")
			c.restartCold(t, "east")
			c.awaitServed(t, "east")
			c.Platform.SetFaults(healthyFaults)
			if err := c.Host("east-2").Start(); err != nil {
				t.Fatal(err)
			}
		}},
	}
	coldStarts := 0
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := startTraffic(t, c, 3, 1)
			coldStarts++
			f.coldStarts = coldStarts
			f.awaitAnswers(t, 100)
			test.do(t, f)
			f.awaitAnswers(t, 200)
			f.stop()
			f.check(t)
			f.checkLoad(t)
		})
	}
}

func (c *Cluster) restartCold(t *testing.T, centre string) {
	t.Helper()
	if err := c.Upstreams[centre].Restart("*"); err != nil {
		t.Fatal(err)
	}
}

// awaitServed waits until the upstreams of a data centre have served some more.
func (c *Cluster) awaitServed(t *testing.T, centre string) {
	t.Helper()
	awaitMore(t, "requests served in "+centre, 100, func() int {
		n := 0
		for _, r := range c.Upstreams[centre].Record().Replicas {
			n += int(r.Served)
		}
		return n
	})
}

// Guards R8 and R4: no new work 3 s after an upstream began to leave, in each way
// of leaving, or after a data centre was taken out; work comes back afterwards.
func TestNoWorkAfterLeaving(t *testing.T) { testNoWorkAfter(t, "leaves quietly", "data centre out") }

// Guards R8 against upstreams that say themselves that they leave.
func TestNoWorkAfterDraining(t *testing.T) { testNoWorkAfter(t, "reports that it drains", "refuses") }

func testNoWorkAfter(t *testing.T, names ...string) {
	t.Helper()
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = quickHosts })
	leave := func(mode upstreamstandin.LeaveMode) func(t *testing.T, f *traffic) {
		return func(t *testing.T, f *traffic) {
			// Only the host list tells of an upstream that leaves quietly.
			listed := mode == upstreamstandin.LeaveQuiet
			c.leave(t, "east", "tickets-01-1", mode, listed)
			time.Sleep(afterBound)
			c.leave(t, "east", "tickets-01-1", upstreamstandin.LeaveNot, false)
			if !listed {
				// An incarnation that said that it drains stays closed for good.
				c.restartCold(t, "east")
				f.coldStarts++
			}
			c.awaitRequests(t, "east", "tickets-01-1")
		}
	}
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"leaves quietly", leave(upstreamstandin.LeaveQuiet)},
		{"reports that it drains", leave(upstreamstandin.LeaveReport)},
		{"refuses", leave(upstreamstandin.LeaveRefuse)},
		{"data centre out", func(t *testing.T, f *traffic) {
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			if err := centreOut(ctx, c); err != nil {
				t.Fatal(err)
			}
			time.Sleep(afterBound)
			if err := centreIn(ctx, c); err != nil {
				t.Fatal(err)
			}
			c.awaitServed(t, "east")
		}},
	}
	coldStarts := 0
	for _, test := range cases {
		if !slices.Contains(names, test.name) {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			f := startTraffic(t, c, 2, 1)
			f.coldStarts = coldStarts
			f.awaitAnswers(t, 100)
			test.do(t, f)
			coldStarts = f.coldStarts
			f.stop()
			f.check(t)
			f.checkLoad(t)
			report(t, history.CheckWorkStops(c.Records(), stopBound))
		})
	}
}

func (c *Cluster) leave(t *testing.T, centre, replica string, mode upstreamstandin.LeaveMode, listed bool) {
	t.Helper()
	c.Platform.SetHost(objectstore.Host{ID: replica, Role: objectstore.RoleUpstream, DataCentre: centre, Leaving: listed})
	if err := c.Upstreams[centre].Leave(upstreamstandin.Selector(replica), mode); err != nil {
		t.Fatal(err)
	}
}

// awaitRequests waits until a replica gets work again.
func (c *Cluster) awaitRequests(t *testing.T, centre, replica string) {
	t.Helper()
	awaitMore(t, "requests to "+replica, 20, func() int {
		for _, r := range c.Upstreams[centre].Record().Replicas {
			if r.Replica == replica {
				return int(r.Requests)
			}
		}
		return 0
	})
}
