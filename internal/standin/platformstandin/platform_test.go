package platformstandin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/objectstore/httpstore"
)

// platformClient is the common interface of the HTTP client and Direct.
type platformClient interface {
	objectstore.Store
	objectstore.HostList
}

// runWithEachClient runs the test in process and over HTTP, because both must behave the
// same.
func runWithEachClient(t *testing.T, run func(t *testing.T, p *Platform, client func(dataCentre string) platformClient)) {
	t.Run("direct", func(t *testing.T) {
		p := New(1, Faults{})
		run(t, p, func(dataCentre string) platformClient { return p.Direct(dataCentre) })
	})
	t.Run("http", func(t *testing.T) {
		p := New(1, Faults{})
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		run(t, p, func(dataCentre string) platformClient {
			rate := httpstore.Rate{PerSecond: 1e6, Burst: 1e6}
			c, err := httpstore.New(httpstore.Config{
				BaseURL: server.URL, DataCentre: dataCentre, Reads: rate, Writes: rate,
				WatchWait: 20 * time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			return c
		})
	})
}

func wantError(t *testing.T, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: error %v, want %v", what, err, want)
	}
}

// Guards against an update that is accepted with a stale base, and against a conflict
// that does not return the current version.
func TestConditionalUpdate(t *testing.T) {
	runWithEachClient(t, func(t *testing.T, p *Platform, client func(string) platformClient) {
		s := client("bole")
		_, err := s.Get(t.Context(), "a/b")
		wantError(t, "absent", err, objectstore.ErrNotFound)
		o, err := s.Put(t.Context(), "a/b", 0, []byte("one"))
		if err != nil || o.Version != 1 {
			t.Fatalf("create: %+v, %v", o, err)
		}
		o, err = s.Put(t.Context(), "a/b", 0, []byte("two"))
		wantError(t, "stale base", err, objectstore.ErrConflict)
		if o.Version != 1 {
			t.Errorf("conflict returned version %d, want 1", o.Version)
		}
		_, err = s.Put(t.Context(), "a/b", 1, make([]byte, objectstore.MaxValueBytes+1))
		wantError(t, "large value", err, objectstore.ErrTooLarge)
		o, err = s.Get(t.Context(), "a/b")
		if err != nil || string(o.Value) != "one" || o.Version != 1 || o.Name != "a/b" {
			t.Errorf("read back %+v, %v", o, err)
		}
		if h := p.HistoryOf("a/b"); len(h) != 1 || h[0].DataCentre != "bole" || string(h[0].Value) != "one" {
			t.Errorf("history %+v", h)
		}
	})
}

// Guards against a client that reports an unknown outcome as a failure or the reverse, and
// against a lost response to a write that was not applied.
func TestFaults(t *testing.T) {
	runWithEachClient(t, func(t *testing.T, p *Platform, client func(string) platformClient) {
		s := client("bole")
		put := func(base uint64) error { _, err := s.Put(t.Context(), "a", base, []byte("v")); return err }
		get := func() error { _, err := s.Get(t.Context(), "a"); return err }
		p.SetFaults(Faults{Outage: true})
		wantError(t, "put in outage", put(0), objectstore.ErrUnavailable)
		wantError(t, "get in outage", get(), objectstore.ErrUnavailable)
		p.SetFaults(Faults{LoseNextResponses: 1, LoseResponsePrefix: "a"})
		wantError(t, "lost response", put(0), objectstore.ErrUnknownOutcome)
		wantError(t, "repeat of the applied write", put(0), objectstore.ErrConflict)
		p.SetFaults(Faults{Cut: []string{"bole"}})
		wantError(t, "put while cut", put(1), objectstore.ErrUnknownOutcome)
		wantError(t, "get while cut", get(), objectstore.ErrUnavailable)
		if _, err := client("kality").Put(t.Context(), "a", 1, nil); err != nil {
			t.Errorf("put from a data centre that is not cut: %v", err)
		}
		if n := len(p.HistoryOf("a")); n != 2 {
			t.Errorf("%d accepted writes, want 2", n)
		}
	})
}

// Guards against a platform that accepts more calls than its rate limit, or that counts
// reads as writes.
func TestCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1, Faults{WritesPerSecond: 2, ReadsPerSecond: 1})
		s := p.Direct("bole")
		for second := range 3 {
			for _, want := range []error{nil, objectstore.ErrConflict, objectstore.ErrUnavailable} {
				_, err := s.Put(t.Context(), "a", uint64(second), nil)
				wantError(t, "put", err, want)
			}
			_, err := s.Get(t.Context(), "a")
			wantError(t, "get within the rate limit", err, nil)
			_, err = s.Hosts(t.Context())
			wantError(t, "host list over the rate limit", err, objectstore.ErrUnavailable)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a watch that misses a change, returns without a change, or reports that
// nothing changed when a fault ended it.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1, Faults{})
		s := p.Direct("bole")
		type result struct {
			o   objectstore.Object
			err error
		}
		watch := func(after uint64) <-chan result {
			c := make(chan result, 1)
			go func() {
				o, err := s.Watch(context.Background(), "a", after)
				c <- result{o, err}
			}()
			synctest.Wait()
			return c
		}
		created := watch(0)
		s.Put(t.Context(), "other", 0, nil)
		s.Put(t.Context(), "a", 0, []byte("v"))
		if r := <-created; r.err != nil || r.o.Version != 1 {
			t.Errorf("creation: %+v", r)
		}
		start := time.Now()
		wantError(t, "no change", (<-watch(1)).err, objectstore.ErrTimeout)
		if got := time.Since(start); got != directWatchWait {
			t.Errorf("watch without a change took %v", got)
		}
		cut := watch(1)
		p.ChangeFaults(func(f *Faults) { f.Cut = []string{"bole"} })
		wantError(t, "cut", (<-cut).err, objectstore.ErrUnavailable)
		p.SetFaults(Faults{})
		outage := watch(1)
		p.SetFaults(Faults{Outage: true})
		wantError(t, "outage", (<-outage).err, objectstore.ErrUnavailable)
	})
}

// Guards against delays and holds that act at the wrong time: the change of a call must be
// visible while its response is delayed, and must not be applied while the call is held.
func TestSlowAndHeldCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1, Faults{DelayAfterMS: 1000})
		s := p.Direct("bole")
		late := make(chan error, 1)
		go func() { _, err := s.Put(context.Background(), "a", 0, nil); late <- err }()
		synctest.Wait()
		if len(p.History()) != 1 {
			t.Error("the change is not applied while its response is delayed")
		}
		p.ChangeFaults(func(f *Faults) { f.Cut = []string{"bole"}; f.CutHangs = true })
		wantError(t, "cut while the response is delayed", <-late, objectstore.ErrUnknownOutcome)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Put(ctx, "a", 1, nil)
		wantError(t, "held call", err, objectstore.ErrUnknownOutcome)
		if len(p.History()) != 1 {
			t.Error("a held call was applied")
		}
	})
}

// Guards against a stand-in in which a write can't take effect after its caller timed
// out. Trials would then not detect a client that reads the object back too early.
func TestLateWrites(t *testing.T) {
	runWithEachClient(t, func(t *testing.T, p *Platform, client func(string) platformClient) {
		s := client("bole")
		p.SetFaults(Faults{Hang: true, LateWrites: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for p.Counts().Writes == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err := s.Put(ctx, "a", 0, nil)
		wantError(t, "held write", err, objectstore.ErrUnknownOutcome)
		if len(p.History()) != 0 {
			t.Fatal("a held write was applied")
		}
		p.SetFaults(Faults{})
		if o, err := s.Watch(t.Context(), "a", 0); err != nil || o.Version != 1 {
			t.Errorf("after the write was released: %+v, %v", o, err)
		}
	})
}

// Guards against a host list without the configured lag. Trials would then not detect
// faults that an out-of-date list causes.
func TestHostListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1, Faults{HostListLagMS: 5000})
		s := p.Direct("bole")
		if err := s.Register(t.Context(), objectstore.Host{ID: "h1", Role: objectstore.RoleEntry}); err != nil {
			t.Fatal(err)
		}
		if hosts, _ := s.Hosts(t.Context()); len(hosts) != 0 {
			t.Errorf("list shows %v before the lag has passed", hosts)
		}
		time.Sleep(5 * time.Second)
		if hosts, _ := s.Hosts(t.Context()); len(hosts) != 1 {
			t.Errorf("list shows %v after the lag", hosts)
		}
		s.Deregister(t.Context(), "h1")
		if hosts, _ := s.Hosts(t.Context()); len(hosts) != 1 || len(p.CurrentHosts()) != 0 {
			t.Errorf("after removal, the list shows %v and the current list %v", hosts, p.CurrentHosts())
		}
	})
}

// Guards against an admin API that accepts a misspelt fault.
func TestAdminRejectsUnknownFault(t *testing.T) {
	p := New(1, Faults{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	put := func(body string) int {
		req, _ := http.NewRequest(http.MethodPut, server.URL+"/admin/faults", strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if code := put(`{"outage":true,"cut":["bole"]}`); code != http.StatusOK || !p.Faults().Outage {
		t.Errorf("status %d, faults %+v", code, p.Faults())
	}
	if code := put(`{"outrage":true}`); code != http.StatusBadRequest {
		t.Errorf("misspelt fault: status %d", code)
	}
}
