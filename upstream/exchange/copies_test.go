package exchange_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// copying is a stand-in for a replica that sends a second copy of each reply late: when the
// connection that carried its request carries that id once more.
type copying struct {
	*replica
	mu      sync.Mutex
	sends   map[string]int
	replies map[[2]string]string // the last reply, by connection and id
}

// startCopying starts a stand-in that replies with a head, completed by the id and the number of
// the send, which is also the body.
func startCopying(t *testing.T, head string) *copying {
	t.Helper()
	c := &copying{sends: map[string]int{}, replies: map[[2]string]string{}}
	c.replica = startReplica(t, func(_ int, r *http.Request) string {
		c.mu.Lock()
		defer c.mu.Unlock()
		id := r.Header.Get("Id")
		c.sends[id]++
		key := [2]string{r.RemoteAddr, id}
		copied := c.replies[key]
		c.replies[key] = fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 1\r\n\r\n%d", head, id, c.sends[id])
		return copied + c.replies[key]
	})
	return c
}

// Guards against taking a late second copy of the reply to an earlier send of a request for the
// reply to a later one, when other requests came in between.
func TestReplyToEarlierSendIsNotTakenForLaterOne(t *testing.T) {
	heads := []string{
		"503 Service Unavailable\r\nNot-Run: 1", "429 Too Many Requests\r\nNot-Run: 1", "421 Misdirected Request\r\nNot-Run: 1",
		"408 Request Timeout\r\nNot-Run: 1", "500 Internal Server Error", "504 Gateway Timeout", "200 OK",
	}
	const sends = 4
	for _, head := range heads {
		for _, atMostOnce := range []bool{true, false} {
			for _, between := range []int{0, 1, 2, 20} {
				for _, limit := range []int{1, 3} {
					name := fmt.Sprintf("%.3s,at_most_once=%v,%d_between,limit_%d", head, atMostOnce, between, limit)
					t.Run(name, func(t *testing.T) {
						rep := startCopying(t, head)
						pool := newPool(limit)
						for n := 1; n <= sends; n++ {
							for i := range between {
								if _, err := pool.Do(context.Background(), rep.call(fmt.Sprint("other", n, i), time.Second)); err != nil {
									t.Error(err)
								}
							}
							call := rep.call("request", time.Second)
							call.AtMostOnce = atMostOnce
							reply, err := pool.Do(context.Background(), call)
							if upstream.NotRun(err) || err == nil && string(reply.Body) != fmt.Sprint(n) {
								t.Errorf("send %d got the reply to send %q, %v", n, reply.Body, err)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against taking a reply without an id that is no refusal for the answer to a request, even
// as the first reply of a connection.
func TestReplyWithoutIDIsNoAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable"} {
		rep := startReplica(t, func(int, *http.Request) string {
			return "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody"
		})
		if reply, err := newPool(1).Do(context.Background(), rep.call("a", time.Second)); !errors.Is(err, upstream.ErrMismatch) {
			t.Errorf("%s: reply is %q, %v, want ErrMismatch", status, reply.Body, err)
		}
	}
}

// Guards against opening a connection for a request that is sent again while an idle one that
// has not carried it would do.
func TestRepeatedRequestTakesAnotherIdleConnection(t *testing.T) {
	both := make(chan struct{}, 2)
	rep := startReplica(t, func(_ int, r *http.Request) string {
		if strings.HasPrefix(r.Header.Get("Id"), "first") {
			both <- struct{}{}
			for len(both) < cap(both) {
				time.Sleep(time.Millisecond)
			}
		}
		return answer(r, "body")
	})
	pool := newPool(5)
	var group sync.WaitGroup
	for _, id := range []string{"first a", "first b"} {
		group.Go(func() {
			if _, err := pool.Do(context.Background(), rep.call(id, 5*time.Second)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	for range 2 {
		if _, err := pool.Do(context.Background(), rep.call("repeated", time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if n := rep.accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// Guards against memory for the ids of requests that grows as long as a connection lives, and
// against a request that is lost when its connection has reached the bound.
func TestConnectionCarriesBoundedNumberOfRequests(t *testing.T) {
	const perConnection = 512
	const requests = 2*perConnection + 1
	rep := startReplica(t, func(_ int, r *http.Request) string { return answer(r, "body") })
	pool := newPool(1)
	for i := range requests {
		call := rep.call(fmt.Sprint("request ", i), 5*time.Second)
		call.AtMostOnce = true
		if _, err := pool.Do(context.Background(), call); err != nil {
			t.Fatal(err)
		}
	}
	if n := rep.accepted.Load(); n != 1+(requests-1)/perConnection {
		t.Errorf("%d connections were opened for %d requests, want one for each %d", n, requests, perConnection)
	}
}
