// Package entry is the tier that callers reach on a platform that keeps the
// configuration and the registry of replicas in its store: it routes requests,
// scatters them over shards or sends them to one replica, and answers.
package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// Settings are the checked settings of an entry.
type Settings struct {
	Host       string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string

	CallerAddress    string
	ReadinessAddress string
	MetricsAddress   string // empty if none
	PeerAddress      string // for calls between hosts; empty if none
	StoreAddress     string
	Cores            float64 // processor time in a second, in seconds; 0 if not known
	MemoryMB         int
	LinkMbps         float64 // megabits a second of this host's link; 0 if not known

	Bounds Bounds
}

// Bounds are the operators' figures that all hosts together have to keep.
type Bounds struct {
	// DrainTime is how long a replica that leaves goes on serving.
	DrainTime time.Duration
	// ContactTime is how long a host may take to be up to date again after the
	// store was out of reach.
	ContactTime time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// ConfigurationTime is the time until an accepted configuration is in force.
	ConfigurationTime time.Duration
	// OutTime is the time until a data centre that is taken out gets no new work.
	OutTime time.Duration
	// ExtraRatio and ExtraSlack bound the sends beyond the first of each request,
	// for each service in any ExtraWindow.
	ExtraRatio  float64
	ExtraSlack  float64
	ExtraWindow time.Duration
	// ColdFactor and ColdSlack bound the requests to a cold replica in a second:
	// the service's rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
}

// watchMargin is left of the contact time for an answer that is late and for the
// calls that follow it.
const watchMargin = time.Second

const (
	// gatherShare is the part of the shortest bound for which a host that asks the
	// store for itself may gather changes.
	gatherShare = 1.0 / 5
	// watcherShare is the part of the shortest bound after which the silence of a
	// watcher's store is noticed; the rest is for the hosts that asked it.
	watcherShare = 0.55
	// watcherGather is a watcher's pause after changes. Watchers are few.
	watcherGather = 400 * time.Millisecond
	shortestWait  = 300 * time.Millisecond
)

// WatcherConfig returns how long calls to the store may wait for changes. The store
// may lose a waiting call when it goes away, and the change is then seen only after
// the wait. ReplyGrace is how much later than the wait an answer may come.
func (b Bounds) WatcherConfig(late time.Duration) watchers.Config {
	shortest := float64(min(b.DrainTime, b.ConfigurationTime, b.OutTime))
	return watchers.Config{
		DirectPollTimeout: max(b.ContactTime-watchMargin, watchMargin),
		DirectBatchDelay:  time.Duration(gatherShare * shortest),
		PollTimeout:       max(time.Duration(watcherShare*shortest)-watcherGather-late, shortestWait),
		BatchDelay:        watcherGather,
		ReplyGrace:        late,
	}
}
