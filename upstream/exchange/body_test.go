package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// endless is a stand-in for a replica whose answers begin with a text and go on with
// another one until the caller closes the connection. It counts the bytes sent.
type endless struct {
	*replica
	sent atomic.Int64
}

func startEndless(t testing.TB, begin, more string) *endless {
	t.Helper()
	e := &endless{}
	block := []byte(strings.Repeat(more, 1+4096/len(more)))
	e.replica = startWriting(t, func(c net.Conn, id string) {
		_, err := fmt.Fprintf(c, begin, id)
		for err == nil {
			var n int
			n, err = c.Write(block)
			e.sent.Add(int64(n))
		}
	})
	return e
}

// startWriting starts a stand-in for a replica that reads one request from each connection
// and writes what it likes.
func startWriting(t testing.TB, write func(c net.Conn, id string)) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c, r.Header.Get("Id"))
				}
			}()
		}
	}()
	return &replica{listener: l}
}

const okHead = "HTTP/1.1 200 OK\r\nId: %s\r\n"

// endlessReplies are beginnings of replies and what is repeated after them.
var endlessReplies = map[string][2]string{
	"header lines":            {okHead, "X-More: 1\r\n"},
	"one header line":         {okHead + "X-More: ", "x"},
	"status line":             {"HTTP/1.1 200 %s", "x"},
	"no answer":               {"\x00%s", "\x00\x01"},
	"interim responses":       {"HTTP/1.1 100 Continue\r\nId: %s\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body without a length":   {okHead + "\r\n", "x"},
	"chunks":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"one huge chunk":          {okHead + "Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "x"},
	"chunk extensions":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
	"trailer":                 {okHead + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: 1\r\n"},
	"body of a huge length":   {okHead + "Content-Length: 900000000000\r\n\r\n", "x"},
	"body of a length in use": {okHead + "Content-Length: 900000\r\n\r\n", "x"},
}

// Guards against a reply without end that is read until the deadline, or that takes more
// memory than a reply may.
func TestReplyWithoutEndIsGivenUp(t *testing.T) {
	const maxBody, maxTotal = 1 << 20, 4 << 20
	for name, texts := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rep := startEndless(t, texts[0], texts[1])
			pool := newPool(2)
			pool.LimitMemory(maxBody, maxTotal)
			const deadline = 30 * time.Second
			began := time.Now()
			reply, err := pool.Do(context.Background(), rep.call("a", deadline))
			if name == "body of a length in use" { // extra bytes follow a complete reply
				if err != nil || len(reply.Body) != 900000 {
					t.Errorf("reply has %d bytes, %v", len(reply.Body), err)
				}
				return
			}
			if err == nil || upstream.NotRun(err) {
				t.Errorf("error is %v, want one that does not rule out that the request ran", err)
			}
			if took := time.Since(began); took > deadline/2 {
				t.Errorf("the reply was read for %v", took)
			}
		})
	}
}

// Guards against replies that are each within their bound and together take the memory
// of the host, and against small replies that are lost meanwhile.
func TestManyLargeRepliesShareMemory(t *testing.T) {
	const maxBody, maxTotal, endlessReplicas = 4 << 20, 8 << 20, 60
	pool := newPool(1)
	pool.LimitMemory(maxBody, maxTotal)
	sound := startReplica(t, func(_ int, r *http.Request) string { return answer(r, "body") })
	var group sync.WaitGroup
	var failed atomic.Int32
	for i := range endlessReplicas {
		rep := startEndless(t, okHead+"\r\n", "x")
		call := rep.call("a", 20*time.Second)
		call.Destination.ID = fmt.Sprint("endless-", i)
		group.Go(func() {
			if _, err := doConnected(pool, call); errors.Is(err, exchange.ErrTooLarge) {
				failed.Add(1)
			}
		})
	}
	ended := make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	var peak uint64
	for asked := 0; ; asked++ {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
		reply, err := doConnected(pool, sound.call(fmt.Sprint(asked), 10*time.Second))
		if err != nil || string(reply.Body) != "body" {
			t.Fatalf("a small reply was lost: %q, %v", reply.Body, err)
		}
		select {
		case <-ended:
		default:
			continue
		}
		break
	}
	if n := failed.Load(); n != endlessReplicas {
		t.Errorf("%d of %d endless replies were given up as too large", n, endlessReplicas)
	}
	if bound := uint64(8 * maxTotal); peak > bound {
		t.Errorf("the heap took %d bytes, want at most %d", peak, bound)
	}
}

// doConnected sends a request, and does so again if no connection was opened in time, as on a
// machine that gives the test no processor. The replica has seen nothing of it then.
func doConnected(pool *exchange.Pool, call exchange.Call) (exchange.Reply, error) {
	const maxTries = 20
	for tries := 1; ; tries++ {
		reply, err := pool.Do(context.Background(), call)
		if tries == maxTries || !errors.Is(err, upstream.ErrConnect) {
			return reply, err
		}
	}
}

// Guards against memory that is not available again after the replies were used or given
// up.
func TestMemoryOfRepliesIsReleased(t *testing.T) {
	const size = 600 << 10
	body := strings.Repeat("x", size)
	large := startReplica(t, func(_ int, r *http.Request) string {
		return fmt.Sprintf(okHead+"Content-Length: %d\r\n\r\n%s", r.Header.Get("Id"), size, body)
	})
	pool := newPool(4)
	pool.LimitMemory(1<<20, 1<<20)
	for i := range 5 {
		first, err := pool.Do(context.Background(), large.call(fmt.Sprint("a", i), 10*time.Second))
		if err != nil || len(first.Body) != size {
			t.Fatalf("reply has %d bytes, %v", len(first.Body), err)
		}
		if _, err := pool.Do(context.Background(), large.call(fmt.Sprint("b", i), 10*time.Second)); !errors.Is(err, exchange.ErrTooLarge) {
			t.Fatalf("error is %v while a large reply is held, want ErrTooLarge", err)
		}
		pool.Release(first.Held)
	}
}

// Guards against taking a late copy of a refusal, which lacks the id of its request, as
// proof that the next request on the connection did not run.
func TestRefusalWithoutIDProvesNothingOnReusedConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct{ atMostOnce, first, want bool }{{true, true, true}, {true, false, false}, {false, true, true}, {false, false, false}} {
		rep := startReplica(t, func(_ int, r *http.Request) string {
			if r.Header.Get("Id") == "before" {
				return answer(r, "body")
			}
			return refusal
		})
		pool := newPool(1)
		if !c.first {
			if _, err := pool.Do(context.Background(), rep.call("before", time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		call := rep.call("a", time.Second)
		call.AtMostOnce = c.atMostOnce
		reply, err := pool.Do(context.Background(), call)
		if got := err == nil && reply.NotRun; got != c.want || upstream.NotRun(err) {
			t.Errorf("%+v: reply is %+v, %v", c, reply, err)
		}
	}
}

// Guards against a request that is sent although its replica said, while the connection
// was opened, that it is leaving.
func TestPermissionIsAskedAgainAfterDialing(t *testing.T) {
	var requests atomic.Int32
	rep := startReplica(t, func(_ int, r *http.Request) string {
		requests.Add(1)
		return answer(r, "body")
	})
	refused := errors.New("leaving")
	call := rep.call("a", time.Second)
	call.Permitted = func() error { return refused }
	if _, err := newPool(1).Do(context.Background(), call); !errors.Is(err, refused) || requests.Load() != 0 {
		t.Errorf("error is %v, %d requests arrived, want none", err, requests.Load())
	}
}

// Guards against keeping the connection to a replica that says it is leaving.
func TestConnectionToLeavingReplicaIsClosed(t *testing.T) {
	rep := startReplica(t, func(_ int, r *http.Request) string {
		return strings.Replace(answer(r, "body"), "\r\n", "\r\nLeaving: 1\r\n", 1)
	})
	pool := newPool(2)
	call := rep.call("a", time.Second)
	if reply, err := pool.Do(context.Background(), call); err != nil || !reply.Leaving {
		t.Fatalf("reply is %+v, %v", reply, err)
	}
	if pool.Availability(call.Destination).HasIdle {
		t.Error("the connection is kept")
	}
}
