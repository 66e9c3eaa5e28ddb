package replicas

import "time"

// Status is a registered replica, and why it may not get new work.
type Status struct {
	Candidate
	// Excluded is empty if the replica may get new work, now or after a pause.
	Excluded string
}

// Statuses returns all registered replicas of a service.
func (r *Registry) Statuses(now time.Time, service string) []Status {
	var statuses []Status
	for _, e := range r.services[service] {
		statuses = append(statuses, Status{Candidate: e.candidate(now), Excluded: e.excluded(r.out)})
	}
	return statuses
}

// excluded returns why the replica may not get new work; empty if it may.
func (e *entry) excluded(out map[string]bool) string {
	switch {
	case e.Draining:
		return "it is registered as draining"
	case e.run.leaving:
		return "it said that it is leaving"
	case e.run.returned:
		return "it was gone before the store was restored from a copy that lists it"
	case e.run.moved:
		return "another replica answered at its address"
	case out[e.DataCentre]:
		return "its data centre is out of service"
	}
	return ""
}
