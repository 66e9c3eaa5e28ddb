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

// workStopBound is the time after which no new work may arrive at a data centre that
// was taken out of service or an upstream that began to leave (R4 and R8).
const workStopBound = 3 * time.Second

// observationTime is the time for which the load continues after such an event. It
// exceeds workStopBound so that later work is recorded.
const observationTime = workStopBound + 1500*time.Millisecond

// setFaults sets the faults of all upstreams.
func (c *Cluster) setFaults(t *testing.T, f upstreamstandin.Faults) {
	t.Helper()
	for _, centre := range c.Upstreams {
		if err := centre.SetFaults("*", f); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards R1, R2 and R5 (one snapshot, correct coverage, complete replies to the
// caller's own request) against bad replies, new index versions and a moved
// partition boundary while queries run.
func TestAnswersAreWholeAndTrue(t *testing.T) {
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = shortPlatformTimeout })
	snapshot := uint64(initialSnapshot)
	publish := func(f *traffic) {
		for range 4 {
			snapshot++
			for _, centre := range c.Upstreams {
				centre.Publish(snapshot, 300*time.Millisecond)
			}
			f.awaitAnswers(t, 100)
		}
	}
	badReplies := upstreamstandin.Faults{
		LostShare: 0.02, BrokenShare: 0.02, CrossedShare: 0.05, LateShare: 0.01, LateMS: 50, ShedShare: 0.02,
		StragglerShare: 0.02, StragglerFactor: 20,
	}
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"bad replies and stragglers", func(t *testing.T, f *traffic) {
			c.setFaults(t, badReplies)
			f.awaitAnswers(t, 400)
		}},
		{"index versions published", func(_ *testing.T, f *traffic) { publish(f) }},
		{"partition moves", func(t *testing.T, f *traffic) {
			c.moveBoundary(t, 0xa<<60)
			f.awaitAnswers(t, 200)
			c.moveBoundary(t, 0xc<<60)
		}},
		{"index versions published, partition moves, bad replies", func(t *testing.T, f *traffic) {
			c.setFaults(t, badReplies)
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
			awaitIncrease(t, "complete answers", 100, f.completeAnswers)
			f.stop()
			f.check(t)
		})
	}
}

// completeAnswers returns the number of answers with full coverage.
func (f *traffic) completeAnswers() int {
	n := 0
	for _, a := range f.answers.Entries() {
		if a.Answer.Coverage.Complete {
			n++
		}
	}
	return n
}

// moveBoundary moves the partition boundary between the third and the fourth search
// service, first in one upstream after the other, then in the configuration.
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
			time.Sleep(callInterval)
		}
	}
	patch := fmt.Sprintf(`[{"op":"replace","path":"/groups/0/services/2/partition","value":%s},`+
		`{"op":"replace","path":"/groups/0/services/3/partition","value":%s}]`, rangeJSON(third), rangeJSON(fourth))
	c.patch(t, patch)
}

func rangeJSON(r upstream.HashRange) string {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // a HashRange always encodes
	}
	return string(encoded)
}

// patch applies a JSON patch to the current configuration and returns the number of
// the new one.
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

// Guards R3 against upstreams that restart cold without notice: alone, together with
// a killed host, and during a platform outage. A data centre of two hosts must keep
// serving when one of them is killed during the outage.
func TestUpstreamsAreNotOverloaded(t *testing.T) {
	l := smallLayout("east", "west")
	for i := range l.Contracts {
		// Long enough for the load to warm an upstream up, which takes 50 requests.
		l.Contracts[i].ColdStepTime = "5 second"
	}
	c := start(t, l, func(o *Options) { o.Settings, o.WorkTime = shortPlatformTimeout, busyWork })
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
			c.Platform.SetFaults(platformOutage)
			c.Host("east-2").Kill()
			c.awaitServed(t, "east")
			c.restartCold(t, "east")
			c.awaitServed(t, "east")
			c.Platform.SetFaults(noPlatformFaults)
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

// awaitServed waits until the upstreams of a data centre have served 100 more
// requests.
func (c *Cluster) awaitServed(t *testing.T, centre string) {
	t.Helper()
	awaitIncrease(t, "requests served in "+centre, 100, func() int {
		n := 0
		for _, r := range c.Upstreams[centre].Record().Replicas {
			n += int(r.Served)
		}
		return n
	})
}

// Guards R8 and R4: an upstream that only the host list marks as leaving, and a data
// centre that is taken out of service, get no new work after 3 s. Work resumes when
// they are back.
func TestNoWorkAfterLeaving(t *testing.T) { testWorkStops(t, "leaves quietly", "data centre out") }

// Guards R8 against upstreams that announce themselves that they leave: they report
// draining or refuse new work.
func TestNoWorkAfterDraining(t *testing.T) { testWorkStops(t, "reports that it drains", "refuses") }

func testWorkStops(t *testing.T, names ...string) {
	t.Helper()
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = shortPlatformTimeout })
	leave := func(mode upstreamstandin.LeaveMode) func(t *testing.T, f *traffic) {
		return func(t *testing.T, f *traffic) {
			// Only the host list shows that a quiet upstream leaves.
			listed := mode == upstreamstandin.LeaveQuiet
			c.leave(t, "east", "tickets-01-1", mode, listed)
			time.Sleep(observationTime)
			c.leave(t, "east", "tickets-01-1", upstreamstandin.LeaveNone, false)
			if !listed {
				// An incarnation that announced that it drains gets no work again.
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
			if err := takeDataCentreOut(ctx, c); err != nil {
				t.Fatal(err)
			}
			time.Sleep(observationTime)
			if err := bringDataCentreIn(ctx, c); err != nil {
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
			reportViolations(t, history.CheckWorkStops(c.Records(), workStopBound))
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

// awaitRequests waits until a replica has received 20 more requests.
func (c *Cluster) awaitRequests(t *testing.T, centre, replica string) {
	t.Helper()
	awaitIncrease(t, "requests to "+replica, 20, func() int {
		for _, r := range c.Upstreams[centre].Record().Replicas {
			if r.Replica == replica {
				return int(r.Requests)
			}
		}
		return 0
	})
}
