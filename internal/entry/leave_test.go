package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// askAndEndSide sends a request, ends the sending side of the connection while the replicas
// work, and returns what comes back until the connection ends.
func askAndEndSide(t *testing.T, address, method, path string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", method, path, lastRequestID.Add(1))
	time.Sleep(50 * time.Millisecond)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// Guards against an empty success for a caller that ends only its sending side: a request
// whose handler writes no answer must end its connection.
func TestCallerThatEndsItsSideGetsNoSuccess(t *testing.T) {
	slow := func(s *shard) func(*http.Request, string) string {
		return func(r *http.Request, body string) string {
			time.Sleep(300 * time.Millisecond)
			return s.part(r, body)
		}
	}
	weak, strong := newPair(t)
	for _, s := range weak.shards {
		s.reply = slow(s)
	}
	runPair(t, weak, strong)
	for _, c := range []struct{ name, method, path string }{
		{"repeatable", "GET", "/one/x"}, {"at most once", "POST", "/once/x"}, {"given to a stronger host", "GET", "/scatter/x"},
	} {
		if text := askAndEndSide(t, weak.address, c.method, c.path); text != "" {
			t.Errorf("%s: the caller got %q", c.name, text[:min(len(text), 40)])
		}
	}
	if text := askAndEndSide(t, strong.address, "GET", "/scatter/x"); text != "" {
		t.Errorf("over shards: the caller got %q", text[:min(len(text), 40)])
	}
	if text := askAndEndSide(t, weak.address, "GET", "/nowhere/"); !strings.HasPrefix(text, "HTTP/1.1 404") {
		t.Errorf("a request that was answered at once got %q", text)
	}
	if strong.counter("offload.taken") == 0 {
		t.Error("no request was given to the stronger host")
	}
}
