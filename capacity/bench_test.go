package capacity

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOfferDone starts and ends one request of a warm upstream.
func BenchmarkOfferDone(b *testing.B) {
	r := newTestLimiter(&testing.T{}, 4, 0, 1)
	r.warm(served)
	now := r.now
	b.ReportAllocs()
	for b.Loop() {
		r.limiter.Offer(now, Ticket{ID: "a", Deadline: now.Add(time.Second)})
		now = now.Add(testServiceTime)
		r.limiter.Done(now, "a", served)
	}
}

// BenchmarkOfferQueuedDone ends a request, which starts the head of a queue of
// 32 tickets, and queues another ticket. The whole share is always in use.
func BenchmarkOfferQueuedDone(b *testing.B) {
	const queued, slots = 32, 4
	r := newTestLimiter(&testing.T{}, slots, 0, 1)
	r.limiter.cfg.QueueLength = 2 * queued
	r.warm(served)
	var ids [queued + slots]string // in the order of the deadlines
	for i := range ids {
		ids[i] = fmt.Sprint("ticket-", i)
		r.limiter.Offer(r.now, Ticket{ID: ids[i], Deadline: r.now.Add(time.Second)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.now = r.now.Add(testServiceTime / slots)
		id := ids[i%len(ids)]
		if r.limiter.InFlight() != slots || len(r.limiter.Done(r.now, id, served).Starts) != 1 {
			b.Fatal("want the whole share in use and one ticket started by Done")
		}
		r.limiter.Offer(r.now, Ticket{ID: id, Deadline: r.now.Add(time.Second)})
		i++
	}
}
