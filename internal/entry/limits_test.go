package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against configured limits that take effect only after a restart, or whose
// change closes connections in use.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	tr := startTier(t, 1)
	kept := tr.mustAsk(t, "GET", "/one/x", "")
	if kept.status != http.StatusOK {
		t.Fatalf("status is %d", kept.status)
	}
	changed := testTable(7, []string{"shard-000"})
	changed.Limits = routing.Limits{HeaderBytes: 512, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: changed})
	time.Sleep(200 * time.Millisecond)
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
		t.Errorf("status on a kept connection is %d, want 200", g.status)
	}
	request, err := http.NewRequest("GET", "http://"+tr.address+"/one/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Long", strings.Repeat("x", 20<<10))
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status with 20 KiB of headers is %d, want 431", response.StatusCode)
	}
}

// keptConn is a caller's connection that is kept.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (tr *tier) keepConn(t *testing.T) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", tr.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &keptConn{c, bufio.NewReader(c)}
}

// status sends a request with a header of about the given size and returns the status of the
// answer, 0 if the connection ended.
func (c *keptConn) status(headerBytes int) int {
	fmt.Fprintf(c, "GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 2000\r\nX-Long: %s\r\n\r\n", lastRequestID.Add(1), strings.Repeat("x", headerBytes))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// setLimits puts a version with limits in force.
func (tr *tier) setLimits(t *testing.T, version uint64, limits routing.Limits) {
	t.Helper()
	changed := testTable(version, []string{"shard-000"})
	limits.BodyBytes = 1000
	changed.Limits = limits
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: changed})
	time.Sleep(200 * time.Millisecond)
}

// Guards against a connection that keeps the limits of the version under which it was opened.
func TestLimitsApplyToKeptConnections(t *testing.T) {
	tr := startTier(t, 1)
	const small, large = 1 << 10, 12 << 10
	limits := routing.Limits{HeaderBytes: small * 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	tr.setLimits(t, 7, limits)
	raised, lowered, waiting := tr.keepConn(t), tr.keepConn(t), tr.keepConn(t)
	for _, c := range []*keptConn{raised, lowered, waiting} {
		if got := c.status(small); got != http.StatusOK {
			t.Fatalf("status before the change is %d", got)
		}
	}
	limits.HeaderBytes = large * 2
	tr.setLimits(t, 8, limits)
	if got := raised.status(large); got != http.StatusOK {
		t.Errorf("raised: status of a kept connection is %d, want 200", got)
	}
	limits.HeaderBytes, limits.HeaderTimeout, limits.IdleTimeout = small*2, 50*time.Millisecond, 100*time.Millisecond
	tr.setLimits(t, 9, limits)
	if got := lowered.status(large); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("lowered: status of a kept connection is %d, want 431", got)
	}
	slow := tr.keepConn(t)
	fmt.Fprint(slow, "GET /one/x HTTP/1.1\r\n")
	for name, c := range map[string]*keptConn{"header timeout": slow, "idle timeout": waiting} {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
		if _, err := c.reader.ReadByte(); err == nil || isTimeout(err) {
			t.Errorf("%s: the connection is open after it was lowered: %v", name, err)
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
