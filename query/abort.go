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
	return m.takeActions()
}

// Conclude ends a query before its time, with the parts that it has: an answer if they
// reach the minimum coverage, and a refusal otherwise.
func (m *Machine) Conclude(now time.Time) []Action {
	if !m.started || m.finished {
		return nil
	}
	m.concluded = true
	m.finish(now)
	return m.takeActions()
}

// takeActions returns the actions of the present event.
func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}
