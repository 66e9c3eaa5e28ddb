package once

import "time"

// Stats holds the counters of a Machine since its start.
type Stats struct {
	Reads         uint64 // reads of journals
	Updates       uint64 // updates that took effect
	Records       uint64 // claims, tombstones and outcomes in those updates
	Conflicts     uint64 // updates that failed because the journal had a newer version
	LostResponses uint64 // updates whose response was lost
	FailedCalls   uint64 // failed calls, without conflicts and updates that were too large
	Dispatches    uint64 // requests dispatched
	Ran           uint64 // answers with RunRan
	NotRun        uint64 // answers with RunNotRun
	MayHaveRun    uint64 // answers with RunMayHaveRun
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

func (s *Stats) answered(r Run) {
	switch r {
	case RunRan:
		s.Ran++
	case RunNotRun:
		s.NotRun++
	default:
		s.MayHaveRun++
	}
}

// JournalStatus is the state of a journal as this host knows it.
type JournalStatus struct {
	Journal     int
	Version     uint64
	Entries     int
	Bytes       int // size of the encoded value
	Claimed     int // entries without an outcome
	Queued      int // operations that wait for an update
	Unconfirmed int // operations in updates whose response was lost
}

// Journals returns the status of the journals that this host has cached or has
// operations for.
func (m *Machine) Journals() []JournalStatus {
	var list []JournalStatus
	for _, j := range m.journals {
		if !j.known && j.idle() {
			continue
		}
		s := JournalStatus{
			Journal:     j.index,
			Version:     j.version,
			Queued:      len(j.queue),
			Unconfirmed: len(j.unconfirmed),
		}
		if j.contents != nil {
			s.Entries = len(j.contents.order)
			s.Bytes = j.contents.size()
			s.Claimed = j.contents.claimed
		}
		list = append(list, s)
	}
	return list
}

// Flush starts the updates of all queued outcomes and sets OutcomeDelay to 0 for
// later ones. A host calls it when it stops, so that its last outcomes are not
// lost.
func (m *Machine) Flush(now time.Time) []Action {
	m.cfg.OutcomeDelay = 0
	var acts []Action
	for _, j := range m.journals {
		for _, o := range j.queue {
			if o.kind == opOutcome {
				o.dueAt = now
				j.dueAt = now
			}
		}
		acts = append(acts, m.advance(now, j)...)
	}
	return acts
}
