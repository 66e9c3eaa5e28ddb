package capacity

import (
	"sort"
	"time"
)

// queue holds tickets ordered by deadline; equal deadlines keep their order of
// arrival.
type queue struct{ tickets []Ticket }

func (q *queue) len() int { return len(q.tickets) }

// place returns the position that a ticket with the deadline would get.
func (q *queue) place(deadline time.Time) int {
	return sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].Deadline.After(deadline) })
}

func (q *queue) insert(at int, t Ticket) {
	q.tickets = append(q.tickets, Ticket{})
	copy(q.tickets[at+1:], q.tickets[at:])
	q.tickets[at] = t
}

func (q *queue) pop() Ticket { return q.remove(0) }

func (q *queue) remove(i int) Ticket {
	t := q.tickets[i]
	copy(q.tickets[i:], q.tickets[i+1:])
	q.tickets[len(q.tickets)-1] = Ticket{}
	q.tickets = q.tickets[:len(q.tickets)-1]
	return t
}
