package trial

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/trial/history"
	"github.com/marigoldlever/marigoldlever/once"
)

const (
	searchContract = "search"
	payContract    = "pay"
	payService     = "ledger"
	searchGroup    = "tickets"
	// callInterval is the pause between two calls of one caller. It keeps the load far
	// below the capacity of the upstreams, so overload does not cause refusals.
	callInterval = 5 * time.Millisecond
	// callTimeout is much longer than the answer time of every contract.
	callTimeout = 5 * time.Second
	// maxSubmissions bounds how often one key is submitted.
	maxSubmissions = 4
)

// smallLayout returns a layout of a few services, each with a replica in every data
// centre. It is small enough that the speed of the test machine does not decide the
// results of tests that make daemons fail.
func smallLayout(centres ...string) layout.Layout {
	group := func(name string, services int) layout.Group {
		return layout.Group{
			Name: name, Services: services, Replicas: len(centres), Slots: 2, Connections: 25, ConnectDelay: time.Millisecond,
		}
	}
	definition := func(name, group string) contract.Contract {
		return contract.Contract{
			Name: name, Groups: []string{group}, AnswerTime: "1 second", MinimumCoverage: "1/4 whole",
			UpstreamLoad: "2 slot", Prefer: contract.PreferCoverage,
		}
	}
	return layout.Layout{
		Name: "small", Region: "region", DataCentres: centres,
		Groups:    []layout.Group{group(searchGroup, 4), group(payService, 1)},
		Contracts: []contract.Contract{definition(searchContract, searchGroup), definition(payContract, payService)},
	}
}

// traffic is a running load through all hosts of a cluster. It records the result of
// each call.
type traffic struct {
	cluster         *Cluster
	groupByService  map[string]string
	submissions     history.Log[history.Submission]
	answers         history.Log[history.AnsweredQuery]
	failuresByKind  sync.Map     // string, the kind of failure, to *atomic.Int64
	coldStarts      int          // upper bound of the unannounced cold starts of an upstream
	unansweredCalls atomic.Int64 // calls that connected to a host and got no complete answer
	stopping        atomic.Bool
	callers         sync.WaitGroup
}

// startTraffic starts the given numbers of callers of queries and of execute
// requests for each host. The traffic stops at the end of the test at the latest.
func startTraffic(t *testing.T, c *Cluster, queries, executes int) *traffic {
	t.Helper()
	f := &traffic{cluster: c, groupByService: make(map[string]string)}
	for _, r := range c.Options.Layout.Replicas(netip.MustParseAddrPort(firstUpstreamAddress)) {
		f.groupByService[r.Service] = r.Group
	}
	for i, address := range c.Addresses("") {
		for n := range queries {
			f.startCaller(func() { f.query(address, fmt.Sprintf("q%d.%d", i, n)) })
		}
		for n := range executes {
			f.startCaller(func() { f.execute(address, fmt.Sprintf("e%d.%d", i, n)) })
		}
	}
	t.Cleanup(f.stop)
	return f
}

// startCaller runs loop, which must return when the traffic stops.
func (f *traffic) startCaller(loop func()) {
	f.callers.Add(1)
	go func() {
		defer f.callers.Done()
		loop()
	}()
}

func (f *traffic) stop() {
	f.stopping.Store(true)
	f.callers.Wait()
}

// query sends queries to one host while it is ready.
func (f *traffic) query(address, name string) {
	client := api.NewClient(address, 1)
	defer client.Close()
	for n := 0; !f.stopping.Load(); n++ {
		value := fmt.Sprintf("%s-%d", name, n)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		if !client.Ready(ctx) {
			cancel()
			time.Sleep(callInterval)
			continue
		}
		answer, err := client.Query(ctx, api.QueryRequest{Contract: searchContract, Request: history.RequestBody(value)})
		cancel()
		if err == nil {
			f.answers.Add(history.AnsweredQuery{Value: value, Answer: answer, GroupByService: f.groupByService})
		} else {
			f.recordFailure(err)
		}
		time.Sleep(callInterval)
	}
}

// recordFailure counts a failed call by its kind and returns whether the request may
// have run.
func (f *traffic) recordFailure(err error) api.Run {
	kind, run := "no complete answer", api.MayHaveRun
	var problem *api.Problem
	switch {
	case errors.As(err, &problem):
		kind, run = string(problem.Kind), problem.Run
	case notSent(err):
		kind, run = "not connected", api.NotRun
	default:
		f.unansweredCalls.Add(1)
	}
	count, _ := f.failuresByKind.LoadOrStore(kind, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	return run
}

// execute sends execute requests, the first submission of each to the host with the
// address if it is ready.
func (f *traffic) execute(address, name string) {
	clients := make([]*api.Client, 0, len(f.cluster.Hosts)+1)
	for _, a := range append([]string{address}, f.cluster.Addresses("")...) {
		client := api.NewClient(a, 1)
		defer client.Close()
		clients = append(clients, client)
	}
	for n := 0; !f.stopping.Load(); n++ {
		f.submit(clients, fmt.Sprintf("%s-%d", name, n), n)
		time.Sleep(callInterval)
	}
}

// submit submits one request until it is answered with ran, at most maxSubmissions
// times, through different hosts as a caller behind a load balancer does. sequence is
// the number of the request; the order of the hosts depends on it.
func (f *traffic) submit(clients []*api.Client, value string, sequence int) {
	key := once.NewKey(time.Now(), uuid.NewString())
	for n := range maxSubmissions {
		client := f.pickReady(clients, n*(sequence+1))
		if f.submitOnce(client, key, value, n+1).Run == api.Ran {
			return
		}
	}
}

// pickReady returns the first ready client from index on, as a load balancer does,
// or the client at the index if none is ready.
func (f *traffic) pickReady(clients []*api.Client, index int) *api.Client {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for i := range clients {
		if client := clients[(index+i)%len(clients)]; client.Ready(ctx) {
			return client
		}
	}
	return clients[index%len(clients)]
}

func (f *traffic) submitOnce(client *api.Client, key, value string, number int) history.Submission {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s := history.Submission{Key: key, Value: value, Number: number, Span: history.Span{Start: time.Now()}}
	answer, err := client.Execute(ctx, api.ExecuteRequest{
		Contract: payContract, Service: payService, Request: history.RequestBody(value), Key: key, SubmissionNumber: number,
	})
	s.End = time.Now()
	if err != nil {
		s.Run = f.recordFailure(err)
		if number > 1 && notSent(err) {
			// No daemon received this submission, so its failure does not tell
			// whether an earlier submission of the key runs.
			s.Run = api.MayHaveRun
		}
	} else {
		s.Run = answer.Run
		s.Slip, s.Echo = history.ReadSlip(answer.Result)
	}
	f.submissions.Add(s)
	return s
}

// notSent reports whether the connection failed before the request was sent.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// check reports violations of the invariants that hold under every fault, and logs a
// summary of the results.
func (f *traffic) check(t *testing.T) {
	t.Helper()
	records := f.cluster.Records()
	runs := history.RunsByKey(records)
	submissions := f.submissions.Entries()
	reportViolations(t, history.CheckKeys(submissions, runs))
	reportViolations(t, history.CheckKeyLinearizability(submissions))
	for _, a := range f.answers.Entries() {
		reportViolations(t, history.CheckAnswer(a))
	}
	outcomes := make(map[api.Run]int)
	for _, s := range submissions {
		outcomes[s.Run]++
	}
	failuresByKind := make(map[string]int64)
	f.failuresByKind.Range(func(kind, n any) bool {
		failuresByKind[kind.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	t.Logf("answers %d, submissions %v, runs %d, failures %v", len(f.answers.Entries()), outcomes, len(runs), failuresByKind)
}

// checkLoad reports load beyond the capacity of the upstreams.
func (f *traffic) checkLoad(t *testing.T) {
	t.Helper()
	reportViolations(t, history.CheckLoad(f.cluster.Records(), f.coldStarts))
}

// maxReported is the maximum number of violations that one check prints.
const maxReported = 5

func reportViolations(t *testing.T, found []history.Violation) {
	t.Helper()
	for i, v := range found {
		if i == maxReported {
			t.Errorf("and %d more violations", len(found)-i)
			return
		}
		t.Error(v)
	}
}

// awaitIncrease waits until count has risen by n. Tests wait for events and not for
// a fixed time, as the speed of the machine varies.
func awaitIncrease(t *testing.T, what string, n int, count func() int) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for from := count(); count() < from+n; time.Sleep(callInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%s rose by %d in %s, want %d", what, count()-from, startTimeout, n)
		}
	}
}

func (f *traffic) awaitAnswers(t *testing.T, n int) {
	t.Helper()
	awaitIncrease(t, "answers", n, func() int { return len(f.answers.Entries()) })
}

func (f *traffic) awaitSubmissions(t *testing.T, n int) {
	t.Helper()
	awaitIncrease(t, "submissions", n, func() int { return len(f.submissions.Entries()) })
}

// Platform faults that several tests use.
var (
	platformOutage   = platformstandin.Faults{Outage: true}
	noPlatformFaults = platformstandin.Faults{}
)

// shortPlatformTimeout shortens the waits of a data centre as far as the settings
// allow: it reduces the platform timeout.
func shortPlatformTimeout(s *settings.Settings) {
	s.Platform.Timeout = 500 * time.Millisecond
}
