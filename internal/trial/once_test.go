package trial

import (
	"testing"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// lostAnswers is the share of accepted journal updates whose answers are lost.
const lostAnswers = 0.3

// Guards R7 and R6 (at most one run per key; not_run and ran are true) over whole
// daemons: each case is a fault, or a pair of faults, during a load of execute
// requests that are sent again through other hosts.
func TestExecuteRunsAtMostOnce(t *testing.T) {
	lostWrites := func(c *Cluster) {
		c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.LoseShare, f.LosePrefix = lostAnswers, "journal/" })
	}
	outage := func(on bool) func(*Cluster) {
		return func(c *Cluster) { c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.Outage = on }) }
	}
	lateWrites := func(c *Cluster) {
		// Longer than the platform timeout of quickHosts: an update takes effect
		// after its writer gave up.
		c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.LateWrites, f.DelayBeforeMS = true, 700 })
	}
	healthy := func(c *Cluster) { c.Platform.SetFaults(platformstandin.Faults{}) }
	kill := func(c *Cluster) { c.Hosts[0].Kill() }
	restart := func(c *Cluster) { _ = c.Hosts[0].Start() }
	replies := func(faults upstreamstandin.Faults) func(*Cluster) {
		return func(c *Cluster) {
			for _, centre := range c.Upstreams {
				_ = centre.SetFaults("*", faults)
			}
		}
	}
	badReplies := replies(upstreamstandin.Faults{LostShare: 0.1, BrokenShare: 0.1, CrossedShare: 0.1, LateShare: 0.02, LateMS: 100, ShedShare: 0.1})
	cases := []struct {
		name  string
		steps []func(*Cluster) // with submissions after each
	}{
		{"platform answers lost", []func(*Cluster){lostWrites, healthy}},
		{"platform answers late", []func(*Cluster){lateWrites, healthy}},
		{"platform outage", []func(*Cluster){outage(true), outage(false)}},
		{"host killed", []func(*Cluster){kill, restart}},
		{"bad replies", []func(*Cluster){badReplies, healthy}},
		{"host killed, platform answers lost", []func(*Cluster){lostWrites, kill, restart}},
		{"bad replies, platform answers lost", []func(*Cluster){badReplies, lostWrites}},
		{"platform outage, host killed", []func(*Cluster){outage(true), kill, outage(false), restart}},
	}
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = quickHosts })
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := startTraffic(t, c, 0, 3)
			f.awaitSubmissions(t, 50)
			for _, step := range test.steps {
				step(c)
				f.awaitSubmissions(t, 80)
			}
			healthy(c)
			replies(upstreamstandin.Faults{})(c)
			awaitMore(t, "results", 50, f.results)
			f.stop()
			f.check(t)
		})
	}
}

// results counts the submissions that ran.
func (f *traffic) results() int {
	n := 0
	for _, s := range f.submissions.Entries() {
		if s.Run == api.Ran {
			n++
		}
	}
	return n
}
