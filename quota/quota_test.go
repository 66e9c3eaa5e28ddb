package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var standardBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// run plays a time. In each step, requests arrive at the first hosts, as many as callers, until next
// returns false.
func (s *sim) run(d time.Duration, callers int, next func() bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		for next() {
			s.requestAt(s.hosts[s.random.IntN(callers)])
		}
		s.step()
	}
}

// conforming returns a source of requests that arrive at random, at twice the rate of the quota. Only
// those are made that a token bucket of the quota admits.
func conforming(s *sim) func() bool {
	level, at := s.quota.Burst, s.now
	return func() bool {
		if s.random.Float64() > min(0.9, 2*s.quota.RequestsPerSecond*simStep.Seconds()) {
			return false
		}
		level = min(level+s.quota.RequestsPerSecond*s.now.Sub(at).Seconds(), s.quota.Burst)
		at = s.now
		if level < 1 {
			return false
		}
		level--
		return true
	}
}

// Guards against requests below the quota that are refused because the tokens are at other hosts.
func TestRequestsBelowQuotaAreServed(t *testing.T) {
	const hosts = 73
	for _, c := range []struct {
		name    string
		quota   Quota
		callers int
	}{
		{"few hosts", Quota{40, 40}, 3},
		{"one host", Quota{40, 40}, 1},
		{"all hosts", Quota{40, 40}, hosts},
		{"all hosts, small account", Quota{0.3, 1}, hosts},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, hosts, standardBounds, c.quota)
			s.run(10*time.Second, c.callers, func() bool { return false })
			s.run(60*time.Second, c.callers, conforming(s))
			if s.refused > 0 || s.asked < int(40*c.quota.RequestsPerSecond) {
				t.Errorf("%d of %d requests refused", s.refused, s.asked)
			}
		})
	}
}

// always returns a source of n requests in each step.
func always(n int) func() bool {
	left := n
	return func() bool {
		if left--; left < 0 {
			left = n
			return false
		}
		return true
	}
}

// Guards against a changed quota that binds late.
func TestChangedQuotaBindsAtOnce(t *testing.T) {
	s := newSim(1, 10, standardBounds, Quota{50, 50})
	perWindow := func() int {
		before := len(s.admitted)
		s.run(standardBounds.Window, 10, always(3))
		return len(s.admitted) - before
	}
	s.run(10*time.Second, 10, always(3))
	for _, q := range []Quota{{5, 5}, {100, 100}, {20, 0}, {50, 50}} {
		s.quota = q
		want := int(q.RequestsPerSecond * standardBounds.Window.Seconds())
		if got := perWindow(); got < want*9/10 || got > want*11/10+int(q.Burst+standardBounds.Slack) {
			t.Errorf("%d requests in the first window of %+v, want about %d", got, q, want)
		}
	}
}

// Guards against a quota that stays without a lender, or with a part of the shares, after the
// lender has failed or a data centre was cut off.
func TestOtherHostLendsAfterFailure(t *testing.T) {
	const hosts, cutOff = 20, 5
	s := newSim(1, hosts, standardBounds, Quota{40, 40})
	demand := always(1)
	served := func(t time.Duration) float64 {
		before := len(s.admitted)
		s.run(t, hosts, demand)
		return float64(len(s.admitted)-before) / t.Seconds() / s.quota.RequestsPerSecond
	}
	s.run(10*time.Second, hosts, demand)
	lender := s.find(s.hosts[0].lender.Current(s.now))
	s.start(lender)
	served(grantTime + 3*rankDelay + grantedElsewhereRetry)
	if got := served(4 * time.Second); got < 0.9 {
		t.Errorf("served %.2f of the quota after a restart of the lender", got)
	}
	for i := range cutOff {
		s.hosts[i].side = 1
	}
	served(2 * grantTime)
	if got := served(4 * time.Second); got < 0.9 {
		t.Errorf("served %.2f of the quota on both sides of a cut", got)
	}
	s.cut(1)
	served(2 * grantTime)
	if got := served(4 * time.Second); got < 0.95 {
		t.Errorf("served %.2f of the quota after the cut", got)
	}
	if err := s.checkWindows(); err != nil {
		t.Error(err)
	}
}

// Guards against a planned stop of the lender after which requests are refused.
func TestStepDownHandsOverAtOnce(t *testing.T) {
	s := newSim(1, 20, standardBounds, Quota{40, 40})
	s.run(10*time.Second, 20, always(0))
	lender := s.find(s.hosts[0].lender.Current(s.now))
	s.send(lender, lender.lender.StepDown(s.now))
	lender.alive = false
	s.run(20*time.Millisecond, 20, always(0))
	next := s.hosts[0].lender.Current(s.now)
	if next == "" || next == lender.address {
		t.Fatalf("%q lends after the handover", next)
	}
	before, step := len(s.admitted), 0
	s.run(200*time.Millisecond, 20, func() bool { // 33 requests a second
		step++
		return step%4 == 0
	})
	if len(s.admitted) == before || s.refused > 0 {
		t.Errorf("%d admitted and %d refused after the handover", len(s.admitted)-before, s.refused)
	}
}

// Guards against a new host that serves no request until the lender has read the list again.
func TestNewHostFindsLender(t *testing.T) {
	s := newSim(1, 10, standardBounds, Quota{40, 40})
	s.run(10*time.Second, 10, always(0))
	s.join()
	h := s.hosts[10]
	s.run(grantTime, 10, always(0))
	if got, want := h.lender.Current(s.now), s.hosts[0].lender.Current(s.now); got != want || got == h.address {
		t.Errorf("a new host borrows from %q, the others from %q", got, want)
	}
}

// Guards against a share that left and came back with its part of a burst, although the host used
// that part elsewhere meanwhile.
func TestBucketsLoseWhatLeavesWithAShare(t *testing.T) {
	now := time.Unix(1000, 0)
	size := standardBounds.size(Quota{10, 10})
	for name, b := range map[string]*bucket{"unused": {}, "used": {level: size.depth}} {
		p := newPool(standardBounds)
		p.setShare(now, 1)
		p.setShare(now.Add(time.Hour), 1)
		p.setShare(now.Add(time.Hour), 0.2)
		for i := range maxDrops + 1 { // more drops than are remembered
			p.setShare(now.Add(time.Hour), 1)
			p.setShare(now.Add(time.Hour), 1-0.001*float64(i+1))
		}
		if got, want := p.levelOf(b, size), 0.2*size.depth; got > want+1e-6 {
			t.Errorf("%s: %f tokens, want %f", name, got, want)
		}
	}
}

// Guards against hosts that tell each other of a lender that has failed, so that none follows it.
func TestOnlyHeardLenderIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewLender(now, "host", 1, standardBounds)
	ask := func() string {
		reply, _ := h.HandleClaim(now, Claim{Kind: FindLender, From: "other"})
		return reply.Lender
	}
	h.HandleReply(now, Message{To: "other", Claim: Claim{Kind: FindLender}}, ClaimReply{Lender: "a"})
	if h.Current(now) != "a" || ask() != "" {
		t.Errorf("borrows from %q and passes on %q, which another host named", h.Current(now), ask())
	}
	now = now.Add(grantTime)
	h.HandleClaim(now, Claim{From: "b", Run: 1, Number: 1})
	if h.Current(now) != "b" || ask() != "b" {
		t.Errorf("borrows from %q and passes on %q, which claimed the share", h.Current(now), ask())
	}
	now = now.Add(grantTime)
	if h.Current(now) != "" || ask() != "" {
		t.Errorf("borrows from %q and passes on %q after the grant", h.Current(now), ask())
	}
}

// Guards against callers that are all told to come back at the same time, or before the account
// has room.
func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	p := newPool(standardBounds)
	p.setShare(time.Unix(1000, 0), 1)
	now := time.Unix(1100, 0)
	p.setShare(now, 1)
	q := Quota{10, 10}
	full := int(standardBounds.size(q).depth)
	if got := p.lend(now, "acme", q, full, 0); got.Tokens != full || got.RoomIn != 0 {
		t.Fatalf("%+v of a full bucket", got)
	}
	first, later := p.lend(now, "acme", q, 1, 0), p.lend(now, "acme", q, 20, 0)
	if first.Tokens != 0 || first.RoomIn <= 0 || first.RoomIn > 100*time.Millisecond {
		t.Errorf("%+v of an empty bucket", first)
	}
	if later.Spread < 1900*time.Millisecond || later.Spread > 2200*time.Millisecond {
		t.Errorf("21 refused requests return within %v at 10 a second", later.Spread)
	}
	p.setShare(now.Add(first.RoomIn), 1)
	if got := p.lend(now.Add(first.RoomIn), "acme", q, 1, 0); got.Tokens != 1 {
		t.Errorf("no room at the stated time: %+v", got)
	}
}

// Guards against state that grows with accounts that are idle.
func TestIdleAccountsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	p, b := newPool(standardBounds), NewBorrower(standardBounds)
	p.setShare(now, 1)
	now = now.Add(time.Minute)
	p.setShare(now, 1)
	for i := range 100 {
		name := fmt.Sprint("account-", i)
		p.lend(now, name, Quota{5, 5}, 1, 0)
		_, ask, _ := b.Request(now, name, uint64(i))
		b.Answer(now, ask, Loan{Tokens: 1})
	}
	now = now.Add(time.Minute)
	p.setShare(now, 1)
	p.forget(func(string) Quota { return Quota{5, 5} })
	b.Request(now, "other", 1000)
	if len(p.buckets) != 0 || b.Accounts() != 1 {
		t.Errorf("%d buckets and %d balances are left", len(p.buckets), b.Accounts())
	}
}

// Guards against the token of a request that did not run being lost, or used after its life.
func TestReturnedTokenServesNextRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBorrower(standardBounds)
	_, ask, _ := b.Request(now, "acme", 1)
	outcomes, _, _ := b.Answer(now, ask, Loan{Tokens: 1})
	until := outcomes[0].UsableUntil
	b.Return(now.Add(10*time.Millisecond), "acme", until)
	if o, _, _ := b.Request(now.Add(20*time.Millisecond), "acme", 2); o.Verdict != Admitted {
		t.Errorf("the next request is %v", o.Verdict)
	}
	b.Return(until, "acme", until)
	if o, _, _ := b.Request(until, "acme", 3); o.Verdict != Wait {
		t.Errorf("a request after the token's life is %v", o.Verdict)
	}
}

// BenchmarkAccounts measures the memory and the time of 10,000 accounts at a lender and at a
// borrower.
func BenchmarkAccounts(b *testing.B) {
	const accounts = 10000
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	b.Run("lender", func(b *testing.B) {
		before, now := heap(), time.Unix(1000, 0)
		p := newPool(standardBounds)
		p.setShare(now, 1)
		for i := 0; b.Loop(); i++ {
			p.lend(now, names[i%accounts], Quota{5, 5}, 1, 0)
		}
		if b.N >= accounts {
			b.ReportMetric(float64(heap()-before)/accounts, "B/account")
		}
		runtime.KeepAlive(p)
	})
	b.Run("borrower", func(b *testing.B) {
		before, now := heap(), time.Unix(1000, 0)
		borrower := NewBorrower(standardBounds)
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Second / accounts)
			if _, ask, send := borrower.Request(now, names[i%accounts], uint64(i)); send {
				borrower.Answer(now, ask, Loan{Tokens: 1})
			}
		}
		if b.N >= accounts {
			b.ReportMetric(float64(heap()-before)/accounts, "B/account")
		}
		runtime.KeepAlive(borrower)
	})
	b.Run("forget", func(b *testing.B) {
		now := time.Unix(1000, 0)
		p := newPool(standardBounds)
		p.setShare(now, 1)
		now = now.Add(time.Hour)
		p.setShare(now, 1)
		for i := range accounts {
			p.lend(now, names[i], Quota{5, 5}, 1, 0)
		}
		for b.Loop() {
			p.forget(func(string) Quota { return Quota{5, 5} })
		}
	})
}

// Guards against many hosts that all claim every share when quotas come into force, or when they go
// on after a suspension.
func TestHostListensBeforeItLends(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLender(now, "b", 1, standardBounds)
	l.SetHosts([]Host{{Address: "a"}, {Address: "b"}})
	tick := func() bool {
		l.Tick(now, func(string) Quota { return Quota{} })
		return l.lending
	}
	now = now.Add(time.Hour)
	if tick() {
		t.Error("lends without having listened")
	}
	now = now.Add(claimInterval / 2)
	l.HandleClaim(now, Claim{From: "a", Run: 1, Number: 1})
	for range 5 {
		now = now.Add(claimInterval / 2)
		if tick() {
			t.Error("lends while another host does")
		}
	}
	now = now.Add(grantTime + 10*rankDelay)
	if tick(); l.lending {
		t.Error("lends right after a suspension")
	}
	for range 10 {
		now = now.Add(rankDelay)
		tick()
	}
	if !l.lending {
		t.Error("doesn't lend although no other host does")
	}
	now = now.Add(grantTime + rankDelay)
	if tick() {
		t.Error("lends on after a suspension, although the list of hosts may have changed")
	}
}

// Guards against a share that is free for another lender although its holder counts on it: after a
// late release of an earlier claim, or of an earlier process.
func TestLateReleaseFreesNoShare(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewLender(now.Add(-time.Minute), "host", 1, standardBounds)
	claim := func(from string, run, number uint64, kind ClaimKind) bool {
		reply, _ := h.HandleClaim(now, Claim{Kind: kind, From: from, Run: run, Number: number})
		return reply.Granted
	}
	if !claim("a", 1, 10, TakeShare) || claim("b", 1, 1, TakeShare) {
		t.Fatal("the share isn't granted to the first lender alone")
	}
	claim("a", 1, 9, ReleaseShare)
	if claim("b", 1, 2, TakeShare) {
		t.Error("free after the release of an earlier claim")
	}
	claim("a", 2, 1, TakeShare)
	claim("a", 1, 11, TakeShare) // sent before the process ended
	claim("a", 1, 12, ReleaseShare)
	if claim("b", 1, 3, TakeShare) {
		t.Error("free after the release of an earlier process")
	}
	now = now.Add(grantTime)
	claim("a", 2, 2, TakeShare)
	claim("a", 2, 3, ReleaseShare)
	if !claim("b", 1, 4, TakeShare) {
		t.Error("not free after the release")
	}
}
