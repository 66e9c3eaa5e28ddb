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

func silent(n int) *reach.Tracker {
	t := reach.New(config)
	for i := range n {
		t.RequestSent(at(0), "lahore-a", fmt.Sprint("r", i))
	}
	return t
}

func isOut(t *reach.Tracker) bool { return slices.Contains(t.Unreachable(), "lahore-a") }

func anyOut(t *reach.Tracker) bool {
	_, out := t.UnreachableSince()
	return out
}

// Guards against a data centre that is given up because single replicas pause.
func TestFewSilentReplicasAreNoCut(t *testing.T) {
	tr := silent(config.MinSilentReplicas - 1)
	if got := tr.Tick(at(5000)); len(got) != 0 || isOut(tr) {
		t.Errorf("changes are %v with %d silent replicas, want none", got, config.MinSilentReplicas-1)
	}
}

// Guards against callers that are kept waiting for replicas behind a cut.
func TestSilenceOfManyReplicasIsACut(t *testing.T) {
	tr := silent(config.MinSilentReplicas)
	if got := tr.Tick(at(150)); len(got) != 0 {
		t.Errorf("changes are %v before the silence lasted, want none", got)
	}
	if got := tr.Tick(at(250)); len(got) != 1 || !isOut(tr) || !anyOut(tr) {
		t.Errorf("changes are %v, want lahore-a out of reach", got)
	}
	if got := tr.Tick(at(300)); len(got) != 0 {
		t.Errorf("the same change is reported again: %v", got)
	}
}

// Guards against a data centre that stays out of reach after a cut has healed.
func TestOneReplyEndsACut(t *testing.T) {
	tr := silent(config.MinSilentReplicas)
	tr.Tick(at(250))
	if c, back := tr.ReplyReceived(at(900), "lahore-a"); !back || !c.Reachable || c.Elapsed != 900*time.Millisecond {
		t.Errorf("change is %+v, %v", c, back)
	}
	if isOut(tr) || anyOut(tr) {
		t.Error("lahore-a is still out of reach")
	}
	if _, back := tr.ReplyReceived(at(901), "lahore-a"); back {
		t.Error("the return is reported twice")
	}
}

// Guards against silence that is added up over replies in between.
func TestReplyStartsTheSilenceAnew(t *testing.T) {
	tr := silent(config.MinSilentReplicas)
	tr.ReplyReceived(at(100), "lahore-a")
	if got := tr.Tick(at(400)); len(got) != 0 {
		t.Errorf("changes are %v after a reply, want none", got)
	}
}

// Guards against probes in a storm or none at all.
func TestProbesComeAtTheirInterval(t *testing.T) {
	tr := silent(config.MinSilentReplicas)
	if got := tr.DueProbes(at(100)); len(got) != 0 {
		t.Errorf("probes of a data centre in reach: %v", got)
	}
	tr.Tick(at(250))
	for _, step := range []struct{ ms, want int }{{250, 1}, {400, 0}, {650, 1}, {700, 0}} {
		if got := tr.DueProbes(at(step.ms)); len(got) != step.want {
			t.Errorf("at %d ms %d probes, want %d", step.ms, len(got), step.want)
		}
	}
}

// Guards against a time of the cut that starts again with each data centre that goes
// out of reach: callers would be told to come back too late.
func TestCutIsAsOldAsItsFirstDataCentre(t *testing.T) {
	tr := silent(config.MinSilentReplicas)
	if _, out := tr.UnreachableSince(); out {
		t.Error("a data centre is out of reach before the silence lasted")
	}
	tr.Tick(at(250))
	for i := range config.MinSilentReplicas {
		tr.RequestSent(at(300), "peshawar-a", fmt.Sprint("p", i))
	}
	tr.Tick(at(600))
	if since, out := tr.UnreachableSince(); !out || !since.Equal(at(250)) {
		t.Errorf("out since %v (%t), want %v", since, out, at(250))
	}
	tr.ReplyReceived(at(700), "lahore-a")
	if since, out := tr.UnreachableSince(); !out || !since.Equal(at(600)) {
		t.Errorf("out since %v (%t) after the first is back, want %v", since, out, at(600))
	}
}

// Guards against a data centre that is given up on another host's word: the host's own
// check decides, unless a replica was heard since it began.
func TestDoubtIsCheckedAndOwnReplyWins(t *testing.T) {
	tr := reach.New(config)
	if !tr.ReportedUnreachable(at(0), "lahore-a") {
		t.Error("the first doubt is not checked")
	}
	if tr.ReportedUnreachable(at(100), "lahore-a") {
		t.Error("checked again before the interval")
	}
	if _, out := tr.CheckFailed(at(300), at(0), "lahore-a", config.MinSilentReplicas-1); out {
		t.Error("out of reach although too few replicas were tried")
	}
	tr.ReplyReceived(at(450), "lahore-a")
	if !tr.ReportedUnreachable(at(500), "lahore-a") {
		t.Error("not checked after the interval")
	}
	if _, out := tr.CheckFailed(at(800), at(440), "lahore-a", config.MinSilentReplicas); out {
		t.Error("out of reach although a replica was heard during the check")
	}
	if c, out := tr.CheckFailed(at(800), at(500), "lahore-a", config.MinSilentReplicas); !out || !isOut(tr) || c.Elapsed != 300*time.Millisecond {
		t.Errorf("change is %+v (%t), want lahore-a out of reach", c, out)
	}
	if got := tr.Unreachable(); len(got) != 1 || got[0] != "lahore-a" {
		t.Errorf("out of reach: %v", got)
	}
	if tr.ReportedUnreachable(at(2000), "lahore-a") {
		t.Error("checked while it is out of reach: probes do that")
	}
}
