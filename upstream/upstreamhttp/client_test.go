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

func answerWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func cutShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	fmt.Fprint(w, `{"attempt":"a1","service":"s1"}`)
	panic(http.ErrAbortHandler)
}

// Guards against an answer that is taken for what it does not prove: a cut
// reply for a whole one, or another attempt's refusal for one of this attempt.
func TestAnswers(t *testing.T) {
	const state = `"incarnation":"i1","held":[4,5],"load":{"in_flight":1,"slots":2}`
	cases := map[string]struct {
		handler   http.HandlerFunc
		want      error
		wantState bool
	}{
		"whole":             {answerWith(200, `{"attempt":"a1","service":"s1",`+state+`}`), nil, true},
		"shed":              {answerWith(503, `{"code":"shed","attempt":"a1",`+state+`}`), upstream.ErrShed, true},
		"draining":          {answerWith(503, `{"code":"draining","attempt":"a1",`+state+`}`), upstream.ErrDraining, true},
		"snapshot gone":     {answerWith(409, `{"code":"snapshot_gone","attempt":"a1",`+state+`}`), upstream.ErrSnapshotGone, true},
		"moved":             {answerWith(410, `{"code":"moved","attempt":"a1",`+state+`}`), upstream.ErrMoved, true},
		"deadline":          {answerWith(504, `{"code":"deadline","attempt":"a1",`+state+`}`), upstream.ErrTimeout, true},
		"other attempt":     {answerWith(200, `{"attempt":"a2","service":"s1","records":[1],`+state+`}`), upstream.ErrMismatch, true},
		"other service":     {answerWith(200, `{"attempt":"a1","service":"s2","records":[1],`+state+`}`), upstream.ErrMismatch, true},
		"other's refusal":   {answerWith(503, `{"code":"shed","attempt":"a2",`+state+`}`), upstream.ErrMismatch, true},
		"unknown code":      {answerWith(503, `{"code":"busy","attempt":"a1"}`), upstream.ErrReplyLost, false},
		"refusal not JSON":  {answerWith(503, `busy`), upstream.ErrReplyLost, false},
		"unexpected status": {answerWith(500, `{"code":"shed","attempt":"a1"}`), upstream.ErrReplyLost, false},
		"null":              {answerWith(200, `null`), upstream.ErrReplyLost, false},
		"half a body":       {answerWith(200, `{"attempt":"a1","service":"s1"`), upstream.ErrReplyLost, false},
		"cut short":         {cutShort, upstream.ErrReplyLost, false},
		"too large":         {answerWith(200, strings.Repeat(" ", 5000)), upstream.ErrReplyLost, false},
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

// Guards against a request that may have run being reported as never sent,
// and the other way round.
func TestSentOrNot(t *testing.T) {
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
		t.Errorf("cancelled after the send: %v, want broken", err)
	}
	if _, err := c.Do(ctx, address, request()); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("cancelled before the send: %v, want connect", err)
	}
	short := request()
	short.Deadline = 300 * time.Millisecond
	if _, err := c.Do(t.Context(), address, short); !errors.Is(err, upstream.ErrTimeout) {
		t.Errorf("deadline after the send: %v, want timeout", err)
	}
	server.Close()
	if _, err := c.Do(t.Context(), address, request()); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("refused dial: %v, want connect", err)
	}
	c.SetConnections(address, 0)
	if _, err := c.Do(t.Context(), address, short); !errors.Is(err, upstream.ErrConnect) {
		t.Errorf("no connection allowed: %v, want connect", err)
	}
}

// dials counts connections from the begin of the dial to Close. The server's own count
// is of no use: it hears of the end of a replaced connection after it accepts the next.
type dials struct {
	mu         sync.Mutex
	open, peak int
	hold       chan struct{} // dials wait for its end if set
	began      chan struct{}
}

func (d *dials) dial(ctx context.Context, network, address string) (net.Conn, error) {
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
	return &dialled{Conn: conn, closed: sync.OnceFunc(d.closed)}, nil
}

func (d *dials) closed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

func (d *dials) setHold(hold chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold = hold
}

func (d *dials) most() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak
}

type dialled struct {
	net.Conn
	closed func()
}

func (c *dialled) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}

// Guards against more connections than the limit, also while the limit
// changes, and against a request that waits for a connection for ever.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerWith(200, `{"attempt":"a1","service":"s1"}`)(w, r)
	})
	var d dials
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
	if got := d.most(); got > 3 {
		t.Errorf("%d connections open at once, want at most 3", got)
	}
}

// Guards against one connection more than the limit while a replaced transport still
// has one: http.Transport goes on with a dial whose request was given another
// connection meanwhile.
func TestConnectionLimitWithUnusedDials(t *testing.T) {
	got := make(chan chan struct{}, 1)
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan struct{})
		got <- answer
		<-answer
		answerWith(200, `{"attempt":"a1","service":"s1"}`)(w, r)
	})
	d := dials{began: make(chan struct{}, 2)}
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
	// The first connection stays with the transport of the first limit.
	c.SetConnections(address, 2)
	send()
	first := <-got
	c.SetConnections(address, 3)
	send()
	second := <-got
	<-d.began
	<-d.began
	// The third request begins a dial and takes the second one's connection.
	hold := make(chan struct{})
	d.setHold(hold)
	send()
	<-d.began
	close(second)
	done()
	third := <-got
	// The fourth begins another.
	send()
	select {
	case <-d.began:
	case <-time.After(200 * time.Millisecond):
	}
	close(hold)
	close(third)
	done()
	close(<-got)
	done()
	close(first)
	done()
	if most := d.most(); most > 3 {
		t.Errorf("%d connections open at once, want at most 3", most)
	}
}
