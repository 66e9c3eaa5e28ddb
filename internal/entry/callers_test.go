package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// startBody sends a request to /once/ whose body lacks its last byte.
func (c *keptConn) startBody(deadline time.Duration, bytes int) {
	fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: part-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		lastRequestID.Add(1), deadline.Milliseconds(), bytes, strings.Repeat("b", bytes-1))
}

// refusal reads an answer, which must be the last one on its connection.
func (c *keptConn) refusal(t *testing.T) (status int, header http.Header) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if !response.Close {
		t.Error("the connection is kept after a body that was not read")
	}
	return response.StatusCode, response.Header
}

// Guards against a request whose body never ends that is kept past its deadline, and against
// sending it to a replica.
func TestBodyThatIsLateIsRefused(t *testing.T) {
	tr := startTier(t, 1)
	const deadline = 300 * time.Millisecond
	for _, size := range []int{10, 900} {
		c := tr.keepConn(t)
		began := time.Now()
		c.startBody(deadline, size)
		if status, _ := c.refusal(t); status != http.StatusRequestTimeout || time.Since(began) < deadline {
			t.Errorf("the answer after %v is %d, want 408 at the deadline", time.Since(began), status)
		}
	}
	if n := tr.shards[0].requests.Load(); n != 0 {
		t.Errorf("the replica got %d requests, want none", n)
	}
}

// Guards against incomplete bodies that keep all memory for bodies: the one that has been
// incomplete for longest is refused, and another large body finds memory.
func TestIncompleteBodyGivesItsMemoryBack(t *testing.T) {
	const memoryMB, bodyBytes, held = 2, 60 << 10, 3 // room for 128 KB
	tr := newTier(t, 1)
	tr.memoryMB, tr.bodyLimit = memoryMB, 1<<20
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	var incomplete []*keptConn
	for range held {
		c := tr.keepConn(t)
		c.startBody(2*time.Second, bodyBytes)
		incomplete = append(incomplete, c)
		time.Sleep(50 * time.Millisecond)
	}
	status := 0
	for deadline := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		status = tr.mustAsk(t, "POST", "/once/x", strings.Repeat("b", bodyBytes)).status
	}
	if status != http.StatusOK {
		t.Errorf("a large body beside incomplete ones got %d", status)
	}
	for i, c := range incomplete {
		status, header := c.refusal(t)
		if status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
			t.Errorf("request %d was refused without a time to come back", i)
		}
		if status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout {
			t.Errorf("request %d got %d", i, status)
		}
	}
	if n := tr.shards[0].requests.Load(); n != 1 {
		t.Errorf("the replica got %d requests, want 1", n)
	}
}
