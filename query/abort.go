package query

import "time"

// Abort ends a query whose caller has disconnected. It cancels the attempts in
// flight, so that Stats no longer counts them, and emits no Finish.
func (m *Machine) Abort(now time.Time) []Action {
	if !m.started || m.finished {
		return nil
	}
	m.cancelAll(now, false)
	m.finished = true
	actions := m.actions
	m.actions = nil
	return actions
}
