package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/replicas"
)

// withHeader returns a reply function that adds a header line to the replies of another.
func withHeader(reply func(*http.Request, string) string, line string) func(*http.Request, string) string {
	return func(r *http.Request, body string) string {
		return strings.Replace(reply(r, body), "\r\n", "\r\n"+line+"\r\n", 1)
	}
}

// register changes the registration of a replica.
func (tr *tier) register(s *shard, change func(*replicas.Replica)) {
	registration := s.registration()
	change(&registration)
	tr.registry.put(follow.Item[replicas.Replica]{Name: s.id, Value: registration})
}

// Guards against new work for a replica that said in any of its answers that it is
// leaving, while its registration still says ready, and against doing without its
// answer.
func TestReplicaThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	for name, reply := range map[string]func(*shard) func(*http.Request, string) string{
		"answer":  func(s *shard) func(*http.Request, string) string { return s.part },
		"refusal": func(*shard) func(*http.Request, string) string { return refuseReply },
		"failure": func(s *shard) func(*http.Request, string) string {
			return func(r *http.Request, body string) string {
				return strings.Replace(s.part(r, body), "200 OK", "500 Internal Server Error", 1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := startTier(t, 1)
			leaving := tr.shards[0]
			tr.mustAsk(t, "GET", "/one/x", "")
			leaving.reply = withHeader(reply(leaving), "Server-Leaving: 1")
			tr.mustAsk(t, "GET", "/one/x", "")
			other := tr.addReplica(t, "shard-000", "replica-b")
			other.reply = func(r *http.Request, body string) string {
				time.Sleep(5 * time.Millisecond) // so that the other replica would be preferred
				return other.part(r, body)
			}
			tr.register(leaving, func(r *replicas.Replica) { r.Slots = 3 }) // a change that still says ready
			time.Sleep(100 * time.Millisecond)
			before := leaving.requests.Load()
			for range 50 {
				if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
					t.Fatalf("answer is %d %q", g.status, g.body)
				}
			}
			if n := leaving.requests.Load() - before; n != 0 {
				t.Errorf("the replica that is leaving got %d of 50 requests", n)
			}
		})
	}
}

// Guards against a request that is held or sent although all replicas that could serve
// it said that they are leaving: it is refused at once, and has not run.
func TestRequestIsRefusedWhenAllReplicasLeave(t *testing.T) {
	tr := startTier(t, 1)
	tr.shards[0].reply = withHeader(tr.shards[0].part, "Server-Leaving: 1")
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
		t.Fatalf("the answer that says so is %d %q, want 200", g.status, g.body)
	}
	for _, path := range []string{"/one/x", "/once/x", "/scatter/x"} {
		began := time.Now()
		g := tr.mustAsk(t, "GET", path, "")
		if g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
			t.Errorf("%s: answer is %d, Retry-After %q, want 503 with a time", path, g.status, g.header.Get("Retry-After"))
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: the request was held for %v", path, took)
		}
	}
	if n := tr.shards[0].requests.Load(); n != 1 {
		t.Errorf("the replica got %d requests, want 1", n)
	}
}

// pausing is a reply function of a replica that refuses requests with a Retry-After time
// while it is set.
type pausing struct {
	text atomic.Pointer[string]
	next func(*http.Request, string) string
}

func (p *pausing) reply(r *http.Request, body string) string {
	if text := p.text.Load(); text != nil {
		return withHeader(refuseReply, "Retry-After: "+*text)(r, body)
	}
	return p.next(r, body)
}

// Guards against requests to a replica that asked for a pause, and against keeping it out
// of use afterwards. The other replica serves all requests meanwhile.
func TestPausedReplicaGetsNoRequests(t *testing.T) {
	tr := startTier(t, 1)
	first, other := tr.shards[0], tr.addReplica(t, "shard-000", "replica-b")
	pause, text := &pausing{next: first.part}, "1.5"
	first.reply = pause.reply
	pause.text.Store(&text)
	for n := 0; first.requests.Load() == 0; n++ {
		if n == 1000 {
			t.Fatal("the replica got no request")
		}
		tr.mustAsk(t, "GET", "/one/x", "")
	}
	began := time.Now()
	pause.text.Store(nil)
	before := other.requests.Load()
	asked := 0
	for time.Since(began) < 1200*time.Millisecond {
		if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
			t.Fatalf("answer is %d %q", g.status, g.body)
		}
		asked++
		time.Sleep(5 * time.Millisecond)
	}
	if n := first.requests.Load(); n != 1 || other.requests.Load()-before != int64(asked) {
		t.Errorf("the paused replica got %d requests, want 1; the other got %d of %d", n, other.requests.Load()-before, asked)
	}
	other.reply = closeConnection
	for deadline := time.Now().Add(5 * time.Second); first.requests.Load() == 1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the replica got no request after its pause")
		}
		tr.mustAsk(t, "GET", "/one/x", "")
	}
}

// Guards against a request that is held, sent, or refused with a useless time while all
// replicas that could serve it are paused.
func TestRequestIsRefusedWhileAllReplicasPause(t *testing.T) {
	tr := startTier(t, 4)
	text := "30"
	for _, s := range tr.shards[:2] { // half of the shards; three quarters are needed
		pause := &pausing{next: s.part}
		pause.text.Store(&text)
		s.reply = pause.reply
	}
	tr.mustAsk(t, "GET", "/scatter/x", "")
	waitForPauses(t, tr, 2)
	sent := tr.shards[2].requests.Load()
	for _, path := range []string{"/scatter/x", "/one/x", "/once/x"} {
		began := time.Now()
		g := tr.mustAsk(t, "GET", path, "")
		seconds, err := strconv.ParseFloat(g.header.Get("Retry-After"), 64)
		if g.status != http.StatusServiceUnavailable || err != nil || seconds < 20 || seconds > 30 {
			t.Errorf("%s: answer is %d, Retry-After %q, want 503 with the rest of 30 s", path, g.status, g.header.Get("Retry-After"))
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: the request was held for %v", path, took)
		}
	}
	if tr.shards[0].requests.Load() != 1 || tr.shards[1].requests.Load() != 1 || tr.shards[2].requests.Load() != sent {
		t.Error("replicas got requests that could not be answered")
	}
}

// waitForPauses waits until the host has recorded n pauses.
func waitForPauses(t *testing.T, tr *tier, n int64) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if got := tr.counter("replicas.pauses"); got >= n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d pauses are recorded, want %d", tr.counter("replicas.pauses"), n)
		}
	}
}

// Guards against a pause that is one shard's and costs the whole answer although enough
// other shards can answer.
func TestPausedShardIsReportedMissing(t *testing.T) {
	tr := startTier(t, 4)
	text := "30"
	pause := &pausing{next: tr.shards[0].part}
	pause.text.Store(&text)
	tr.shards[0].reply = pause.reply
	for n := range 3 {
		g := tr.mustAsk(t, "GET", "/scatter/x", "")
		if g.status != http.StatusOK || g.header.Get("X-Missing-Parts") != "1" {
			t.Errorf("request %d: answer is %d with %s missing parts, want 200 with 1", n, g.status, g.header.Get("X-Missing-Parts"))
		}
	}
	if n := tr.shards[0].requests.Load(); n != 1 {
		t.Errorf("the paused replica got %d requests, want 1", n)
	}
}

// Guards against a host that obeys a nonsensical pause, or fails on it.
func TestMalformedPauseIsNoPause(t *testing.T) {
	for _, text := range []string{"-5", "soon", "NaN", "1e", ""} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			tr := startTier(t, 1)
			pause := &pausing{next: tr.shards[0].part}
			pause.text.Store(&text)
			tr.shards[0].reply = pause.reply
			if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusServiceUnavailable {
				t.Fatalf("status is %d, want 503", g.status)
			}
			pause.text.Store(nil)
			if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
				t.Errorf("status is %d after a pause that can't be decoded, want 200", g.status)
			}
		})
	}
}
