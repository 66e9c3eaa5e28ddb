package quota

import (
	"math"
	"time"
)

// maxDrops bounds the drops of its share that a pool remembers: each use of a bucket goes through
// all of them.
const maxDrops = 32

// pool is the token buckets of all accounts at a lender, for the share of the hosts whose grants
// it holds.
//
// A bucket gets tokens in proportion to the share and holds at most its depth times the share. It
// begins empty. When the share drops, the part of the content that is above the new depth is lost:
// the hosts that have left may use it elsewhere. So the content of all lenders' buckets of an
// account together is never above the depth, and grows at the rate of the whole quota at most.
type pool struct {
	bounds Bounds

	share     float64   // of all hosts, from 0 to 1
	updatedAt time.Time // up to when elapsed is right
	// elapsed is the integral of the share over the time since it rose from 0, in seconds, and
	// fresh the sum of the fresh shares that were added. With them, a bucket is brought up to date
	// only when it is used.
	elapsed, fresh float64

	drops    []drop
	nextDrop uint64
	buckets  map[string]*bucket
}

// drop is a moment at which the share fell.
type drop struct {
	number         uint64
	share          float64 // after it
	elapsed, fresh float64
}

// bucket is the token bucket of an account that has lent tokens. An account without one has an
// unused bucket, which was empty when the pool began.
type bucket struct {
	level          float64
	elapsed, fresh float64 // of the pool when level was right
	nextDrop       uint64  // the first drop that level doesn't take into account
	// refused is the number of refusals lately, which decays with refusedMemory.
	refused   float64
	refusedAt time.Time
}

func newPool(bounds Bounds) *pool { return &pool{bounds: bounds, buckets: map[string]*bucket{}} }

// setShare advances the pool to now and sets its share.
func (p *pool) setShare(now time.Time, share float64) {
	if share == 0 {
		*p = *newPool(p.bounds)
		return
	}
	if p.share == 0 {
		p.updatedAt = now
	}
	// Grants may have ended at any time since the last call. The share was at least the smaller
	// one all the time.
	lowest := min(share, p.share)
	if now.After(p.updatedAt) {
		p.elapsed += lowest * now.Sub(p.updatedAt).Seconds()
		p.updatedAt = now
	}
	if share < p.share {
		p.addDrop(share)
	}
	p.share = share
}

// addFresh adds the tokens that come with the fresh grant of a share.
func (p *pool) addFresh(share float64) { p.fresh += share }

// addDrop records that the share falls. It merges the two oldest drops if there are too many, into
// one that leaves no bucket with more than either.
func (p *pool) addDrop(share float64) {
	if len(p.drops) == maxDrops {
		p.drops[1].share = min(p.drops[0].share, p.drops[1].share)
		p.drops = append(p.drops[:0], p.drops[1:]...)
	}
	p.drops = append(p.drops, drop{number: p.nextDrop, share: share, elapsed: p.elapsed, fresh: p.fresh})
	p.nextDrop++
}

// levelOf returns the content of a bucket now.
func (p *pool) levelOf(b *bucket, size bucketSize) float64 {
	grown := func(elapsed, fresh float64) float64 {
		return size.rate*(p.elapsed-elapsed) + size.fresh*(p.fresh-fresh)
	}
	level := min(b.level+grown(b.elapsed, b.fresh), size.depth*p.share)
	// Right after a drop, the bucket held at most its depth for the share then.
	for _, d := range p.drops {
		if d.number >= b.nextDrop {
			level = min(level, size.depth*d.share+grown(d.elapsed, d.fresh))
		}
	}
	return level
}

// bucketOf returns the bucket of an account, brought up to date.
func (p *pool) bucketOf(account string, size bucketSize) *bucket {
	b := p.buckets[account]
	if b == nil {
		b = &bucket{}
		p.buckets[account] = b
	}
	b.level = p.levelOf(b, size)
	b.elapsed, b.fresh, b.nextDrop = p.elapsed, p.fresh, p.nextDrop
	return b
}

// lend takes tokens for the requests that wait and, if enough are left, for those expected soon.
func (p *pool) lend(now time.Time, account string, q Quota, waiting, expected int) Loan {
	size := p.bounds.size(q)
	b := p.bucketOf(account, size)
	whole := int(b.level)
	tokens := min(whole, waiting)
	// The rest of the bucket is for the other hosts too.
	const spareShare = 0.25
	tokens += min(int(spareShare*(b.level-float64(tokens))), expected)
	b.level -= float64(tokens)
	loan := Loan{Tokens: tokens}
	if missing := waiting - tokens; missing > 0 {
		b.addRefused(now, missing)
		rate := size.rate * p.share
		loan.RoomIn = timeFor(1-b.level, rate)
		loan.Spread = timeFor(b.refused, rate)
	}
	return loan
}

// refusedMemory is the time constant with which refusals cease to count towards the time that their
// callers are spread over.
const refusedMemory = time.Second

// addRefused adds refusals to those that have not decayed yet.
func (b *bucket) addRefused(now time.Time, n int) {
	b.refused = b.refused*math.Exp(-now.Sub(b.refusedAt).Seconds()/refusedMemory.Seconds()) + float64(n)
	b.refusedAt = now
}

// maxRoomIn bounds the times that callers are told to wait.
const maxRoomIn = 30 * time.Second

// timeFor returns how long it takes to get a number of tokens, up to maxRoomIn.
func timeFor(tokens, rate float64) time.Duration {
	seconds := max(tokens, 0) / rate // infinite or not a number without a rate
	if !(seconds < maxRoomIn.Seconds()) {
		return maxRoomIn
	}
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond // covers rounding errors
}

// forget removes the buckets that hold as much as an unused one would. QuotaOf returns the zero
// Quota for an account that no longer exists.
func (p *pool) forget(quotaOf func(account string) Quota) {
	for account, b := range p.buckets {
		size := p.bounds.size(quotaOf(account))
		if p.levelOf(b, size) >= p.levelOf(&bucket{}, size) {
			delete(p.buckets, account)
		}
	}
}
