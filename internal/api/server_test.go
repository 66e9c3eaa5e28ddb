package api

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// blockingService answers a query after release is closed.
type blockingService struct {
	Service
	started, release chan struct{}
}

func (s *blockingService) Query(context.Context, QueryRequest) (Answer, error) {
	s.started <- struct{}{}
	<-s.release
	return Answer{Snapshot: 7}, nil
}

func newTestServer(service Service) http.Handler {
	limits := Limits{BodyBytes: 1024, ConcurrentRequests: 1, Connections: 1, Memory: membudget.New(1 << 20), HeaderTimeout: time.Second, BodyTimeout: time.Second, LongestDeadline: time.Second}
	return NewServer(service, limits, metrics.NewRegistry()).routes()
}

func post(h http.Handler, path, body string, header map[string]string) (int, Problem) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var p Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p
}

// Guards against invalid input that crashes a daemon, is partly accepted, or is refused
// without a typed problem. Also guards against a refusal with not_run for a resend whose
// journal was not read.
func TestInvalidRequestsGetTypedProblems(t *testing.T) {
	h := newTestServer(&blockingService{})
	resend := map[string]string{HeaderIdempotencyKey: "1-abcdefgh"}
	first := map[string]string{HeaderIdempotencyKey: "1-abcdefgh", HeaderSubmissionNumber: "1"}
	for _, test := range []struct {
		name, path, body string
		header           map[string]string
		kind             Kind
		run              Run
	}{
		{"invalid JSON", "/v1/query", "{", nil, KindInvalidRequest, NotRun},
		{"unknown field", "/v1/query", `{"contrct":"a"}`, nil, KindInvalidRequest, NotRun},
		{"two JSON values", "/v1/query", `{"contract":"a"}{}`, nil, KindInvalidRequest, NotRun},
		{"body too large", "/v1/query", `{"contract":"` + strings.Repeat("a", 2000) + `"}`, nil, KindBodyTooLarge, NotRun},
		{"body that is not UTF-8", "/v1/query", `{"contract":"a","request":"` + "\xe9" + `"}`, nil, KindInvalidRequest, NotRun},
		{"missing idempotency key", "/v1/execute", `{}`, nil, KindInvalidRequest, NotRun},
		{"resend without submission number", "/v1/execute", `{`, resend, KindInvalidRequest, MayHaveRun},
		{"first submission", "/v1/execute", `{`, first, KindInvalidRequest, NotRun},
		{"unknown path", "/v1/nothing", `{}`, nil, KindNotFound, NotRun},
	} {
		status, p := post(h, test.path, test.body, test.header)
		if status < 400 || status >= 500 || p.Kind != test.kind || p.Run != test.run {
			t.Errorf("%s: status %d, kind %q, run %q", test.name, status, p.Kind, p.Run)
		}
	}
}

// Guards against requests above the concurrency limit that wait instead of being
// refused immediately.
func TestConcurrencyLimitRefusesImmediately(t *testing.T) {
	s := &blockingService{started: make(chan struct{}), release: make(chan struct{})}
	h := newTestServer(s)
	done := make(chan int, 1)
	go func() {
		status, _ := post(h, "/v1/query", `{"contract":"a"}`, nil)
		done <- status
	}()
	<-s.started
	if status, p := post(h, "/v1/query", `{"contract":"a"}`, nil); status != http.StatusTooManyRequests || p.Kind != KindOverloaded || p.RetryAfterMS == 0 {
		t.Errorf("second request: status %d, %+v", status, p)
	}
	close(s.release)
	if status := <-done; status != http.StatusOK {
		t.Errorf("first request: status %d", status)
	}
}

// Guards against bodies that together take the memory of a host, of patches as well: a request
// whose body finds none left is refused and may come back. The memory is held until the answer.
func TestBodiesShareMemory(t *testing.T) {
	const bodyBytes = 60 << 10
	service := &blockingService{started: make(chan struct{}), release: make(chan struct{})}
	limits := Limits{BodyBytes: 1 << 20, ConcurrentRequests: 10, Connections: 1, Memory: membudget.New(100 << 10), HeaderTimeout: time.Second, BodyTimeout: time.Second, LongestDeadline: time.Second}
	h := NewServer(service, limits, metrics.NewRegistry()).routes()
	large := `{"contract":"` + strings.Repeat("a", bodyBytes) + `"}`
	done := make(chan int, 2)
	ask := func(body string) {
		status, _ := post(h, "/v1/query", body, nil)
		done <- status
	}
	go ask(large)
	<-service.started
	for _, path := range []string{"/v1/query", "/v1/execute", "/v1/configuration/patches"} {
		if status, p := post(h, path, large, nil); status != http.StatusTooManyRequests || p.Kind != KindOverloaded || p.RetryAfterMS == 0 || p.Run != NotRun {
			t.Errorf("%s without memory left: status %d, %+v", path, status, p)
		}
	}
	go ask(`{"contract":"a"}`)
	<-service.started // a small body needs no memory of the budget
	close(service.release)
	for range cap(done) {
		if status := <-done; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if !limits.Memory.Reserve(100 << 10) {
		t.Error("memory is still held after the answers")
	}
}

// Guards against bodies that stop short of their end and hold all slots for requests: the one
// that has been incomplete for longest gives way, and has not run.
func TestIncompleteBodyGivesItsSlotBack(t *testing.T) {
	limits := Limits{BodyBytes: 1024, ConcurrentRequests: 1, Connections: 10, Memory: membudget.New(1 << 20),
		HeaderTimeout: time.Minute, BodyTimeout: time.Minute, LongestDeadline: time.Minute}
	answering := &blockingService{started: make(chan struct{}, 1), release: make(chan struct{})}
	close(answering.release)
	s := NewServer(answering, limits, metrics.NewRegistry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }() // ends with the test
	t.Cleanup(func() { s.http.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	client := NewClient(l.Addr().String(), 1)
	defer client.Close()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, err := client.Query(t.Context(), QueryRequest{Contract: "c", Request: []byte(`{}`)})
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("an incomplete body keeps the only slot: %v", err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var p Problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil || p.Kind != KindOverloaded || p.Run != NotRun {
		t.Errorf("the incomplete request got %+v, %v", p, err)
	}
}
