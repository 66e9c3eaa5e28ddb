package exchange_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// wholeReplies are replies with an empty body, one for each framing.
var wholeReplies = []string{
	"HTTP/1.1 200 OK\r\nId: %s\r\nSignature: stamp.of.this.replica\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nId: %s\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: %s\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\n\r\n",
	"HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n",
}

// startCutting starts a stand-in for a replica that sends a part of a whole reply and closes
// the connection. The id of each request names the reply and the number of bytes.
func startCutting(t *testing.T) *replica {
	t.Helper()
	return startWriting(t, func(c net.Conn, id string) {
		var reply, bytes int
		if _, err := fmt.Sscanf(id, "%d-%d", &reply, &bytes); err == nil {
			_, _ = c.Write([]byte(fmt.Sprintf(wholeReplies[reply], id)[:bytes]))
		}
	})
}

// Guards against a reply whose replica stopped in the middle of its head and that counts as
// whole: a caller got its status with an empty body.
func TestReplyCutInItsHeadIsNoReply(t *testing.T) {
	rep := startCutting(t)
	pool := newPool(1000)
	for n, whole := range wholeReplies {
		for cut := 0; ; cut++ {
			id := fmt.Sprintf("%d-%d", n, cut)
			text := fmt.Sprintf(whole, id)
			if cut >= len(text) {
				break
			}
			reply, err := pool.Do(context.Background(), rep.call(id, 5*time.Second))
			if err == nil || upstream.NotRun(err) {
				t.Errorf("%q and the end of the connection: reply is %d %q, %v; want an error that does not rule out that the request ran", text[:cut], reply.Status, reply.Body, err)
			}
		}
	}
}
