package trial

import (
	"testing"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// lostShare is the share of accepted journal updates whose answers are lost.
const lostShare = 0.3

// Guards R7 and R6 (at most one run per key; answers of not_run and ran are true) in
// complete daemons. Each case injects one fault or two during a load of execute
// requests that are submitted again through other hosts.
func TestExecuteRunsAtMostOnce(t *testing.T) {
	loseAnswers := func(c *Cluster) {
		c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.LoseResponseShare, f.LoseResponsePrefix = lostShare, "journal/" })
	}
	outage := func(on bool) func(*Cluster) {
		return func(c *Cluster) { c.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.Outage = on }) }
	}
	lateWrites := func(c *Cluster) {
		// The delay exceeds the platform timeout of shortPlatformTimeout: an update
		// takes effect after its writer has given up.
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
		steps []func(*Cluster) // each is followed by submissions
	}{
		{"platform answers lost", []func(*Cluster){loseAnswers, healthy}},
		{"platform writes late", []func(*Cluster){lateWrites, healthy}},
		{"platform outage", []func(*Cluster){outage(true), outage(false)}},
		{"host killed", []func(*Cluster){kill, restart}},
		{"bad replies", []func(*Cluster){badReplies, healthy}},
		{"host killed, platform answers lost", []func(*Cluster){loseAnswers, kill, restart}},
		{"bad replies, platform answers lost", []func(*Cluster){badReplies, loseAnswers}},
		{"platform outage, host killed", []func(*Cluster){outage(true), kill, outage(false), restart}},
	}
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = shortPlatformTimeout })
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
			awaitIncrease(t, "submissions that ran", 50, f.ranCount)
			f.stop()
			f.check(t)
		})
	}
}

// ranCount returns the number of submissions that were answered with ran.
func (f *traffic) ranCount() int {
	n := 0
	for _, s := range f.submissions.Entries() {
		if s.Run == api.Ran {
			n++
		}
	}
	return n
}
