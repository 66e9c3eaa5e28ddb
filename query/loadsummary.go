package query

import (
	"slices"
	"time"
)

// maxSummaryAge is the age up to which a report of load counts in a LoadSummary.
const maxSummaryAge = 10 * time.Second

// LoadSummary describes the load that replicas report, and how far choices rest on it.
type LoadSummary struct {
	// Informed is the number of choices since the last summary that fell on a replica which
	// reports its load, and Uninformed that of the others.
	Informed, Uninformed int
	// ReportAge is the mean age of the reports at the informed choices.
	ReportAge time.Duration
	// Replicas is the number of replicas with a recent report. MedianLoad and HighLoad are
	// the 0.5 and 0.9 quantiles of their estimated requests for each slot.
	Replicas             int
	MedianLoad, HighLoad float64
}

// choiceCounts counts choices since the last summary.
type choiceCounts struct {
	informed, uninformed int
	reportAge            time.Duration // sum
}

// count records that a replica was chosen.
func (c *choiceCounts) count(now time.Time, r *replicaStats) {
	if !r.load.Known() {
		c.uninformed++
		return
	}
	c.informed++
	c.reportAge += r.load.Age(now)
}

// SummarizeLoad returns a summary of the time since its last call.
func (s *Stats) SummarizeLoad(now time.Time) LoadSummary {
	const median, high = 0.5, 0.9
	summary := LoadSummary{Informed: s.choices.informed, Uninformed: s.choices.uninformed}
	if summary.Informed > 0 {
		summary.ReportAge = s.choices.reportAge / time.Duration(summary.Informed)
	}
	s.choices = choiceCounts{}
	var loads []float64
	for _, r := range s.replicas {
		if r.load.Known() && r.load.Age(now) <= maxSummaryAge {
			loads = append(loads, r.load.PerSlot(r.inFlight))
		}
	}
	if summary.Replicas = len(loads); len(loads) > 0 {
		slices.Sort(loads)
		summary.MedianLoad = loads[int(median*float64(len(loads)-1))]
		summary.HighLoad = loads[int(high*float64(len(loads)-1))]
	}
	return summary
}
