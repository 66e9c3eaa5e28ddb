package upstreamhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// startRaw starts a stand-in for an upstream that answers each request with a text. It counts
// the connections.
func startRaw(t *testing.T, text string) (address string, accepted *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// Guards against taking a response with a status that HTTP doesn't define, or what follows it,
// for the upstream's reply, and against keeping its connection. The work may have run.
func TestResponseWithOddStatusIsNoReply(t *testing.T) {
	const body = `{"attempt":"a1","service":"s1","code":"shed"}`
	reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 001 One", "HTTP/1.1 099 Below", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 104 Odd", "HTTP/1.1 199 Odd",
		"HTTP/1.1 600 Above", "HTTP/1.1 777 Above", "HTTP/1.1 999 Above", "HTTP/1.1 +20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1", "",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K",
	} {
		for name, text := range map[string]string{
			"empty":           line + "\r\nContent-Length: 0\r\n\r\n",
			"with a body":     fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body),
			"before a reply":  line + "\r\n\r\n" + reply,
			"around a reply":  fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(reply), reply),
			"with two bodies": fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s%s", line, len(body), body, reply),
		} {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) {
				t.Parallel()
				address, accepted := startRaw(t, text)
				c := New(Config{Connections: 1})
				defer c.Close()
				const requests = 2
				for range requests {
					got, err := c.Do(t.Context(), address, request())
					if !errors.Is(err, upstream.ErrReplyLost) || upstream.NotRun(err) {
						t.Errorf("reply %+v, error %v, want ErrReplyLost", got, err)
					}
				}
				if n := accepted.Load(); n != requests {
					t.Errorf("%d connections were opened for %d requests", n, requests)
				}
			})
		}
	}
}

// Guards against the loss of a reply that follows interim responses.
func TestReplyAfterInterimResponses(t *testing.T) {
	const body = `{"attempt":"a1","service":"s1"}`
	address, accepted := startRaw(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	c := New(Config{Connections: 1})
	defer c.Close()
	for range 2 {
		if _, err := c.Do(t.Context(), address, request()); err != nil {
			t.Error(err)
		}
	}
	if n := accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}
