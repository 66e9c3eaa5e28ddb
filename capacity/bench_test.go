package capacity

import (
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

// BenchmarkOfferQueuedDone queues a ticket behind 32 others and starts the head
// of the queue, with the share in use all the time.
func BenchmarkOfferQueuedDone(b *testing.B) {
	r := newRig(&testing.T{}, 4, 0, 1)
	r.l.cfg.QueueLength = 64
	r.warm(served)
	now := r.now
	var ids [256]string
	for i := range ids {
		ids[i] = string([]byte{byte('a' + i/16), byte('a' + i%16)})
	}
	started := make([]string, 0, len(ids))
	offer := func(i int) {
		id := ids[i%len(ids)]
		if r.l.Offer(now, Ticket{ID: id, Deadline: now.Add(time.Second)}).Verdict == Started {
			started = append(started, id)
		}
	}
	const queued = 32
	for i := range queued + 4 {
		offer(i)
	}
	b.ReportAllocs()
	i := queued + 4
	for b.Loop() {
		now = now.Add(testServiceTime / 4)
		offer(i)
		i++
		id := started[0]
		started = append(started[:0], started[1:]...)
		for _, s := range r.l.Done(now, id, served).Starts {
			started = append(started, s.ID)
		}
	}
}
