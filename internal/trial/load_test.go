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
	// callPause is the time between two calls of one caller. The load stays far
	// below what the upstreams can serve, so that refusals have other causes.
	callPause = 5 * time.Millisecond
	// callTimeout is far above every contract's answer time.
	callTimeout = 5 * time.Second
	// maxSubmissions bounds how often one key is submitted.
	maxSubmissions = 4
)

// smallLayout is a layout of a few services, each with a replica in every data
// centre, so that the failures of whole daemons are tested and not the machine.
func smallLayout(centres ...string) layout.Layout {
	group := func(name string, services int) layout.Group {
		return layout.Group{
			Name: name, Services: services, Replicas: len(centres), Slots: 2, Connections: 25, ConnectCost: time.Millisecond,
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

// traffic is a running load through all hosts of a cluster. It notes what each
// caller got.
type traffic struct {
	cluster     *Cluster
	groupOf     map[string]string
	submissions history.Log[history.Submission]
	answers     history.Log[history.AnsweredQuery]
	refused     sync.Map     // kind of problem to *atomic.Int64
	coldStarts  int          // unannounced, of every upstream at most
	broken      atomic.Int64 // calls to a ready host whose connection broke
	stopping    atomic.Bool
	wait        sync.WaitGroup
}

// startTraffic starts callers of queries and of execute requests at each host
// address. It is stopped at the end of the test at the latest.
func startTraffic(t *testing.T, c *Cluster, queries, executes int) *traffic {
	t.Helper()
	f := &traffic{cluster: c, groupOf: make(map[string]string)}
	for _, r := range c.Options.Layout.Replicas(netip.MustParseAddrPort(firstUpstream)) {
		f.groupOf[r.Service] = r.Group
	}
	for i, address := range c.Addresses("") {
		for n := range queries {
			f.caller(func() { f.query(address, fmt.Sprintf("q%d.%d", i, n)) })
		}
		for n := range executes {
			f.caller(func() { f.execute(address, fmt.Sprintf("e%d.%d", i, n)) })
		}
	}
	t.Cleanup(f.stop)
	return f
}

// caller calls repeatedly until the traffic stops.
func (f *traffic) caller(loop func()) {
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		loop()
	}()
}

func (f *traffic) stop() {
	f.stopping.Store(true)
	f.wait.Wait()
}

func (f *traffic) query(address, name string) {
	client := api.NewClient(address, 1)
	defer client.Close()
	for n := 0; !f.stopping.Load(); n++ {
		value := fmt.Sprintf("%s-%d", name, n)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		if !client.Ready(ctx) {
			cancel()
			time.Sleep(callPause)
			continue
		}
		answer, err := client.Query(ctx, api.QueryRequest{Contract: searchContract, Request: history.RequestBody(value)})
		cancel()
		if err == nil {
			f.answers.Add(history.AnsweredQuery{Value: value, Answer: answer, GroupByService: f.groupOf})
		} else {
			f.refuse(err)
		}
		time.Sleep(callPause)
	}
}

// refuse counts a refusal by its kind.
func (f *traffic) refuse(err error) api.Run {
	kind, run := "connection", api.MayHaveRun
	var problem *api.Problem
	switch {
	case errors.As(err, &problem):
		kind, run = string(problem.Kind), problem.Run
	case notSent(err):
		kind, run = "not connected", api.NotRun
	default:
		f.broken.Add(1)
	}
	count, _ := f.refused.LoadOrStore(kind, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	return run
}

func (f *traffic) execute(address, name string) {
	clients := make([]*api.Client, 0, len(f.cluster.Hosts)+1)
	for _, a := range append([]string{address}, f.cluster.Addresses("")...) {
		client := api.NewClient(a, 1)
		defer client.Close()
		clients = append(clients, client)
	}
	for n := 0; !f.stopping.Load(); n++ {
		f.submit(clients, fmt.Sprintf("%s-%d", name, n), n)
		time.Sleep(callPause)
	}
}

// submit sends one request until its outcome is ran, through another host each
// time, as a caller whose balancer moves it does.
func (f *traffic) submit(clients []*api.Client, value string, turn int) {
	key := once.NewKey(time.Now(), uuid.NewString())
	for n := range maxSubmissions {
		client := f.readyOf(clients, n*(turn+1))
		if f.submitOnce(client, key, value, n+1).Run == api.Ran {
			return
		}
	}
}

// readyOf returns the first ready client from index on, as a balancer does, or the
// one at the index if none is.
func (f *traffic) readyOf(clients []*api.Client, index int) *api.Client {
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
		s.Run = f.refuse(err)
		if number > 1 && notSent(err) {
			// No daemon answered: that this submission did not run says nothing of
			// the earlier ones of its key.
			s.Run = api.MayHaveRun
		}
	} else {
		s.Run = answer.Run
		s.Slip, s.Echo = history.ReadSlip(answer.Result)
	}
	f.submissions.Add(s)
	return s
}

// notSent reports whether the request can't have reached a daemon.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// check reports the violations of every invariant that holds under any failure,
// and what the callers got.
func (f *traffic) check(t *testing.T) {
	t.Helper()
	records := f.cluster.Records()
	runs := history.RunsByKey(records)
	submissions := f.submissions.Entries()
	report(t, history.CheckKeys(submissions, runs))
	report(t, history.CheckKeyLinearizability(submissions))
	for _, a := range f.answers.Entries() {
		report(t, history.CheckAnswer(a))
	}
	outcomes := make(map[api.Run]int)
	for _, s := range submissions {
		outcomes[s.Run]++
	}
	refused := make(map[string]int64)
	f.refused.Range(func(kind, n any) bool {
		refused[kind.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	t.Logf("answers %d, submissions %v, runs %d, refusals %v", len(f.answers.Entries()), outcomes, len(runs), refused)
}

// checkLoad reports what upstreams were sent beyond what they can bear.
func (f *traffic) checkLoad(t *testing.T) {
	t.Helper()
	report(t, history.CheckLoad(f.cluster.Records(), f.coldStarts))
}

// maxReported bounds how many violations one test prints.
const maxReported = 5

func report(t *testing.T, found []history.Violation) {
	t.Helper()
	for i, v := range found {
		if i == maxReported {
			t.Errorf("and %d more", len(found)-i)
			return
		}
		t.Error(v)
	}
}

// awaitMore waits until count has risen by n: the tests wait for what happened
// and not for a time.
func awaitMore(t *testing.T, what string, n int, count func() int) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for from := count(); count() < from+n; time.Sleep(callPause) {
		if time.Now().After(deadline) {
			t.Fatalf("%s rose by %d in %s, want %d", what, count()-from, startTimeout, n)
		}
	}
}

func (f *traffic) awaitAnswers(t *testing.T, n int) {
	t.Helper()
	awaitMore(t, "answers", n, func() int { return len(f.answers.Entries()) })
}

func (f *traffic) awaitSubmissions(t *testing.T, n int) {
	t.Helper()
	awaitMore(t, "submissions", n, func() int { return len(f.submissions.Entries()) })
}

// Platform faults of several tests.
var (
	outageFaults  = platformstandin.Faults{Outage: true}
	healthyFaults = platformstandin.Faults{}
)

// quickHosts shortens what decides how long a data centre waits, as far as the
// settings allow.
func quickHosts(s *settings.Settings) {
	s.Platform.Timeout = 500 * time.Millisecond
}
