package capacity

import (
	"sort"
	"time"
)

// queue holds tickets in deadline order. Tickets with equal deadlines stay in
// order of arrival.
type queue struct{ tickets []queuedTicket }

// queuedTicket is a ticket and the time at which it is handed back. A zero time
// means never.
type queuedTicket struct {
	Ticket
	handBackAt time.Time
}

func (q *queue) len() int { return len(q.tickets) }

// position returns the index at which a ticket with the deadline is inserted.
func (q *queue) position(deadline time.Time) int {
	return sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].Deadline.After(deadline) })
}

func (q *queue) insert(at int, t queuedTicket) {
	q.tickets = append(q.tickets, queuedTicket{})
	copy(q.tickets[at+1:], q.tickets[at:])
	q.tickets[at] = t
}

func (q *queue) pop() queuedTicket { return q.remove(0) }

func (q *queue) remove(i int) queuedTicket {
	t := q.tickets[i]
	copy(q.tickets[i:], q.tickets[i+1:])
	q.tickets[len(q.tickets)-1] = queuedTicket{}
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
