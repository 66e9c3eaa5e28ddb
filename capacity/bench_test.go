package capacity

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOfferDone starts and ends one request of a warm upstream.
func BenchmarkOfferDone(b *testing.B) {
	r := newRig(&testing.T{}, 4, 0, 1)
	r.warm(served)
	now := r.now
	b.ReportAllocs()
	for b.Loop() {
		r.l.Offer(now, Ticket{ID: "a", Deadline: now.Add(time.Second)})
		now = now.Add(testServiceTime)
		r.l.Done(now, "a", served)
	}
}

// BenchmarkOfferQueuedDone starts the head of a queue of 32 tickets and queues
// another one, with the share in use all the time.
func BenchmarkOfferQueuedDone(b *testing.B) {
	const queued, slots = 32, 4
	r := newRig(&testing.T{}, slots, 0, 1)
	r.l.cfg.QueueLength = 2 * queued
	r.warm(served)
	var ids [queued + slots]string // in the order of the deadlines
	for i := range ids {
		ids[i] = fmt.Sprint("ticket-", i)
		r.l.Offer(r.now, Ticket{ID: ids[i], Deadline: r.now.Add(time.Second)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.now = r.now.Add(testServiceTime / slots)
		id := ids[i%len(ids)]
		if r.l.InFlight() != slots || len(r.l.Done(r.now, id, served).Starts) != 1 {
			b.Fatal("the queue is not served in order")
		}
		r.l.Offer(r.now, Ticket{ID: id, Deadline: r.now.Add(time.Second)})
		i++
	}
}
