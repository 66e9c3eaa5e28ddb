package once

import "time"

// Forward asks to pass a submission on to the writer host of its journal, once
// and over one connection. Its result goes to Router.Reply, or to Router.Broken
// if the connection breaks or if there is no reply by Until.
type Forward struct {
	To         string
	Submission Submission
	Until      time.Time
}

func (Forward) action() {}

// Router takes the submissions of callers at an entry host. It gives them to
// the writer of their journal, which need not be this host, and sees to it that
// a submission that may have reached another host is never submitted again: it
// is refused by a tombstone. It is not safe for concurrent use.
type Router struct {
	m    *Machine
	self string
	open map[string]Submission // passed on, neither answered nor broken, by id
}

// NewRouter returns a Router for the machine of the host with this id.
func NewRouter(m *Machine, self string) *Router {
	return &Router{m: m, self: self, open: make(map[string]Submission)}
}

// Submit takes the submission of a caller, given the ids of the live hosts. A
// host that knows that it can't reach the platform does not pass it on, because
// it could not write a tombstone if the connection broke.
func (r *Router) Submit(now time.Time, s Submission, hosts []string) []Action {
	writer := Writer(JournalOf(s.Key, r.m.cfg.Journals), hosts)
	_, down := r.m.Down(now)
	if writer == r.self || writer == "" || down {
		return r.m.Submit(now, s)
	}
	if _, err := ParseKey(s.Key); err != nil {
		return r.m.Submit(now, s) // refused
	}
	r.open[s.ID] = s
	return []Action{Forward{To: writer, Submission: s, Until: r.until(now, s)}}
}

// until leaves time before the deadline to write a tombstone, but no more than
// half of the time there is.
func (r *Router) until(now time.Time, s Submission) time.Time {
	left := s.Deadline.Sub(now)
	return s.Deadline.Add(-min(r.m.cfg.RefuseTime, left/2))
}

// Reply takes the outcome that the writer host reports. A reply after Broken is
// ignored; the answer then comes from the journal.
func (r *Router) Reply(id string, out Outcome) []Action {
	s, ok := r.open[id]
	if !ok {
		return nil
	}
	delete(r.open, id)
	return []Action{Answer{Submission: s, Outcome: out}}
}

// Broken takes the end of a connection, or the time Until, without a reply.
func (r *Router) Broken(now time.Time, id string) []Action {
	s, ok := r.open[id]
	if !ok {
		return nil
	}
	delete(r.open, id)
	return r.m.Refuse(now, s)
}

// NotSent takes a submission back that surely was not passed on: this host
// submits it itself.
func (r *Router) NotSent(now time.Time, id string) []Action {
	s, ok := r.open[id]
	if !ok {
		return nil
	}
	delete(r.open, id)
	return r.m.Submit(now, s)
}

// InFlight returns the number of submissions that wait for another host.
func (r *Router) InFlight() int { return len(r.open) }
