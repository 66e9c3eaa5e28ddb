package httpstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

var highRate = Rate{PerSecond: 1000, Burst: 1000}

func newClient(t *testing.T, url string, change func(*Config)) *Client {
	t.Helper()
	cfg := Config{BaseURL: url, DataCentre: "bole", Reads: highRate, Writes: highRate}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func abortReply(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncateReply(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("ETag", "3")
	w.Header().Set("Content-Length", "100")
	w.Write([]byte("part"))
	panic(http.ErrAbortHandler)
}

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", "3")
		w.WriteHeader(code)
	}
}

// Guards against reporting a write that may have been applied as not applied, and vice
// versa.
func TestPutErrors(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"conflict":          {respondStatus(http.StatusConflict), objectstore.ErrConflict},
		"too large":         {respondStatus(http.StatusRequestEntityTooLarge), objectstore.ErrTooLarge},
		"rate limit":        {respondStatus(http.StatusTooManyRequests), objectstore.ErrUnavailable},
		"outage":            {respondStatus(http.StatusServiceUnavailable), objectstore.ErrUnavailable},
		"bad request":       {respondStatus(http.StatusBadRequest), objectstore.ErrUnavailable},
		"internal error":    {respondStatus(http.StatusInternalServerError), objectstore.ErrUnknownOutcome},
		"gateway timeout":   {respondStatus(http.StatusGatewayTimeout), objectstore.ErrUnknownOutcome},
		"redirect":          {respondStatus(http.StatusTemporaryRedirect), objectstore.ErrUnknownOutcome},
		"reply lost":        {abortReply, objectstore.ErrUnknownOutcome},
		"truncated reply":   {truncateReply, objectstore.ErrUnknownOutcome},
		"no version stated": {func(http.ResponseWriter, *http.Request) {}, objectstore.ErrUnknownOutcome},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, serve(t, test.handler), nil)
			o, err := c.Put(t.Context(), "a/b", 2, []byte("v"))
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if test.want == objectstore.ErrConflict && o.Version != 3 {
				t.Errorf("conflict states version %d, want 3", o.Version)
			}
		})
	}
}

// Guards against reporting a failed read as an unknown outcome, and against accepting a
// truncated body as the value.
func TestGetErrors(t *testing.T) {
	unframed := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Write([]byte("HTTP/1.1 200 OK\r\nETag: 3\r\nConnection: close\r\n\r\npart"))
		conn.Close()
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"absent":          {respondStatus(http.StatusNotFound), objectstore.ErrNotFound},
		"outage":          {respondStatus(http.StatusServiceUnavailable), objectstore.ErrUnavailable},
		"reply lost":      {abortReply, objectstore.ErrUnavailable},
		"truncated reply": {truncateReply, objectstore.ErrUnavailable},
		"no framing":      {unframed, objectstore.ErrUnavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, serve(t, test.handler), nil)
			if _, err := c.Get(t.Context(), "a"); !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against reporting a write whose context ended after the send as not applied.
func TestPutTimeoutAfterSending(t *testing.T) {
	received := make(chan struct{})
	release := make(chan struct{})
	url := serve(t, func(http.ResponseWriter, *http.Request) {
		close(received)
		<-release
	})
	defer close(release)
	c := newClient(t, url, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	if _, err := c.Put(ctx, "a", 0, []byte("v")); !errors.Is(err, objectstore.ErrUnknownOutcome) {
		t.Fatalf("error %v, want ErrUnknownOutcome", err)
	}
}

// Guards against reporting an unknown outcome after a failed dial, or if the context ended
// before the send.
func TestPutNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := "http://" + l.Addr().String()
	l.Close()
	if _, err := newClient(t, refused, nil).Put(t.Context(), "a", 0, nil); !errors.Is(err, objectstore.ErrUnavailable) {
		t.Errorf("refused dial: %v, want ErrUnavailable", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c := newClient(t, serve(t, respondStatus(http.StatusOK)), nil)
	if _, err := c.Put(ended, "a", 0, nil); !errors.Is(err, objectstore.ErrUnavailable) {
		t.Errorf("ended context: %v, want ErrUnavailable", err)
	}
}

// Guards against charging reads to the budget of writes, and against sending calls above the
// budget.
func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	calls := 0
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set("ETag", "3")
	})
	c := newClient(t, url, func(cfg *Config) {
		cfg.Reads = Rate{PerSecond: 2, Burst: 2}
		cfg.Writes = Rate{PerSecond: 1, Burst: 1}
		cfg.Now = func() time.Time { return now }
	})
	get := func() error { _, err := c.Get(t.Context(), "a"); return err }
	put := func() error { _, err := c.Put(t.Context(), "a", 0, nil); return err }
	steps := []struct {
		wait time.Duration
		call func() error
		want error
	}{
		{0, get, nil}, {0, get, nil}, {0, get, objectstore.ErrBudget}, {0, put, nil}, {0, put, objectstore.ErrBudget},
		{500 * time.Millisecond, get, nil}, {0, put, objectstore.ErrBudget}, {500 * time.Millisecond, put, nil},
	}
	for i, s := range steps {
		now = now.Add(s.wait)
		if err := s.call(); !errors.Is(err, s.want) {
			t.Fatalf("step %d: %v, want %v", i, err, s.want)
		}
	}
	if calls != 5 {
		t.Errorf("%d calls reached the platform, want 5", calls)
	}
}

// Guards against an object name whose characters change the path or the query of the URL.
func TestObjectPath(t *testing.T) {
	for name, want := range map[string]string{
		"configuration/current": "/v1/objects/configuration/current",
		"journal/a?b c%":        "/v1/objects/journal/a%3Fb%20c%25",
	} {
		if got := objectPath(name); got != want {
			t.Errorf("path of %q is %q, want %q", name, got, want)
		}
	}
}

// Guards against a host list that fails, or loses its other entries, because of one odd
// entry of another writer.
func TestOddHostCostsOnlyItself(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, odd := range []string{deep, `{"id":` + deep + `}`, `{"id":7}`, `"text"`, `{"leaving":1e999}`} {
		url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			text := `[{"id":"a","peer_address":"10.0.0.1:1"},` + odd + `,{"id":"b","peer_address":"10.0.0.2:1"}]`
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text)
		})
		hosts, err := newClient(t, url, nil).Hosts(context.Background())
		if err != nil || len(hosts) != 2 || hosts[0].ID != "a" || hosts[1].ID != "b" {
			t.Errorf("%.20s: hosts are %+v, %v, want a and b", odd, hosts, err)
		}
	}
}
