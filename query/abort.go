package query

import "time"

// Abort ends a query whose caller is gone: it cancels the attempts in flight and
// no Finish follows. Without it the requests in flight would stay counted in
// Stats.
func (m *Machine) Abort(now time.Time) []Action {
	if !m.started || m.finished {
		return nil
	}
	m.cancelAll(now, false)
	m.finished = true
	out := m.out
	m.out = nil
	return out
}
