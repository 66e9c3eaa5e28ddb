package once

import "time"

// Forward asks the shell to send a submission to the writer host of its journal,
// once and over one connection. The result goes to Router.Reply, or to
// Router.NoReply if the connection fails or no reply arrives by Until. A
// submission that was certainly not sent goes to Router.NotSent.
type Forward struct {
	Host       string
	Submission Submission
	Until      time.Time
}

func (Forward) action() {}

// Router accepts the submissions of callers at an entry host. It passes each one
// to the writer of its journal, which may be another host. A submission that may
// have reached another host without a reply is not submitted again but cancelled
// with a tombstone. Router is not safe for concurrent use.
type Router struct {
	m         *Machine
	self      string
	forwarded map[string]Submission // submissions sent to another host that have no reply yet, by id
}

// NewRouter returns a Router for the machine of the host with this id.
func NewRouter(m *Machine, self string) *Router {
	return &Router{m: m, self: self, forwarded: make(map[string]Submission)}
}

// Submit accepts the submission of a caller, given the ids of the live hosts. A
// host that knows that it cannot reach the platform does not forward it, because it
// could not write a tombstone if the writer did not reply.
func (r *Router) Submit(now time.Time, s Submission, hosts []string) []Action {
	writer := WriterOf(JournalOf(s.Key, r.m.cfg.Journals), hosts)
	_, down := r.m.PlatformDown(now)
	if writer == r.self || writer == "" || down {
		return r.m.Submit(now, s)
	}
	if _, err := ParseKey(s.Key); err != nil {
		return r.m.Submit(now, s) // refuses the malformed key
	}
	r.forwarded[s.ID] = s
	return []Action{Forward{Host: writer, Submission: s, Until: r.replyDeadline(now, s)}}
}

// replyDeadline returns the time until which a reply is awaited. It reserves
// CancelTime before the deadline to write a tombstone, but at most half of the
// remaining time.
func (r *Router) replyDeadline(now time.Time, s Submission) time.Time {
	remaining := s.Deadline.Sub(now)
	return s.Deadline.Add(-min(r.m.cfg.CancelTime, remaining/2))
}

// Reply handles the outcome that the writer host reports. A reply after NoReply
// is ignored; the answer then comes from the journal.
func (r *Router) Reply(id string, out Outcome) []Action {
	s, ok := r.forwarded[id]
	if !ok {
		return nil
	}
	delete(r.forwarded, id)
	return []Action{Answer{Submission: s, Outcome: out}}
}

// NoReply handles a failed connection or a passed Until time. The submission may
// have reached the writer host, so it is cancelled instead of submitted again.
func (r *Router) NoReply(now time.Time, id string) []Action {
	s, ok := r.forwarded[id]
	if !ok {
		return nil
	}
	delete(r.forwarded, id)
	return r.m.Cancel(now, s)
}

// NotSent handles a submission that was certainly not sent to the writer host.
// This host submits it to its own Machine.
func (r *Router) NotSent(now time.Time, id string) []Action {
	s, ok := r.forwarded[id]
	if !ok {
		return nil
	}
	delete(r.forwarded, id)
	return r.m.Submit(now, s)
}

// InFlight returns the number of submissions that wait for a reply from another
// host.
func (r *Router) InFlight() int { return len(r.forwarded) }
