package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// grantTime is how long a host's grant of its share holds. After a lender has failed, no
	// other host may lend the shares that it held for this long.
	grantTime = 600 * time.Millisecond
	// claimInterval is the time between a lender's claims of a share. Two claims in a row may
	// be lost. A share that is granted to another lender is claimed again after
	// grantedElsewhereRetry.
	claimInterval         = 200 * time.Millisecond
	grantedElsewhereRetry = 100 * time.Millisecond
	// silentInterval is the time between claims of a host that has not answered maxUnanswered
	// claims: hosts that are gone stay on the list.
	silentInterval = time.Second
	maxUnanswered  = 5
	// rankDelay is the time between the moments at which a host and the next one in the order
	// of candidates claim the shares of a lender that has failed. It is longer than a call.
	rankDelay = 50 * time.Millisecond
	// settleTime is how long a new lender waits for shares before it lends or refuses.
	settleTime = 30 * time.Millisecond
	// forgetInterval is the time between removals of buckets that are full.
	forgetInterval = 5 * time.Second
)

// grant is this host's grant of its share to a lender.
type grant struct {
	to     string
	run    uint64 // of the lender's process
	number uint64 // of its last claim or release
	// mixed is set if messages of several processes of the lender's host extended the grant. A
	// release may then be an older process's.
	mixed bool
	until time.Time
}

// peerState is what a lender knows of another host.
type peerState struct {
	grantedUntil time.Time
	nextClaim    time.Time
	unanswered   int    // claims since the last answer
	freshNumber  uint64 // of the last claim that got a fresh grant
}

// Lender decides to whom this host grants its share (granting.go), and lends the tokens of the
// shares that others grant to it.
type Lender struct {
	self   string
	run    uint64
	bounds Bounds

	// mayGrantFrom is when a grant of an earlier process of this host has ended, and when the
	// others know a host that is new on the list.
	mayGrantFrom time.Time
	// lastFresh is the time of the last fresh grant, or of the process's start: an earlier
	// process may have granted until then.
	lastFresh time.Time
	hosts     []Host
	rank      int // of this host among the candidates
	// hostCount is the largest number of hosts that this one has heard of. A lender that divided by
	// fewer hosts than there are would lend more than its part of the quotas.
	hostCount int

	// listeningSince is since when this host could have heard a lender's claims, and lastTick the
	// time of the last Tick.
	listeningSince, lastTick time.Time

	grant grant
	// hint names the lender to ask for tokens while this host's share isn't granted, as other
	// hosts, the last lender or a claim before mayGrantFrom told.
	hint grant

	lending      bool
	lendingSince time.Time
	peers        map[string]*peerState // by address
	pool         *pool
	number       uint64    // of the last claim
	forgotAt     time.Time // when full buckets were removed last
	// asked counts the claims that ask for the lender, which go to one host after the other, and
	// nextAsk is when the next one is due.
	asked   int
	nextAsk time.Time
}

// NewLender returns the lender of a process that begins now. Run must differ from that of every
// earlier process of the host.
func NewLender(now time.Time, self string, run uint64, bounds Bounds) *Lender {
	return &Lender{
		self: self, run: run, bounds: bounds, mayGrantFrom: now.Add(grantTime), lastFresh: now,
		peers: map[string]*peerState{}, pool: newPool(bounds),
	}
}

// Join tells that this host is new on the list of hosts. Its share counts after joinTime: the longest
// time until the others, whose lists may be out of date, have read it again, and that of a grant, for
// a lender that was suspended before it could.
func (l *Lender) Join(now time.Time, joinTime time.Duration) {
	l.mayGrantFrom = now.Add(max(joinTime, grantTime))
	l.lastFresh = l.mayGrantFrom // until then, others count fresh shares without this host's
}

// SetBounds replaces the bounds.
func (l *Lender) SetBounds(bounds Bounds) {
	l.bounds = bounds
	l.pool.bounds = bounds
}

// SetHosts replaces the list of all hosts, this one included.
func (l *Lender) SetHosts(hosts []Host) {
	l.hosts = slices.Clone(hosts)
	slices.SortFunc(l.hosts, compareHosts)
	l.rank = max(slices.IndexFunc(l.hosts, func(h Host) bool { return h.Address == l.self }), 0)
	l.hostCount = max(l.hostCount, len(l.hosts))
}

// compareHosts sorts hosts in the order in which they should lend, which is the same on all hosts:
// the strongest first, because the lender serves all others, and then by a hash.
func compareHosts(a, b Host) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)),
		cmp.Compare(a.Address, b.Address),
	)
}

// Current returns the host to ask for tokens, which may be this one; empty if none is known.
func (l *Lender) Current(now time.Time) string {
	if lender := l.heardFrom(now); lender != "" {
		return lender
	}
	if now.Before(l.hint.until) {
		return l.hint.to
	}
	return ""
}

// Vacancy estimates how long it takes until a host is known that lends tokens.
func (l *Lender) Vacancy(now time.Time) time.Duration {
	return min(max(l.lastLender().Sub(now), 0), grantTime) + 2*rankDelay
}

// lastLender returns until when another host may be the lender as far as this one knows.
func (l *Lender) lastLender() time.Time {
	last := l.mayGrantFrom
	for _, t := range []time.Time{l.grant.until, l.hint.until, l.listeningSince.Add(claimInterval)} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// Held returns the number of shares that this host holds as a lender, and the number of all.
func (l *Lender) Held(now time.Time) (held, all int) {
	if !l.lending {
		return 0, l.hostCount
	}
	for _, p := range l.peers {
		if now.Before(p.grantedUntil) {
			held++
		}
	}
	return held, l.hostCount
}

// refresh brings the pool up to date with the grants that have ended.
func (l *Lender) refresh(now time.Time) {
	held, all := l.Held(now)
	share := 0.0
	if held > 0 {
		share = min(float64(held)/float64(all), 1)
	}
	l.pool.setShare(now, share)
}

// Tick returns the claims that are due. QuotaOf returns the quota of an account.
func (l *Lender) Tick(now time.Time, quotaOf func(account string) Quota) []Message {
	if now.Sub(l.lastTick) > grantTime {
		l.resume(now)
	}
	l.lastTick = now
	if !l.lending && !l.begin(now) {
		return l.findLender(now)
	}
	l.grantToSelf(now)
	l.refresh(now)
	if now.Sub(l.forgotAt) >= forgetInterval {
		l.forgotAt = now
		l.pool.forget(quotaOf)
	}
	return l.dueClaims(now)
}

// resume begins anew after the first Tick, or after a suspension in which all grants have ended. The
// list may have become longer meanwhile, which the other hosts tell.
func (l *Lender) resume(now time.Time) {
	l.listeningSince = now
	l.lending = false
	l.peers = map[string]*peerState{}
	l.pool = newPool(l.bounds)
}

// begin makes this host the lender if there is none and all candidates before it had time to
// become it.
func (l *Lender) begin(now time.Time) bool {
	if len(l.hosts) == 0 || now.Before(l.lastLender().Add(time.Duration(l.rank)*rankDelay)) {
		return false
	}
	l.start(now)
	return true
}

// start makes this host the lender.
func (l *Lender) start(now time.Time) {
	l.lending, l.lendingSince = true, now
	l.peers = map[string]*peerState{}
	l.pool = newPool(l.bounds)
	l.grantToSelf(now)
	l.refresh(now)
	if l.takeFresh(now) {
		l.pool.addFresh(l.shareOfOne())
	}
}

// shareOfOne returns the part of the quotas that belongs to one host.
func (l *Lender) shareOfOne() float64 { return 1 / float64(max(l.hostCount, 1)) }

// findLender asks one host after the other for the lender, if this host has no grant that names it.
// The lender's list may lack this host. A hint is renewed two claim intervals before it ends, so that
// one lost message doesn't leave this host without a lender.
func (l *Lender) findLender(now time.Time) []Message {
	known := now.Before(l.grant.until) || now.Add(2*claimInterval).Before(l.hint.until)
	if known || now.Before(l.nextAsk) || len(l.hosts) == 0 {
		return nil
	}
	l.nextAsk = now.Add(claimInterval)
	l.asked++
	to := l.hosts[l.asked%len(l.hosts)].Address
	if to == "" || to == l.self {
		return nil
	}
	return []Message{{To: to, SentAt: now, Claim: l.newClaim(now, FindLender)}}
}

// grantToSelf renews the grant of this host's own share.
func (l *Lender) grantToSelf(now time.Time) {
	until := now.Add(grantTime)
	l.grant = grant{to: l.self, run: l.run, until: until}
	l.peers[l.self] = &peerState{grantedUntil: until, nextClaim: until}
}

// dueClaims returns the claims that are due. A new lender claims all shares at once.
func (l *Lender) dueClaims(now time.Time) []Message {
	for _, h := range l.hosts {
		if h.Address != "" && l.peers[h.Address] == nil {
			l.peers[h.Address] = &peerState{}
		}
	}
	claim := l.newClaim(now, TakeShare)
	var messages []Message
	for address, p := range l.peers {
		if address == l.self || now.Before(p.nextClaim) {
			continue
		}
		p.nextClaim = now.Add(claimInterval)
		if p.unanswered++; p.unanswered > maxUnanswered {
			p.nextClaim = now.Add(silentInterval)
		}
		messages = append(messages, Message{To: address, SentAt: now, Claim: claim, Renewal: now.Before(p.grantedUntil)})
	}
	return messages
}

// newClaim returns a claim with a new number. Claims of several hosts may have the same one.
func (l *Lender) newClaim(now time.Time, kind ClaimKind) Claim {
	l.number++
	held, _ := l.Held(now)
	return Claim{Kind: kind, From: l.self, Run: l.run, Number: l.number, Hosts: l.hostCount, Held: held}
}

// HandleReply records the answer to a claim. It returns releases if another lender has more
// shares.
func (l *Lender) HandleReply(now time.Time, m Message, reply ClaimReply) []Message {
	l.hostCount = max(l.hostCount, reply.Hosts)
	if m.Claim.Kind == FindLender && reply.Lender != "" && reply.Lender != l.self {
		l.hint = grant{to: reply.Lender, until: now.Add(grantTime)}
	}
	if m.Claim.Kind != TakeShare {
		return nil
	}
	p := l.peers[m.To]
	if !l.lending || p == nil || m.SentAt.Before(l.lendingSince) {
		return nil
	}
	p.unanswered = 0
	l.refresh(now)
	if reply.Granted {
		l.granted(now, p, m, reply.Fresh)
		return nil
	}
	if reply.Lender != "" {
		p.nextClaim = minTime(p.nextClaim, now.Add(grantedElsewhereRetry))
	}
	held, _ := l.Held(now)
	if reply.Lender == m.To && precedes(reply.Held, m.To, held, l.self) {
		return l.stepDown(now, m.To)
	}
	return nil
}

// granted records that a host granted its share. The grant counts from the time at which the claim
// was sent, because the host can't have granted earlier than that.
func (l *Lender) granted(now time.Time, p *peerState, m Message, fresh bool) {
	if until := m.SentAt.Add(grantTime); until.After(p.grantedUntil) {
		p.grantedUntil = until
	}
	l.refresh(now)
	// A repeated reply brings no more fresh tokens.
	if fresh && now.Before(p.grantedUntil) && m.Claim.Number > p.freshNumber {
		p.freshNumber = m.Claim.Number
		l.pool.addFresh(l.shareOfOne())
	}
}

// StepDown ends the lending of this host and returns messages that free the shares that it held, for
// the next one of the candidates.
func (l *Lender) StepDown(now time.Time) []Message {
	next := ""
	for _, h := range l.hosts {
		if p := l.peers[h.Address]; p != nil && h.Address != l.self && now.Before(p.grantedUntil) {
			next = h.Address
			break
		}
	}
	return l.stepDown(now, next)
}

// stepDown ends the lending of this host in favour of the next lender, which may be empty.
func (l *Lender) stepDown(now time.Time, next string) []Message {
	if !l.lending {
		return nil
	}
	claim := l.newClaim(now, ReleaseShare)
	claim.Next = next
	var messages []Message
	for address, p := range l.peers {
		if address != l.self && now.Before(p.grantedUntil) {
			messages = append(messages, Message{To: address, SentAt: now, Claim: claim, Renewal: true})
		}
	}
	l.lending = false
	l.peers = map[string]*peerState{}
	l.pool = newPool(l.bounds)
	l.grant.until = now
	l.hint = grant{}
	if next != "" {
		l.hint = grant{to: next, until: now.Add(grantTime)}
	}
	return messages
}

// Lend lends tokens of an account: one for each request that waits, and some for those expected
// soon. It returns false if this host isn't the lender.
func (l *Lender) Lend(now time.Time, account string, q Quota, waiting, expected int) (Loan, bool) {
	if !l.lending || now.Sub(l.lendingSince) < settleTime && len(l.hosts) > 1 {
		return Loan{}, false
	}
	l.refresh(now)
	if l.pool.share == 0 {
		return Loan{}, false
	}
	return l.pool.lend(now, account, q, max(waiting, 0), max(expected, 0)), true
}

// Accounts returns the number of accounts with a token bucket.
func (l *Lender) Accounts() int { return len(l.pool.buckets) }

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
