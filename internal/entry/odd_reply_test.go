package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an odd status of a replica that a caller gets as its answer, and against a
// promise that the request has not run: from the replica of a route, from a part, and from a
// part that a stronger host merges.
func TestCallersGetNoOddStatus(t *testing.T) {
	weak, strong := newPair(t)
	var status atomic.Value // of all replies; attempts of one request may still run during the next
	for _, s := range weak.shards {
		s.reply = func(r *http.Request, body string) string {
			inside := s.part(r, body)
			return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: s\r\nX-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n%s",
				status.Load(), r.Header.Get("X-Request-Id"), len(inside), inside)
		}
	}
	status.Store("200 OK")
	runPair(t, weak, strong)
	for _, line := range []string{"000 None", "199 Odd", "600 Above", "999 Above"} {
		status.Store(line)
		for _, target := range []string{"GET /one/x", "POST /once/x", "GET /scatter/x"} {
			method, path, _ := strings.Cut(target, " ")
			g := weak.mustAsk(t, method, path, "body")
			if g.status != http.StatusBadGateway && g.status != http.StatusGatewayTimeout {
				t.Errorf("%s with status %q: the caller got %d %q, want 502 or 504", target, line, g.status, g.body)
			}
		}
	}
}
