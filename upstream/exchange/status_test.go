package exchange_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// oddStatusLines are status lines of no reply: statuses that the protocol does not define or
// that don't end an exchange, and lines that are malformed.
var oddStatusLines = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 001 One", "HTTP/1.1 020 Twenty", "HTTP/1.1 099 Below",
	"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 104 Upload", "HTTP/1.1 150 Odd", "HTTP/1.1 199 Odd",
	"HTTP/1.1 600 Above", "HTTP/1.1 777 Above", "HTTP/1.1 999 Above",
	"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 2 0 OK", "HTTP/1.1 0x2 OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 OK 200", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
	"HTTP/0.9 200 OK", "HTTP/1.7 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "http/1.1 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "HTP/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "",
}

// legalInterims are interim responses that may come before a reply.
var legalInterims = []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}

// startOdd starts a stand-in for a replica that answers with what the text returns for the ID
// of a request. It sends on closed when its connection is closed.
func startOdd(t *testing.T, text func(id string) string) (rep *replica, closed chan bool) {
	t.Helper()
	closed = make(chan bool, 1)
	rep = startWriting(t, func(c net.Conn, id string) {
		_, _ = c.Write([]byte(text(id))) // the connection may be closed after the first line
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		closed <- err != nil && !(ok && timeout.Timeout())
	})
	return rep, closed
}

// Guards against passing on a reply whose status the protocol does not define, and against
// reading what follows such a status, or a malformed status line, as the reply: a caller got
// the body of an odd reply, or a status such as 000, as its answer. The request may have run,
// whatever the reply states.
func TestReplyWithOddStatusIsNoReply(t *testing.T) {
	whole := func(id string) string {
		return fmt.Sprintf(okHead+"Content-Length: 6\r\n\r\ninside", id)
	}
	bodies := map[string]func(id string) string{
		"a reply in its body":  func(id string) string { return fmt.Sprintf("Id: %s\r\n\r\n%s", id, whole(id)) },
		"a reply with length":  func(id string) string { return fmt.Sprintf("Id: %s\r\nContent-Length: 4\r\n\r\nbody", id) },
		"a statement":          func(id string) string { return fmt.Sprintf("Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id) },
		"a reply in its place": whole,
	}
	for _, line := range oddStatusLines {
		for name, body := range bodies {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) {
				t.Parallel()
				rep, closed := startOdd(t, func(id string) string { return line + "\r\n" + body(id) })
				pool := newPool(2)
				reply, err := pool.Do(context.Background(), rep.call("a", 10*time.Second))
				if err == nil || upstream.NotRun(err) {
					t.Errorf("reply is %d %q, %v; want an error that does not rule out that the request ran", reply.Status, reply.Body, err)
				}
				if !<-closed {
					t.Error("the connection is kept")
				}
			})
		}
	}
}

// Guards against the loss of replies that follow interim responses, and of statuses at the
// bounds of those that the protocol defines.
func TestDefinedStatusesAreReplies(t *testing.T) {
	for _, status := range []string{"200", "204", "299", "302", "404", "421", "499", "503", "599"} {
		for _, line := range []string{"HTTP/1.1 %s Reason", "HTTP/1.1 %s ", "HTTP/1.1 %s", "HTTP/1.0 %s Reason with \xe9"} {
			head := strings.Join(legalInterims, "") + fmt.Sprintf(line, status)
			rep, _ := startOdd(t, func(id string) string {
				return fmt.Sprintf("%s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", head, id)
			})
			reply, err := newPool(2).Do(context.Background(), rep.call("a", 5*time.Second))
			if err != nil || fmt.Sprint(reply.Status) != status {
				t.Errorf("%q: reply is %d, %v", head, reply.Status, err)
			}
		}
	}
}
