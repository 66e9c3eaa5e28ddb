package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// codec is a minimal protocol.
type codec struct{}

func (codec) AppendHead(to []byte, r *exchange.Request, replica string, _ time.Duration) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nTo: %s\r\n", r.Method, r.Target, r.ID, replica)
	if len(r.Body) > 0 {
		to = fmt.Appendf(to, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(to, "\r\n"...)
}

func (codec) ReadReply(status int, h http.Header, body []byte) exchange.Reply {
	return exchange.Reply{Status: status, Header: h, Body: body, RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
}

// replica is a stand-in that answers each request with the text that script returns. An
// empty text closes the connection.
type replica struct {
	listener net.Listener
	accepted atomic.Int32
}

func startReplica(t *testing.T, script func(n int, r *http.Request) string) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rep := &replica{listener: l}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			rep.accepted.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					r.RemoteAddr = c.RemoteAddr().String()
					text := script(int(requests.Add(1)), r)
					if text == "" {
						return
					}
					if _, err := c.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return rep
}

func (r *replica) call(id string, wait time.Duration) exchange.Call {
	return exchange.Call{
		Request:     &exchange.Request{ID: id, Method: "GET", Target: "/x", Host: "h"},
		Destination: replicas.Incarnation{ID: "r", Address: r.listener.Addr().String()},
		Deadline:    time.Now().Add(wait),
	}
}

func newPool(limit int) *exchange.Pool {
	return exchange.NewPool(codec{}, func(replicas.Incarnation) int { return limit }, metrics.NewRegistry())
}

func answer(r *http.Request, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimLeft(string([]byte{byte('0' + n/10), byte('0' + n%10)}), "0")
}

// Guards against closing an idle connection because the deadline of its last request has
// passed.
func TestIdleConnectionOutlivesDeadline(t *testing.T) {
	rep := startReplica(t, func(_ int, r *http.Request) string { return answer(r, "body") })
	pool := newPool(2)
	for _, id := range []string{"a", "b"} {
		if _, err := pool.Do(context.Background(), rep.call(id, 30*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(80 * time.Millisecond)
	}
	if n := rep.accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened for 2 requests in a row, want 1", n)
	}
}

// Guards against accepting a late or extra reply as that of the next request.
func TestReplyOfAnotherRequestIsRefused(t *testing.T) {
	rep := startReplica(t, func(n int, r *http.Request) string {
		if n == 1 {
			other := &http.Request{Header: http.Header{"Id": {"other"}}}
			return answer(other, "wrong")
		}
		return answer(r, "right")
	})
	pool := newPool(2)
	if _, err := pool.Do(context.Background(), rep.call("a", time.Second)); !errors.Is(err, upstream.ErrMismatch) {
		t.Errorf("error is %v, want ErrMismatch", err)
	}
	reply, err := pool.Do(context.Background(), rep.call("b", time.Second))
	if err != nil || string(reply.Body) != "right" {
		t.Errorf("reply is %q, %v", reply.Body, err)
	}
	if n := rep.accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened, want 2: the first delivered another request's reply", n)
	}
}

// Guards against reusing a connection although bytes follow the reply.
func TestExtraBytesEndTheConnection(t *testing.T) {
	rep := startReplica(t, func(n int, r *http.Request) string {
		if n == 1 {
			return answer(r, "body") + answer(r, "again")
		}
		return answer(r, "right")
	})
	pool := newPool(2)
	for _, id := range []string{"a", "b"} {
		if _, err := pool.Do(context.Background(), rep.call(id, time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := rep.accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// Guards against accepting a truncated reply as complete.
func TestTruncatedReplyIsBroken(t *testing.T) {
	rep := startReplica(t, func(n int, r *http.Request) string {
		if n > 1 {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 50\r\n\r\nshort"
	})
	pool := newPool(1)
	call := rep.call("a", 100*time.Millisecond)
	if reply, err := pool.Do(context.Background(), call); err == nil {
		t.Errorf("reply is %q, want an error", reply.Body)
	}
}

// Guards against reporting a request as not sent although the replica has read it.
func TestLostReplyMayHaveRun(t *testing.T) {
	rep := startReplica(t, func(int, *http.Request) string { return "" })
	_, err := newPool(1).Do(context.Background(), rep.call("a", time.Second))
	if !errors.Is(err, upstream.ErrReplyLost) || upstream.NotRun(err) {
		t.Errorf("error is %v, want ErrReplyLost that may have run", err)
	}
}

// Guards against opening more connections to a replica than the limit.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	release := make(chan struct{})
	rep := startReplica(t, func(_ int, r *http.Request) string { <-release; return answer(r, "body") })
	pool := newPool(1)
	first := make(chan error, 1)
	go func() {
		_, err := pool.Do(context.Background(), rep.call("a", 5*time.Second))
		first <- err
	}()
	for rep.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := pool.Do(context.Background(), rep.call("b", time.Second)); !errors.Is(err, exchange.ErrNoConnection) || !upstream.NotRun(err) {
		t.Errorf("error is %v, want ErrNoConnection that did not run", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// Guards against reporting a replica as at its connection limit while a connection is idle,
// or as below the limit while all are in use.
func TestAtLimitWhileAllConnectionsAreInUse(t *testing.T) {
	release := make(chan struct{})
	rep := startReplica(t, func(_ int, r *http.Request) string { <-release; return answer(r, "body") })
	pool := newPool(1)
	call := rep.call("a", 5*time.Second)
	if pool.Availability(call.Destination).AtLimit {
		t.Error("at the limit before the first request")
	}
	first := make(chan error, 1)
	go func() {
		_, err := pool.Do(context.Background(), call)
		first <- err
	}()
	for rep.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if !pool.Availability(call.Destination).AtLimit {
		t.Error("not at the limit while the only connection is in use")
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if pool.Availability(call.Destination).AtLimit {
		t.Error("at the limit although the connection is idle")
	}
}

// Guards against closing the connection of a cancelled request although its reply arrives
// soon after, since opening new connections is expensive.
func TestCancelledRequestKeepsItsConnection(t *testing.T) {
	rep := startReplica(t, func(n int, r *http.Request) string {
		if n == 1 {
			time.Sleep(30 * time.Millisecond)
		}
		return answer(r, "body")
	})
	pool := newPool(1)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := pool.Do(ctx, rep.call("a", time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Do(context.Background(), rep.call("b", time.Second)); err != nil {
		t.Fatal(err)
	}
	if n := rep.accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Guards against refusing new requests while cancelled requests hold all connections.
func TestCancelledRequestGivesUpItsConnection(t *testing.T) {
	release := make(chan struct{})
	rep := startReplica(t, func(n int, r *http.Request) string {
		if n == 1 {
			<-release
		}
		return answer(r, "body")
	})
	defer close(release)
	pool := newPool(1)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := pool.Do(ctx, rep.call("a", 5*time.Second))
		first <- err
	}()
	for rep.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	cancel()
	time.Sleep(10 * time.Millisecond)
	if _, err := pool.Do(context.Background(), rep.call("b", time.Second)); err != nil {
		t.Errorf("error is %v, want a reply on a new connection that replaces that of the cancelled request", err)
	}
	if err := <-first; err == nil {
		t.Error("the cancelled request got a reply")
	}
}

// FuzzReply guards against a panic of the reader, and against accepting bytes that are not a
// complete reply to the request.
func FuzzReply(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Add("\x00\x01 nonsense")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip("no port")
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(text))
			}
		}()
		rep := &replica{listener: l}
		reply, err := newPool(1).Do(context.Background(), rep.call("a", 100*time.Millisecond))
		if err == nil && reply.RequestID != "a" && !reply.NotRun {
			t.Errorf("accepted the reply %+v, which does not echo the request id", reply)
		}
	})
}
