package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/marigoldlever/marigoldlever/internal/explain"
)

// Guards against a wrong command line, or a host without explanations, that looks like an
// answer.
func TestExplain(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request explain.Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || r.URL.Path != explain.Path || request != (explain.Request{Host: "h.example", Path: "/a/b?c=1", Key: "k"}) {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(explain.Report{Host: "front-1", Answer: "sent", Route: "r", Account: "acme"})
	}))
	defer host.Close()
	address := strings.TrimPrefix(host.URL, "http://")
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"explain", "-metrics", address, "-key", "k", "h.example/a/b?c=1"}, ExitOK, "route r, priority 0, account acme"},
		{[]string{"explain", "-metrics", address, "-key", "k", "-o", "json", "h.example/a/b?c=1"}, ExitOK, `"account": "acme"`},
		{[]string{"explain", "-metrics", address, "h.example/other"}, ExitFailed, "explains no requests: status 404"},
		{[]string{"explain", "-metrics", address, "h.example"}, ExitUsage, "is not the host and the path"},
		{[]string{"explain", "h.example/a"}, ExitUsage, "expected -metrics ADDRESS"},
	} {
		var out, errOut bytes.Buffer
		code := Run(t.Context(), c.args, &out, &errOut)
		if text := out.String() + errOut.String(); code != c.code || !strings.Contains(text, c.out) {
			t.Errorf("%v: exit code %d, want %d; output lacks %q:\n%s", c.args, code, c.code, c.out, text)
		}
	}
}
