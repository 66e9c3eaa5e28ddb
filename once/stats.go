package once

import "time"

// Stats counts what a Machine did since its start.
type Stats struct {
	Reads         uint64 // reads of journals
	Updates       uint64 // updates that took effect
	Records       uint64 // claims, tombstones and outcomes in those updates
	Conflicts     uint64 // updates that met a newer version
	LostResponses uint64 // updates whose answer was lost
	FailedCalls   uint64 // calls that the platform refused or did not take
	Dispatches    uint64 // requests dispatched
	Ran           uint64 // answers RunRan
	NotRun        uint64 // answers RunNotRun
	MayHaveRun    uint64 // answers RunMayHaveRun
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

// JournalStatus describes a journal as this host last saw it.
type JournalStatus struct {
	Journal     int
	Version     uint64
	Entries     int
	Bytes       int // size of the value
	Claimed     int // entries without an outcome
	Queued      int // operations that wait for an update
	Unconfirmed int // operations in updates whose answer was lost
}

// Journals describes the journals that this host has in memory or works on.
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
			Unconfirmed: len(j.unsettled),
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

// Flush starts the updates of all outcomes without waiting for an update that
// they can share, now and from now on. A host that stops calls it, so that its
// last outcomes are not lost.
func (m *Machine) Flush(now time.Time) []Action {
	m.cfg.OutcomeDelay = 0
	var acts []Action
	for _, j := range m.journals {
		for _, o := range j.queue {
			if o.kind == opOutcome {
				o.wanted = now
				j.wanted = now
			}
		}
		acts = append(acts, m.advance(now, j)...)
	}
	return acts
}
