package upstreamhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

func serve(t *testing.T, h http.HandlerFunc) (address string, s *httptest.Server) {
	t.Helper()
	s = httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), s
}

func request() upstream.Request {
	return upstream.Request{Attempt: "a1", Service: "s1", Kind: upstream.Read, Deadline: time.Minute}
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func truncateReply(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	fmt.Fprint(w, `{"attempt":"a1","service":"s1"}`)
	panic(http.ErrAbortHandler)
}

// Guards against accepting a truncated reply as complete, and a refusal of another attempt
// as one of this attempt.
func TestReplyErrors(t *testing.T) {
	const state = `"incarnation":"i1","held":[4,5],"load":{"in_flight":1,"slots":2}`
	cases := map[string]struct {
		handler   http.HandlerFunc
		want      error
		wantState bool
	}{
		"complete":          {respondWith(200, `{"attempt":"a1","service":"s1",`+state+`}`), nil, true},
		"shed":              {respondWith(503, `{"code":"shed","attempt":"a1",`+state+`}`), upstream.ErrShed, true},
		"draining":          {respondWith(503, `{"code":"draining","attempt":"a1",`+state+`}`), upstream.ErrDraining, true},
		"snapshot gone":     {respondWith(409, `{"code":"snapshot_gone","attempt":"a1",`+state+`}`), upstream.ErrSnapshotGone, true},
		"moved":             {respondWith(410, `{"code":"moved","attempt":"a1",`+state+`}`), upstream.ErrMoved, true},
		"deadline":          {respondWith(504, `{"code":"deadline","attempt":"a1",`+state+`}`), upstream.ErrTimeout, true},
		"other attempt":     {respondWith(200, `{"attempt":"a2","service":"s1","records":[1],`+state+`}`), upstream.ErrMismatch, true},
		"other service":     {respondWith(200, `{"attempt":"a1","service":"s2","records":[1],`+state+`}`), upstream.ErrMismatch, true},
		"refusal of other":  {respondWith(503, `{"code":"shed","attempt":"a2",`+state+`}`), upstream.ErrMismatch, true},
		"unknown code":      {respondWith(503, `{"code":"busy","attempt":"a1"}`), upstream.ErrReplyLost, false},
		"refusal not JSON":  {respondWith(503, `busy`), upstream.ErrReplyLost, false},
		"unexpected status": {respondWith(500, `{"code":"shed","attempt":"a1"}`), upstream.ErrReplyLost, false},
		"null":              {respondWith(200, `null`), upstream.ErrReplyLost, false},
		"incomplete JSON":   {respondWith(200, `{"attempt":"a1","service":"s1"`), upstream.ErrReplyLost, false},
		"truncated":         {truncateReply, upstream.ErrReplyLost, false},
		"too large":         {respondWith(200, strings.Repeat(" ", 5000)), upstream.ErrReplyLost, false},
		"lost":              {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, upstream.ErrReplyLost, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, test.handler)
			c := New(Config{Connections: 1, MaxReplyBytes: 4096})
			defer c.Close()
			reply, err := c.Do(t.Context(), address, request())
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if got := reply.Incarnation == "i1" && reply.Load.Slots == 2 && len(reply.Held) == 2; got != test.wantState {
				t.Errorf("reply %+v, want state %v", reply, test.wantState)
			}
			if test.want != nil && reply.Records != nil {
				t.Errorf("records %s with an error", reply.Records)
			}
		})
	}
}

// Guards against reporting a request that may have run as not sent, and vice versa.
func TestErrorTellsWhetherRequestWasSent(t *testing.T) {
	received := make(chan struct{}, 1)
	address, server := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only once the body is read.
		io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-r.Context().Done()
	})
	c := New(Config{Connections: 1})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	if _, err := c.Do(ctx, address, request()); !errors.Is(err, upstream.ErrReplyLost) {
		t.Errorf("cancelled after the send: %v, want ErrReplyLost", err)
	}
	if _, err := c.Do(ctx, address, request()); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("cancelled before the send: %v, want ErrConnect", err)
	}
	short := request()
	short.Deadline = 300 * time.Millisecond
	if _, err := c.Do(t.Context(), address, short); !errors.Is(err, upstream.ErrTimeout) {
		t.Errorf("deadline after the send: %v, want ErrTimeout", err)
	}
	server.Close()
	if _, err := c.Do(t.Context(), address, request()); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("refused dial: %v, want ErrConnect", err)
	}
	c.SetConnections(address, 0)
	if _, err := c.Do(t.Context(), address, short); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("connection limit 0: %v, want ErrConnect", err)
	}
}

// countingDialer counts connections from the start of the dial to Close. The server's count
// would be too high: it detects the end of a replaced connection only after it has accepted
// the next one.
type countingDialer struct {
	mu         sync.Mutex
	open, peak int
	hold       chan struct{} // if set, dials wait until it is closed
	began      chan struct{} // receives a value at the start of a dial
}

func (d *countingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.open++
	d.peak = max(d.peak, d.open)
	hold := d.hold
	d.mu.Unlock()
	select {
	case d.began <- struct{}{}:
	default:
	}
	if hold != nil {
		<-hold
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		d.closed()
		return nil, err
	}
	return &countedConn{Conn: conn, closed: sync.OnceFunc(d.closed)}, nil
}

func (d *countingDialer) closed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

func (d *countingDialer) setHold(hold chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold = hold
}

func (d *countingDialer) peakOpen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}

// Guards against more connections than the limit, also while the limit changes, and against
// a request that waits forever for a connection.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondWith(200, `{"attempt":"a1","service":"s1"}`)(w, r)
	})
	var d countingDialer
	c := New(Config{})
	c.dial = d.dial
	defer c.Close()
	c.SetConnections(address, 2)
	const requests = 12
	results := make(chan error, requests)
	for range requests {
		go func() { _, err := c.Do(t.Context(), address, request()); results <- err }()
	}
	c.SetConnections(address, 3)
	close(release)
	for range requests {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if got := d.peakOpen(); got > 3 {
		t.Errorf("%d connections open at once, want at most 3", got)
	}
}

// Guards against one connection above the limit while a replaced transport still has one:
// http.Transport continues a dial whose request was given another connection meanwhile.
func TestConnectionLimitWithUnusedDials(t *testing.T) {
	received := make(chan chan struct{}, 1)
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan struct{})
		received <- answer
		<-answer
		respondWith(200, `{"attempt":"a1","service":"s1"}`)(w, r)
	})
	d := countingDialer{began: make(chan struct{}, 2)}
	c := New(Config{})
	c.dial = d.dial
	defer c.Close()
	results := make(chan error, 8)
	send := func() {
		go func() { _, err := c.Do(t.Context(), address, request()); results <- err }()
	}
	done := func() {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	// The first connection belongs to the transport of the first limit.
	c.SetConnections(address, 2)
	send()
	first := <-received
	c.SetConnections(address, 3)
	send()
	second := <-received
	<-d.began
	<-d.began
	// The third request starts a dial and is then given the second one's connection.
	hold := make(chan struct{})
	d.setHold(hold)
	send()
	<-d.began
	close(second)
	done()
	third := <-received
	// The fourth request starts another dial.
	send()
	select {
	case <-d.began:
	case <-time.After(200 * time.Millisecond):
	}
	close(hold)
	close(third)
	done()
	close(<-received)
	done()
	close(first)
	done()
	if peakOpen := d.peakOpen(); peakOpen > 3 {
		t.Errorf("%d connections open at once, want at most 3", peakOpen)
	}
}
