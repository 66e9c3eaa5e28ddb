package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// fakeConn is a connection that carries nothing.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error                     { c.closed = true; return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

func fixedLimits() Limits { return Limits{Header: time.Minute, Idle: time.Minute} }

// conns is a listener whose connections a test puts into phases.
type conns struct {
	*Listener
	now time.Time
}

func newConns(places int) conns {
	return conns{NewListener(nil, places, fixedLimits, metrics.NewRegistry()), time.Now()}
}

// open adds a connection of an address that has been in a phase for a time.
func (l conns) open(address string, p phase, age time.Duration) *Conn {
	c := newConn(&fakeConn{}, fixedLimits)
	c.address = netip.MustParseAddr(address)
	c.enter(p)
	c.since = l.now.Add(-age)
	l.conns[c] = struct{}{}
	l.addresses[c.address]++
	return c
}

const (
	caller = "10.0.0.1"
	other  = "10.0.0.2"
)

// Guards against an order in which callers that ask whole requests lose their connections to
// those that hold places without progress.
func TestOrderInWhichConnectionsGiveWay(t *testing.T) {
	l := newConns(100)
	busy := l.open(caller, handling, time.Hour)
	fresh := l.open(caller, readingHeader, arrivalTime/2)
	written := l.open(caller, unread, flushTime/2)
	order := []*Conn{
		l.open(caller, unread, 2*flushTime),
		l.open(caller, readingBody, time.Hour),
		l.open(caller, opened, time.Minute),
		l.open(caller, readingHeader, 2*ordinaryTime),
		l.open(caller, idle, 40*time.Second),
		l.open(caller, idle, time.Second),
		l.open(caller, readingBody, 2*arrivalTime),
	}
	reader := l.open(caller, handling, time.Second) // doesn't read its answer
	reader.writingSince.Store(l.now.Add(-30 * time.Second).UnixNano())
	order = append(order[:3:3], append([]*Conn{reader}, order[3:]...)...)
	for i, want := range order {
		got := l.candidate(netip.MustParseAddr(caller), l.now)
		if got != want {
			t.Fatalf("at %d: a connection in phase %d since %v gives way, want phase %d", i, got.phase, l.now.Sub(got.since), want.phase)
		}
		l.remove(got)
	}
	if got := l.candidate(netip.MustParseAddr(caller), l.now); got != nil {
		t.Errorf("a connection in phase %d gives way; the others are %v", got.phase, []*Conn{busy, fresh, written})
	}
}

// Guards against an address that takes the places of others although it holds most of them.
func TestAddressWithMostPlacesGivesWayItself(t *testing.T) {
	const places = 10
	l := newConns(places)
	others := l.open(other, idle, time.Hour)
	var own *Conn
	for i := range places - 1 {
		own = l.open(caller, idle, time.Duration(i)*time.Second)
	}
	if got := l.candidate(netip.MustParseAddr(caller), l.now); got != own {
		t.Errorf("a connection of %s gives way to one more of %s, want its own that is idle longest", got.address, caller)
	}
	if got := l.candidate(netip.MustParseAddr(other), l.now); got != others {
		t.Errorf("a connection of %s gives way to %s, want the one that is idle longest", got.address, other)
	}
	for c := range l.conns {
		if c.address == netip.MustParseAddr(caller) {
			c.enter(handling)
		}
	}
	if got := l.candidate(netip.MustParseAddr(caller), l.now); got != nil {
		t.Errorf("a connection of %s gives way to one more of %s", got.address, caller)
	}
}

// Guards against more connections than places, and against places that are lost when a
// connection ends twice.
func TestPlacesAreBounded(t *testing.T) {
	const places = 20
	l := newConns(places)
	for range 5 * places {
		c := newConn(&fakeConn{}, fixedLimits)
		c.since = l.now.Add(-time.Minute)
		if !l.add(c) {
			t.Fatal("no stalled connection gave way")
		}
	}
	if len(l.conns) != places {
		t.Errorf("%d connections are open, want %d", len(l.conns), places)
	}
	for c := range l.conns {
		l.stateChanged(c, http.StateClosed)
		l.stateChanged(c, http.StateClosed)
	}
	if len(l.conns) != 0 || len(l.addresses) != 0 {
		t.Errorf("%d connections and %d addresses are left", len(l.conns), len(l.addresses))
	}
	for want, got := range map[int]int{100: Places(100, 0), 50: Places(100, 100), minPlaces: Places(100, 1), 80: Places(80, 1000)} {
		if got != want {
			t.Errorf("%d places, want %d", got, want)
		}
	}
}

// Guards against bodies that keep their memory while others need it, and against freeing that
// of small, new or whole ones.
func TestLongestLargeBodyFreesMemory(t *testing.T) {
	l := newConns(10)
	open := func(p phase, age time.Duration, bytes int64) *Conn {
		c := l.open(caller, p, age)
		c.bodyBytes.Store(bytes)
		return c
	}
	longest := open(readingBody, time.Minute, 2*membudget.SmallBytes)
	next := open(readingBody, 2*ordinaryTime, 2*membudget.SmallBytes)
	small := open(readingBody, time.Hour, membudget.SmallBytes/2)
	kept := []*Conn{open(readingBody, 0, 2*membudget.SmallBytes), open(handling, time.Hour, 2*membudget.SmallBytes)}
	for _, want := range []*Conn{longest, next} {
		l.lastFreed = time.Time{}
		l.FreeMemory()
		if err := want.BodyRead(); !errors.Is(err, ErrGaveWay) {
			t.Errorf("error is %v, want ErrGaveWay", err)
		}
	}
	l.lastFreed = time.Time{}
	l.FreeMemory()
	for _, c := range append(kept, small) {
		if c.GaveWay() {
			t.Errorf("a connection in phase %d with %d bytes gave way", c.phase, c.bodyBytes.Load())
		}
	}
	if l.FreeRequest(); small.GaveWay() {
		t.Error("connections gave way one right after the other")
	}
	l.lastFreed = time.Time{}
	if l.FreeRequest(); !small.GaveWay() {
		t.Error("a small body that is incomplete for long keeps its request")
	}
}

// serve runs a server behind a listener and returns its address.
func serve(t *testing.T, places int, limits Limits, handler http.HandlerFunc) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(raw, places, func() Limits { return limits }, metrics.NewRegistry())
	server := &http.Server{Handler: handler}
	l.Attach(server)
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return raw.Addr().String()
}

// Guards against a body that nobody reads after a refusal: without a limit its connection stays
// open as long as the caller likes, and the refusal isn't even written.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	address := serve(t, 10, fixedLimits(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 1000", "Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n3\r\nabc", framing)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 404 ") {
			t.Errorf("%s: the answer is %q, %v", framing, answer, err)
		}
	}
}

// Guards against headers that are read to the server's own limit, far above that of the
// configuration: many of them, each short of its end, would take the memory of a host.
func TestHugeHeaderIsNotRead(t *testing.T) {
	limits := fixedLimits()
	limits.HeaderBytes = 1 << 10
	address := serve(t, 10, limits, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	sent := 0
	for sent < 10*minHeaderBytes && err == nil {
		var n int
		n, err = io.WriteString(c, line)
		sent += n
		time.Sleep(time.Millisecond)
	}
	if sent > 3*minHeaderBytes {
		t.Errorf("%d bytes of a header were taken, want about %d", sent, minHeaderBytes)
	}
}

// Guards against a body without progress that holds its connection, and a deadline that is left
// behind and ends a request that is whole.
func TestBodyMustArriveInTime(t *testing.T) {
	const limit = 200 * time.Millisecond
	address := serve(t, 10, Limits{Header: time.Minute, Body: limit, Idle: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		if err := FromContext(r.Context()).BodyRead(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(2 * limit)
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for i, body := range []string{"whole", "whole", "part"} {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n%s", body)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		response.Body.Close()
		want := http.StatusOK
		if body != "whole" {
			want = http.StatusRequestTimeout
		}
		if response.StatusCode != want {
			t.Errorf("request %d: status is %d, want %d", i, response.StatusCode, want)
		}
	}
}
