// Package crowd tests both kinds of daemons as processes beside many slow callers. They send
// bodies of legal size, of which most stop just short of their end while their connections stay
// open.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// members is the number of callers in a crowd. It is above the number of connections that
	// the daemons under test can hold.
	members = 300
	// wholeEvery is the number of members for each one that sends its bodies to their end.
	wholeEvery = 10
	// joinTime is the time in which the members open their first connections.
	joinTime = 500 * time.Millisecond
	// returnPause is the time after which a member whose connection was closed comes back.
	returnPause = 500 * time.Millisecond
	// settleTime is how long the crowd holds its connections before an ordinary caller asks.
	settleTime = 1500 * time.Millisecond
	// answerLimit is the time in which an ordinary request must have been answered once. It
	// bounds the test and judges no speed.
	answerLimit = 20 * time.Second
	// tryLimit is how long an ordinary caller waits before it asks again on a new connection.
	tryLimit = 4 * time.Second
	// tryPause is the time between two tries of an ordinary caller.
	tryPause = 50 * time.Millisecond

	largeBody = 160 << 10
	smallBody = 4 << 10
	// bodyLimit is the largest body that the daemons under test accept.
	bodyLimit = 256 << 10
	// memoryMB is the memory limit of the daemons under test.
	memoryMB = 64
)

// bodyKind is how the members of a crowd send their bodies.
type bodyKind struct {
	name string
	size int
	// chunk is the size of the chunks; 0 for a body with a length.
	chunk int
	// piece is the number of bytes that are written at a time; 0 for all at once.
	piece int
	// complete is set if all members send their bodies to the end.
	complete bool
}

var bodyKinds = []bodyKind{
	{name: "large-whole", size: largeBody},
	{name: "large-in-pieces", size: largeBody, piece: 4 << 10},
	{name: "large-large-chunks", size: largeBody, chunk: largeBody},
	{name: "large-one-byte-chunks", size: largeBody, chunk: 1},
	{name: "small-whole", size: smallBody},
	{name: "small-in-pieces", size: smallBody, piece: 128},
	{name: "small-large-chunks", size: smallBody, chunk: smallBody},
	{name: "small-one-byte-chunks", size: smallBody, chunk: 1},
}

// piecePause is the time between two pieces of a body.
const piecePause = 2 * time.Millisecond

// message returns the header lines that frame a body, and the body as it is sent.
func (k bodyKind) message(body string) (framing, framed string) {
	if k.chunk == 0 {
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	}
	var b strings.Builder
	for len(body) > 0 {
		n := min(k.chunk, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return "Transfer-Encoding: chunked\r\n", b.String()
}

// target is what a crowd sends its requests to.
type target struct {
	address string
	// header returns the head of a request with an ID, without framing and the empty line.
	header func(id string) string
	// body returns a body of about the given size.
	body func(size int) string
}

// crowd is a number of callers that ask until stop is closed.
type crowd struct {
	target          target
	kind            bodyKind
	framing, framed string // of the body, alike for all requests
	stop            chan struct{}
	wait            sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	complete map[string]bool // IDs of requests whose bodies were sent to their end
	refused  []string        // IDs of requests that were answered as not run
	opened   int
}

// startCrowd starts the members of a crowd. The caller must call end.
func startCrowd(t target, k bodyKind) *crowd {
	c := &crowd{target: t, kind: k, stop: make(chan struct{}), conns: map[net.Conn]bool{}, complete: map[string]bool{}}
	c.framing, c.framed = k.message(t.body(k.size))
	for i := range members {
		c.wait.Go(func() {
			if c.pause(joinTime * time.Duration(i) / members) {
				c.runMember(i)
			}
		})
	}
	return c
}

// end closes all connections of the crowd and waits for its members.
func (c *crowd) end() {
	close(c.stop)
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close() // fails only on a closed connection
	}
	c.mu.Unlock()
	c.wait.Wait()
}

// pause waits. It reports whether the crowd goes on.
func (c *crowd) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// runMember sends one request after the other, each on a connection of its own.
func (c *crowd) runMember(number int) {
	for n := 0; ; n++ {
		if conn, err := net.DialTimeout("tcp", c.target.address, time.Second); err == nil && c.add(conn) {
			c.sendRequest(conn, fmt.Sprintf("crowd-%d-%d", number, n), c.kind.complete || number%wholeEvery == 0)
			c.remove(conn)
		}
		if !c.pause(returnPause) {
			return
		}
	}
}

// add registers an open connection. It reports whether the crowd goes on.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		_ = conn.Close() // fails only on a closed connection
		return false
	default:
	}
	c.conns[conn] = true
	c.opened++
	return true
}

func (c *crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close() // fails only on a closed connection
}

// sendRequest sends a request, to its end or just short of it, and keeps the connection until
// it is answered or closed.
func (c *crowd) sendRequest(conn net.Conn, id string, whole bool) {
	const shortBy = 6 // bytes; more than the last chunk of a body in chunks
	framed := c.framed
	if !whole {
		framed = framed[:len(framed)-shortBy]
	}
	if _, err := io.WriteString(conn, c.target.header(id)+c.framing+"\r\n"); err != nil {
		return
	}
	if whole {
		c.mu.Lock()
		c.complete[id] = true
		c.mu.Unlock()
	}
	for piece := c.kind.piece; len(framed) > 0; {
		n := len(framed)
		if piece > 0 {
			n = min(n, piece)
			time.Sleep(piecePause)
		}
		if _, err := io.WriteString(conn, framed[:n]); err != nil {
			break // a refusal may still be read
		}
		framed = framed[n:]
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // the connection may be closed at any time
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
	}
}

// checkRuns checks that what ran had been sent whole, and was not refused as not run.
func (c *crowd) checkRuns(t *testing.T, ran func(id string) bool, all []string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range all {
		if strings.HasPrefix(id, "crowd-") && !c.complete[id] {
			t.Errorf("%s ran without the end of its body", id)
		}
	}
	for _, id := range c.refused {
		if ran(id) {
			t.Errorf("REFUSED: %s was answered as not run and ran", id)
		}
	}
}

// awaitAnswer asks with new requests until one of them is answered.
func awaitAnswer(t *testing.T, name string, ask func(id string) error) {
	t.Helper()
	var err error
	tries := 0
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(tryPause) {
		tries++
		if err = ask(fmt.Sprintf("ordinary-%d", time.Now().UnixNano())); err == nil {
			t.Logf("%s: answered at try %d", name, tries)
			return
		}
	}
	t.Errorf("%s: no answer in %d tries: %v", name, tries, err)
}

var errNoSuccess = errors.New("the answer is no success")

// readSuccess reads an answer and returns an error unless it is a whole success.
func readSuccess(c net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(errNoSuccess, "status %d, %s", response.StatusCode, body)
	}
	return nil
}
