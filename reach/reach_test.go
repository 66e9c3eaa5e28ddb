package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/reach"
)

var (
	config = reach.Config{MinSilentReplicas: 3, MinSilence: 200 * time.Millisecond, ProbeInterval: 400 * time.Millisecond}
	start  = time.Unix(1000, 0)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// trackerWithSilentReplicas returns a tracker with n replicas of lahore-a that got a
// request and have not replied.
func trackerWithSilentReplicas(n int) *reach.Tracker {
	t := reach.New(config)
	for i := range n {
		t.RequestSent(at(0), "lahore-a", fmt.Sprint("r", i))
	}
	return t
}

func isUnreachable(t *reach.Tracker) bool { return slices.Contains(t.Unreachable(), "lahore-a") }

func anyUnreachable(t *reach.Tracker) bool {
	_, out := t.UnreachableSince()
	return out
}

// Guards against a data centre that is marked unreachable because single replicas pause.
func TestFewSilentReplicasAreNoOutage(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas - 1)
	if got := tr.Tick(at(5000)); len(got) != 0 || isUnreachable(tr) {
		t.Errorf("changes are %v with only %d silent replicas, want none", got, config.MinSilentReplicas-1)
	}
}

// Guards against callers that wait for replicas in a data centre that can't be reached.
func TestManySilentReplicasMakeDataCentreUnreachable(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas)
	if got := tr.Tick(at(150)); len(got) != 0 {
		t.Errorf("changes are %v before MinSilence, want none", got)
	}
	if got := tr.Tick(at(250)); len(got) != 1 || !isUnreachable(tr) || !anyUnreachable(tr) {
		t.Errorf("changes are %v, want lahore-a unreachable", got)
	}
	if got := tr.Tick(at(300)); len(got) != 0 {
		t.Errorf("same change reported again: %v", got)
	}
}

// Guards against a data centre that stays unreachable after an outage of the network.
func TestOneReplyMakesDataCentreReachable(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas)
	tr.Tick(at(250))
	if c, back := tr.ReplyReceived(at(900), "lahore-a"); !back || !c.Reachable || c.Elapsed != 900*time.Millisecond {
		t.Errorf("change is %+v (%t), want lahore-a reachable after 900 ms", c, back)
	}
	if isUnreachable(tr) || anyUnreachable(tr) {
		t.Error("lahore-a is still unreachable")
	}
	if _, back := tr.ReplyReceived(at(901), "lahore-a"); back {
		t.Error("same change reported twice")
	}
}

// Guards against silence that is measured across a reply.
func TestReplyRestartsSilence(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas)
	tr.ReplyReceived(at(100), "lahore-a")
	if got := tr.Tick(at(400)); len(got) != 0 {
		t.Errorf("changes are %v after a reply, want none", got)
	}
}

// Guards against probes that are too frequent or that are never sent.
func TestProbesAreDueAtProbeInterval(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas)
	if got := tr.DueProbes(at(100)); len(got) != 0 {
		t.Errorf("probes of a reachable data centre: %v", got)
	}
	tr.Tick(at(250))
	for _, step := range []struct{ ms, want int }{{250, 1}, {400, 0}, {650, 1}, {700, 0}} {
		if got := tr.DueProbes(at(step.ms)); len(got) != step.want {
			t.Errorf("at %d ms: %d probes are due, want %d", step.ms, len(got), step.want)
		}
	}
}

// Guards against an outage time that restarts with each data centre that becomes
// unreachable: callers would be told to retry too late.
func TestUnreachableSinceIsEarliestOutage(t *testing.T) {
	tr := trackerWithSilentReplicas(config.MinSilentReplicas)
	if _, out := tr.UnreachableSince(); out {
		t.Error("a data centre is unreachable before MinSilence")
	}
	tr.Tick(at(250))
	for i := range config.MinSilentReplicas {
		tr.RequestSent(at(300), "peshawar-a", fmt.Sprint("p", i))
	}
	tr.Tick(at(600))
	if since, out := tr.UnreachableSince(); !out || !since.Equal(at(250)) {
		t.Errorf("unreachable since %v (%t), want %v", since, out, at(250))
	}
	tr.ReplyReceived(at(700), "lahore-a")
	if since, out := tr.UnreachableSince(); !out || !since.Equal(at(600)) {
		t.Errorf("unreachable since %v (%t) after lahore-a is reachable again, want %v", since, out, at(600))
	}
}

// Guards against a data centre that is marked unreachable only because another host can't reach
// it. The host's own check decides, unless a replica has replied since the check began.
func TestReportedDataCentreIsCheckedFirst(t *testing.T) {
	tr := reach.New(config)
	if !tr.ReportedUnreachable(at(0), "lahore-a") {
		t.Error("first report of another host is not checked")
	}
	if tr.ReportedUnreachable(at(100), "lahore-a") {
		t.Error("checked again before the interval")
	}
	if _, out := tr.CheckFailed(at(300), at(0), "lahore-a", config.MinSilentReplicas-1); out {
		t.Error("unreachable although too few replicas were tried")
	}
	tr.ReplyReceived(at(450), "lahore-a")
	if !tr.ReportedUnreachable(at(500), "lahore-a") {
		t.Error("not checked after the interval")
	}
	if _, out := tr.CheckFailed(at(800), at(440), "lahore-a", config.MinSilentReplicas); out {
		t.Error("unreachable although a replica replied during the check")
	}
	if c, out := tr.CheckFailed(at(800), at(500), "lahore-a", config.MinSilentReplicas); !out || !isUnreachable(tr) || c.Elapsed != 300*time.Millisecond {
		t.Errorf("change is %+v (%t), want lahore-a unreachable", c, out)
	}
	if got := tr.Unreachable(); len(got) != 1 || got[0] != "lahore-a" {
		t.Errorf("unreachable data centres are %v, want lahore-a", got)
	}
	if tr.ReportedUnreachable(at(2000), "lahore-a") {
		t.Error("checked while it is unreachable; only probes are expected")
	}
}
