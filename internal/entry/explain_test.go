package entry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/explain"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// explain asks the host what it would do with a request.
func (tr *tier) explain(t *testing.T, request explain.Request) explain.Report {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	response, err := tr.client.Post("http://"+tr.readiness+explain.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var report explain.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", response.StatusCode, err)
	}
	return report
}

// Guards against an explanation that sends something, or that differs from what the host does
// with a request.
func TestExplanationMatchesTheHost(t *testing.T) {
	tr := newTier(t, 4)
	tr.configuration.items[0].Value.WithAccounts([]routing.Account{{Name: "acme", Keys: []string{"k1"}, Priority: 3, HasPriority: true}})
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	for _, c := range []struct {
		request explain.Request
		answer  string
	}{
		{explain.Request{Host: "h", Path: "/nowhere/"}, "404"},
		{explain.Request{Host: "h", Path: "/scatter/x", Key: "k9"}, "401"},
		{explain.Request{Host: "h", Path: "/scatter/x", Key: "k1"}, "sent to the replica of each service"},
	} {
		if report := tr.explain(t, c.request); !strings.Contains(report.Answer, c.answer) {
			t.Errorf("%+v: answer %q, want one with %q", c.request, report.Answer, c.answer)
		}
	}
	draining := tr.shards[0].registration()
	draining.Draining = true
	tr.registry.put(follow.Item[replicas.Replica]{Name: draining.ID, Value: draining})
	var report explain.Report
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		report = tr.explain(t, explain.Request{Host: "h", Path: "/scatter/x", Key: "k1"})
		if strings.Contains(report.Services[0].Replicas[0].Excluded, "draining") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the draining replica is not told: %+v", report)
		}
	}
	if report.Account != "acme" || report.Priority != 3 || report.Required != 3 || len(report.Services) != 4 || report.Services[1].Replicas[0].Excluded != "" {
		t.Errorf("the report is %+v", report)
	}
	var text bytes.Buffer
	report.Print(&text)
	for _, want := range []string{"account acme", "gets nothing: it is registered as draining", "4 services, of which an answer needs 3"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
	for _, s := range tr.shards {
		if n := s.requests.Load(); n != 0 {
			t.Errorf("a replica got %d requests", n)
		}
	}
}
