package capacity

import (
	"sort"
	"time"
)

// queue holds tickets ordered by deadline; equal deadlines keep their order of
// arrival.
type queue struct{ tickets []queued }

// queued is a ticket with the time at which it is handed back; the zero time
// means never.
type queued struct {
	Ticket
	handBackAt time.Time
}

func (q *queue) len() int { return len(q.tickets) }

// place returns the position that a ticket with the deadline would get.
func (q *queue) place(deadline time.Time) int {
	return sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].Deadline.After(deadline) })
}

func (q *queue) insert(at int, t queued) {
	q.tickets = append(q.tickets, queued{})
	copy(q.tickets[at+1:], q.tickets[at:])
	q.tickets[at] = t
}

func (q *queue) pop() queued { return q.remove(0) }

func (q *queue) remove(i int) queued {
	t := q.tickets[i]
	copy(q.tickets[i:], q.tickets[i+1:])
	q.tickets[len(q.tickets)-1] = queued{}
	q.tickets = q.tickets[:len(q.tickets)-1]
	return t
}

// nextHandBack returns the earliest time at which a ticket is handed back.
func (q *queue) nextHandBack() (time.Time, bool) {
	var next time.Time
	for i := range q.tickets {
		if at := q.tickets[i].handBackAt; !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}
