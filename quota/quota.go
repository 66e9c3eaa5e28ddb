// Package quota keeps the quotas of client accounts over all hosts together, without a call to
// another host for each request.
//
// Every host owns an equal share of every quota and grants it, for a short time, to one host,
// the lender. The lender claims the shares of all hosts. It keeps one token bucket for each account,
// with a rate and a depth in proportion to the shares that it holds, and lends tokens to the hosts
// that need them. A lent token expires soon. A share is granted to one lender at a time, so that all
// lenders together never lend more than the quotas allow, whatever is cut off: a lender with some of
// the hosts lends their part of each quota.
//
// Lender decides on grants and lends; Borrower decides for each request of a caller. Both do no
// I/O, are told the time, and are not safe for concurrent use. The time must not stop while the
// host is suspended.
package quota

import "time"

// Quota is the quota of an account for all hosts together.
type Quota struct {
	RequestsPerSecond float64
	Burst             float64
}

// Bounds limit how far all hosts together may exceed a quota. In any Window an account gets at
// most (RequestsPerSecond x Window + Burst) x (1 + Overage) + Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64 // as a fraction of the quota
	Slack   float64 // in requests
}

const (
	// minTokenLife leaves time for a call to the lender, maxTokenLife bounds what an account
	// loses by tokens that are not used.
	minTokenLife = 50 * time.Millisecond
	maxTokenLife = time.Second

	// overageForLife is the share of the overage that goes to tokens which were lent before a
	// window and are used in it, and overageForRate the share that makes up for tokens that
	// expire unused.
	overageForLife = 0.5
	overageForRate = 0.25
	// slackForBurst is the share of the slack that adds to the burst: callers' requests arrive
	// less evenly than they were sent. slackForStart is the share that new lenders lend at once,
	// because they don't know how much of a burst is left.
	slackForBurst = 0.6
	slackForStart = 0.3
)

// TokenLife returns how long a token may be used after the ask for it was sent.
func (b Bounds) TokenLife() time.Duration {
	life := time.Duration(overageForLife * b.Overage * float64(b.Window))
	return min(max(life, minTokenLife), maxTokenLife)
}

// freshInterval is the shortest time between two fresh grants of a host. The tokens that come with
// them are then never in the same window, however late the grants' answers arrive.
func (b Bounds) freshInterval() time.Duration { return b.Window + b.TokenLife() + grantTime }

// bucketSize describes the token buckets that keep a quota within the bounds.
type bucketSize struct {
	rate  float64 // tokens per second
	depth float64
	fresh float64 // tokens that come with fresh grants of all hosts
}

// size returns the token bucket of a quota. Tokens used in a window were lent in the window or in
// the life of a token before it: at most depth + fresh + rate x (Window + TokenLife), which is
// within the bounds.
func (b Bounds) size(q Quota) bucketSize {
	lending := (b.Window + b.TokenLife()).Seconds()
	limit := (q.RequestsPerSecond*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Slack
	s := bucketSize{
		depth: max(1, q.Burst*(1+overageForRate*b.Overage)+slackForBurst*b.Slack),
		fresh: slackForStart * b.Slack,
	}
	s.rate = min(q.RequestsPerSecond*(1+overageForRate*b.Overage), (limit-s.depth-s.fresh)/lending)
	s.rate = max(s.rate, 0)
	return s
}
