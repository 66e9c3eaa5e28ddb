package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

const largeBody = 256 << 10

// startReading starts a stand-in for a replica that checks the body of each request and replies
// after proceed was closed.
func startReading(t testing.TB, body []byte, received *atomic.Int32, proceed chan struct{}) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader, buffer := bufio.NewReader(c), make([]byte, 4<<10)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			same := &comparer{want: body}
			if _, err := io.CopyBuffer(same, r.Body, buffer); err != nil || same.differs || len(same.want) > 0 {
				t.Errorf("the body differs from %d bytes that were sent, %v", len(body), err)
				return
			}
			received.Add(1)
			<-proceed
			if _, err := io.WriteString(c, answer(r, "body")); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &replica{listener: l}
}

// comparer compares what is written with what is wanted, and keeps the rest of that.
type comparer struct {
	want    []byte
	differs bool
}

func (c *comparer) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(c.want, p) {
		c.differs = true
		return len(p), nil
	}
	c.want = c.want[len(p):]
	return len(p), nil
}

// Guards against memory for callers' bodies that grows with the number of shards: all
// sub-requests of a request, which wait for their replies at the same time, share one body. The
// memory must not stay in use after the replies either.
func TestSendsShareTheBody(t *testing.T) {
	const sends = 90
	body := bytes.Repeat([]byte("0123456789abcdef"), largeBody/16)
	var received atomic.Int32
	proceed := make(chan struct{})
	rep := startReading(t, body, &received, proceed)
	pool := newPool(sends)
	call := rep.call("request", time.Minute)
	call.Request.Method, call.Request.Body = http.MethodPost, body
	before := heapBytes()
	var group sync.WaitGroup
	for range sends {
		group.Go(func() {
			if _, err := pool.Do(context.Background(), call); err != nil {
				t.Error(err)
			}
		})
	}
	for received.Load() < sends && !t.Failed() {
		time.Sleep(time.Millisecond)
	}
	grown := heapBytes() - before
	t.Logf("%d sends of a body of %d bytes hold %d bytes", sends, largeBody, grown)
	if grown > sends*largeBody/4 {
		t.Error("each send holds a copy of the body")
	}
	close(proceed)
	group.Wait()
}

// Guards against copies of a body that are kept while replicas don't read it.
func TestBlockedSendsShareTheBody(t *testing.T) {
	const sends, bodyBytes = 10, 16 << 20 // more than the buffers of a connection take
	ended := make(chan struct{})
	rep := startWriting(t, func(net.Conn, string) { <-ended })
	pool := newPool(sends)
	call := rep.call("request", time.Minute)
	call.Request.Method, call.Request.Body = http.MethodPost, make([]byte, bodyBytes)
	before := heapBytes()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var started atomic.Int32
	for range sends {
		group.Go(func() {
			call := call
			call.Permitted = func() error { started.Add(1); return nil } // asked right before the send
			if _, err := pool.Do(ctx, call); err == nil {
				t.Error("a request was answered that the replica did not read")
			}
		})
	}
	for started.Load() < sends {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if grown := heapBytes() - before; grown > 2*bodyBytes {
		t.Errorf("%d sends of a body of %d bytes hold %d bytes", sends, bodyBytes, grown)
	}
	cancel()
	close(ended)
	group.Wait()
}

// heapBytes returns the bytes that are in use after collections. The second one empties pools of
// buffers.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSendOverShards measures the sends of one request to a number of shards, with the
// work of the stand-in.
func BenchmarkSendOverShards(b *testing.B) {
	proceed := make(chan struct{})
	close(proceed)
	for _, size := range []int{0, 100, 1 << 10, largeBody} {
		for _, shards := range []int{1, 30, 90} {
			b.Run(fmt.Sprintf("body=%d/shards=%d", size, shards), func(b *testing.B) {
				body := bytes.Repeat([]byte("x"), size)
				var received atomic.Int32
				rep := startReading(b, body, &received, proceed)
				pool := newPool(shards)
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					request := &exchange.Request{ID: fmt.Sprint(n), Method: http.MethodPost, Target: "/x", Host: "h", Body: body}
					var group sync.WaitGroup
					for range shards {
						group.Go(func() {
							call := rep.call("", 10*time.Second)
							call.Request = request
							if _, err := pool.Do(context.Background(), call); err != nil {
								b.Error(err)
							}
						})
					}
					group.Wait()
				}
			})
		}
	}
}
