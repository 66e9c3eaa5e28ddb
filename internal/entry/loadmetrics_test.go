package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// Guards against reports of load in replicas' replies that don't reach the choice of a replica:
// choices then count as uninformed. That a reported queue is avoided is tested in package query,
// where no time passes between a report and the choice.
func TestReportsOfLoadReachTheChoice(t *testing.T) {
	tr := newTier(t, 1)
	tr.addReplica(t, "shard-000", "replica-b")
	for _, s := range tr.shards {
		s.reply = func(r *http.Request, body string) string {
			return strings.Replace(s.part(r, body), "\r\n", "\r\nX-Replica-Load: 1,0,2,100\r\n", 1)
		}
	}
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	for deadline := time.Now().Add(time.Minute); tr.counter("choices.informed") == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("no choice was informed by a report, %d were not", tr.counter("choices.uninformed"))
		}
		tr.mustAsk(t, "GET", "/one/x", "")
		time.Sleep(5 * time.Millisecond)
	}
}
