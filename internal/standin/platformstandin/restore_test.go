package platformstandin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Guards against trials in which a restored platform keeps what it should have lost, loses what it
// had before, or gives out no version again.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1, Faults{})
		s := p.Direct("bole")
		put := func(base uint64, value string) {
			t.Helper()
			if o, err := s.Put(t.Context(), "a", base, []byte(value)); err != nil || o.Version != base+1 {
				t.Fatalf("put after version %d: %+v, %v", base, o, err)
			}
		}
		put(0, "kept")
		p.SetHost(objectstore.Host{ID: "kept"})
		for range 2 { // the second copy is of the first era after its restore
			time.Sleep(time.Minute)
			put(1, "lost")
			put(2, "lost too")
			p.SetHost(objectstore.Host{ID: "lost"})
			time.Sleep(time.Second)
			if _, err := p.Restore(30 * time.Second); err != nil {
				t.Fatal(err)
			}
			if o, err := s.Get(t.Context(), "a"); err != nil || o.Version != 1 || string(o.Value) != "kept" {
				t.Errorf("after the restore: %+v, %v", o, err)
			}
			if hosts := p.CurrentHosts(); len(hosts) != 1 || hosts[0].ID != "kept" {
				t.Errorf("hosts after the restore are %v", hosts)
			}
		}
		if p.Era() != 3 || len(p.HistoryOf("a")) != 5 {
			t.Errorf("era %d after two restores, %d writes in the history", p.Era(), len(p.HistoryOf("a")))
		}
	})
}

// Guards against answers that don't tell the era, or tell the one of when the call came.
func TestAnswersTellTheEra(t *testing.T) {
	p := New(1, Faults{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	call := func(method, path string) *http.Response {
		t.Helper()
		request, err := http.NewRequest(method, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response
	}
	if r := call(http.MethodGet, "/v1/objects/a"); r.StatusCode != http.StatusNotFound || r.Header.Get(headerEra) != "1" {
		t.Errorf("status %d of era %q, want 404 of era 1", r.StatusCode, r.Header.Get(headerEra))
	}
	if r := call(http.MethodPost, "/admin/restore?age_ms=soon"); r.StatusCode != http.StatusBadRequest {
		t.Errorf("a malformed age got status %d", r.StatusCode)
	}
	waiting := make(chan *http.Response, 1)
	go func() { waiting <- call(http.MethodGet, "/v1/objects/a?after=0&wait_ms=500") }()
	time.Sleep(100 * time.Millisecond)
	if r := call(http.MethodPost, "/admin/restore?age_ms=1000"); r.StatusCode != http.StatusOK {
		t.Errorf("the restore got status %d", r.StatusCode)
	}
	if r := <-waiting; r.Header.Get(headerEra) != "2" {
		t.Errorf("the watch was answered in era %q, want 2", r.Header.Get(headerEra))
	}
	if r := call(http.MethodGet, "/v1/hosts"); r.StatusCode != http.StatusOK || r.Header.Get(headerEra) != "2" {
		t.Errorf("status %d of era %q, want 200 of era 2", r.StatusCode, r.Header.Get(headerEra))
	}
}
