package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/quota"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// quotaTick is the interval between checks of what is due.
	quotaTick = 50 * time.Millisecond
	// borrowTimeout is the timeout of a call for tokens, and borrowRetryDelay the wait after a
	// failed one.
	borrowTimeout    = 150 * time.Millisecond
	borrowRetryDelay = 20 * time.Millisecond
	// quotaWaitShare of its latency goal is how long a request waits for a token, within
	// minQuotaWait and maxQuotaWait.
	quotaWaitShare = 0.5
	minQuotaWait   = 20 * time.Millisecond
	maxQuotaWait   = 400 * time.Millisecond
	// joinTime is how long it takes until all hosts have read a list with a new host on it, some
	// seconds more than the longest of hostListIntervals.
	joinTime = 25 * time.Second
	// overQuotaEnd is the time without a refusal after which an account is no longer over its
	// quota, for the log.
	overQuotaEnd = 3 * time.Second
)

// Methods of the calls between hosts about quotas.
const (
	methodClaim  = "quota.claim"
	methodRelay  = "quota.relay"
	methodBorrow = "quota.borrow"
)

// quotas keeps the quotas of client accounts. It guards a quota.Lender and a quota.Borrower, and
// carries their messages.
type quotas struct {
	entry *Entry
	node  *peer.Node
	self  string

	mu          sync.Mutex
	dataCentres map[string]string // by the host's address
	lender      *quota.Lender
	borrower    *quota.Borrower
	lastRequest uint64
	// waiting holds the requests that wait for a token. The channels have room for the outcome.
	waiting map[uint64]chan quota.Outcome
	// over holds the accounts over their quota, as far as this host lends their tokens.
	over    map[string]*overQuota
	lending bool // as logged last
	stopped bool // this host stops, and lends no more
	// needed is closed when a version of the configuration has quotas.
	needed     chan struct{}
	markNeeded func()

	admitted, refused, unknown, borrowed, lent metrics.Counter
	shares, buckets                            metrics.Gauge
}

// overQuota is a time in which an account is over its quota.
type overQuota struct {
	refused int       // requests since the first refusal
	last    time.Time // of the last refusal
}

// EnableQuotas makes the entry keep the quotas of client accounts, together with the other hosts.
// It must be called before Run, and before the node listens.
func (e *Entry) EnableQuotas(node *peer.Node) {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("quota."+name, e.metrics.registry)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("quota."+name, e.metrics.registry)
	}
	bounds, needed := e.bounds.Load().Quota, make(chan struct{})
	q := &quotas{
		entry: e, node: node, self: e.settings.PeerAddress,
		lender:   quota.NewLender(bootTime(), e.settings.PeerAddress, rand.Uint64(), bounds),
		borrower: quota.NewBorrower(bounds),
		waiting:  map[uint64]chan quota.Outcome{}, over: map[string]*overQuota{},
		needed: needed, markNeeded: sync.OnceFunc(func() { close(needed) }),
		admitted: counter("admitted"), refused: counter("refused"), unknown: counter("unknown"), borrowed: counter("borrowed"), lent: counter("lent"),
		shares: gauge("shares"), buckets: gauge("buckets"),
	}
	node.Handle(methodClaim, q.handleClaim)
	node.Handle(methodRelay, q.handleRelay)
	node.Handle(methodBorrow, q.handleBorrow)
	e.quotas = q
}

// bootTime returns the time on a clock that goes on while the host is suspended and is never set.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(t.Unix())
}

// setBounds applies new bounds.
func (q *quotas) setBounds(bounds quota.Bounds) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.SetBounds(bounds)
	q.borrower.SetBounds(bounds)
}

// setHosts applies a new list of all hosts.
func (q *quotas) setHosts(list []watchers.Host) {
	if q == nil {
		return
	}
	hosts, dataCentres := make([]quota.Host, len(list)), make(map[string]string, len(list))
	for i, h := range list {
		hosts[i] = quota.Host{Address: h.Address, Cores: h.Cores}
		dataCentres[h.Address] = h.DataCentre
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dataCentres = dataCentres
	q.lender.SetHosts(hosts)
}

// join tells the lender that this host is new on the list of hosts. When all hosts are new, none has a list
// without the others, and there is nothing to wait for.
func (q *quotas) join() {
	if q == nil || q.entry.settings.FirstStart {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.Join(bootTime(), joinTime)
}

// charge takes a token of the quota of a request's account. It returns the answer and true if the
// request is refused.
func (q *quotas) charge(ctx context.Context, out *outcome, route *routing.Route, latencyGoal time.Duration) (answer, bool) {
	if q == nil || out.account == nil || !out.account.HasQuota() {
		return answer{}, false
	}
	maxWait := min(max(time.Duration(quotaWaitShare*float64(latencyGoal)), minQuotaWait), maxQuotaWait)
	result := q.request(ctx, out.account.Name, maxWait)
	switch result.Verdict {
	case quota.Admitted:
		q.admitted.Inc(1)
		out.tokenUntil = result.UsableUntil
		return answer{}, false
	case quota.OverQuota:
		q.refused.Inc(1)
		// Callers that are refused together come back at different times.
		retryAfter := result.RoomIn + time.Duration(rand.Float64()*float64(result.Spread))
		return refusal(verdictOverQuota, retryAfter, "the request has not run: the account is over its quota"), true
	}
	q.unknown.Inc(1)
	q.mu.Lock()
	vacancy := q.lender.Vacancy(bootTime())
	q.mu.Unlock()
	return out.refuseUnsent(route, max(vacancy, refusedRetryAfter(route)), "no host lends tokens of the account's quota at the moment"), true
}

// request returns the outcome of a request. It is quota.Wait if it isn't known after maxWait.
func (q *quotas) request(ctx context.Context, account string, maxWait time.Duration) quota.Outcome {
	q.mu.Lock()
	q.lastRequest++
	id := q.lastRequest
	result, ask, send := q.borrower.Request(bootTime(), account, id)
	verdict := make(chan quota.Outcome, 1)
	if result.Verdict == quota.Wait {
		q.waiting[id] = verdict
	}
	q.mu.Unlock()
	if send {
		go q.borrow(ask)
	}
	if result.Verdict != quota.Wait {
		return result
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case result = <-verdict:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.abandon(account, id, verdict)
}

// abandon ends the wait of a request. It returns the outcome if the request was decided meanwhile.
func (q *quotas) abandon(account string, id uint64, verdict chan quota.Outcome) quota.Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	if !q.borrower.Abandon(account, id) {
		return <-verdict // filled by deliver under the same lock, so that this does not block
	}
	return quota.Outcome{Request: id, Verdict: quota.Wait}
}

// deliver passes outcomes to the requests that wait. The caller holds mu since the borrower decided,
// so that each of these requests still has its channel.
func (q *quotas) deliver(outcomes []quota.Outcome) {
	for _, o := range outcomes {
		q.waiting[o.Request] <- o
		delete(q.waiting, o.Request)
	}
}

// settle gives back the token of a request that has not run.
func (q *quotas) settle(out *outcome) {
	if q == nil || out.tokenUntil.IsZero() || !out.notRun {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	outcomes, _ := q.borrower.Return(bootTime(), out.account.Name, out.tokenUntil)
	q.deliver(outcomes)
}

// borrow asks the lender for tokens until the ask is answered and no other one is due.
func (q *quotas) borrow(ask quota.Ask) {
	for due := true; due; {
		loan, err := q.ask(ask)
		if err == nil {
			q.borrowed.Inc(int64(loan.Tokens))
			q.mu.Lock()
			var outcomes []quota.Outcome
			outcomes, ask, due = q.borrower.Answer(bootTime(), ask, loan)
			q.deliver(outcomes)
			q.mu.Unlock()
			continue
		}
		klog.V(1).InfoS("Failed to borrow tokens", "account", ask.Account, "err", err)
		q.mu.Lock()
		q.borrower.Failed(ask)
		q.mu.Unlock()
		wait.For(context.Background(), borrowRetryDelay)
		q.mu.Lock()
		ask, due = q.borrower.Retry(bootTime(), ask.Account)
		q.mu.Unlock()
	}
}

// ask sends an ask to the lender, which may be this host.
func (q *quotas) ask(ask quota.Ask) (quota.Loan, error) {
	q.mu.Lock()
	lender := q.lender.Current(bootTime())
	q.mu.Unlock()
	switch lender {
	case "":
		return quota.Loan{}, errNoLender
	case q.self:
		return q.lend(ask.Account, ask.Waiting, ask.Expected)
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	var reply borrowReply
	err := q.node.Call(ctx, lender, methodBorrow, borrowRequest{Account: []byte(ask.Account), Waiting: ask.Waiting, Expected: ask.Expected}, &reply)
	if err == nil && reply.NotLender {
		err = errNoLender
	}
	return reply.loan(), err
}

// lend lends tokens of the shares that this host holds.
func (q *quotas) lend(account string, waiting, expected int) (quota.Loan, error) {
	limit, known := q.quotaOf(account)
	if !known {
		// The host that asks has another version of the configuration, which has a quota for the
		// account. By this one, nothing bounds its requests.
		return quota.Loan{Tokens: waiting}, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootTime()
	loan, ok := q.lender.Lend(now, account, limit, waiting, expected)
	if !ok {
		return quota.Loan{}, errNoLender
	}
	q.lent.Inc(int64(loan.Tokens))
	if missing := waiting - loan.Tokens; missing > 0 {
		q.recordOver(now, account, limit, missing)
	}
	return loan, nil
}

// quotaOf returns the quota of an account in the configuration in force, if it has one.
func (q *quotas) quotaOf(account string) (quota.Quota, bool) {
	table := q.entry.view.table.Load()
	if table == nil {
		return quota.Quota{}, false
	}
	a, ok := table.Account(account)
	if !ok || !a.HasQuota() {
		return quota.Quota{}, false
	}
	return quota.Quota{RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst}, true
}

// recordOver records that an account is over its quota. The caller holds mu.
func (q *quotas) recordOver(now time.Time, account string, limit quota.Quota, refused int) {
	o := q.over[account]
	if o == nil {
		o = &overQuota{}
		q.over[account] = o
		klog.InfoS("Account is over its quota", "account", account, "perSecond", limit.RequestsPerSecond, "burst", limit.Burst)
	}
	o.refused, o.last = o.refused+refused, now
}

// setTable applies the configuration in force.
func (q *quotas) setTable(t *routing.Table) {
	if q != nil && t.HasQuotas() {
		q.markNeeded()
	}
}

// run keeps the quotas until ctx ends, from the first configuration on that has any.
func (q *quotas) run(ctx context.Context) {
	if q == nil {
		return
	}
	select {
	case <-q.needed:
		wait.Every(ctx, quotaTick, func(time.Time) { q.tick(ctx) })
	case <-ctx.Done():
	}
}

// tick sends what is due and logs what has changed.
func (q *quotas) tick(ctx context.Context) {
	now := bootTime()
	q.mu.Lock()
	var messages []quota.Message
	if !q.stopped {
		messages = q.lender.Tick(now, func(account string) quota.Quota {
			limit, _ := q.quotaOf(account)
			return limit
		})
	}
	q.observe(now)
	q.mu.Unlock()
	q.send(ctx, messages)
}

// observe updates the metrics and logs changes. The caller holds mu.
func (q *quotas) observe(now time.Time) {
	held, all := q.lender.Held(now)
	q.shares.Update(int64(held))
	q.buckets.Update(int64(q.lender.Accounts()))
	if lending := held > 0; lending != q.lending {
		q.lending = lending
		klog.InfoS("Lending tokens of quotas", "lending", lending, "hosts", all)
	}
	for account, o := range q.over {
		if now.Sub(o.last) >= overQuotaEnd {
			klog.InfoS("Account is no longer over its quota", "account", account, "refused", o.refused)
			delete(q.over, account)
		}
	}
}

// stop frees the shares that this host holds, so that the next lender need not wait until the grants
// end.
func (q *quotas) stop() {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.stopped = true
	messages := q.lender.StepDown(bootTime())
	q.mu.Unlock()
	q.send(context.Background(), messages)
}

// handleBorrow lends tokens to another host.
func (q *quotas) handleBorrow(_ context.Context, r peer.Request) (any, error) {
	var request borrowRequest
	if err := r.Decode(&request); err != nil {
		return nil, err
	}
	loan, err := q.lend(string(request.Account), request.Waiting, request.Expected)
	if err != nil {
		return borrowReply{NotLender: true}, nil
	}
	return newBorrowReply(loan), nil
}
