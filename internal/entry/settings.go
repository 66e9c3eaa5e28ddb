// Package entry is the tier between callers and replicas on a platform whose store
// holds the configuration and the registry of replicas. It routes requests, scatters
// them over shards or sends them to one replica, and answers.
package entry

import (
	"time"

	"github.com/marigoldlever/marigoldlever/quota"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// Settings are the validated settings of an entry.
type Settings struct {
	Host       string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string

	CallerAddress    string
	ReadinessAddress string
	MetricsAddress   string // empty if none
	PeerAddress      string // for calls from other hosts; empty if none
	StoreAddress     string
	Cores            float64 // CPU seconds per second; 0 if not known
	MemoryMB         int
	Sockets          int     // descriptors that sockets may take; 0 if not known
	LinkMbps         float64 // bandwidth of this host's link in Mbit/s; 0 if not known
	FirstStart       bool    // whether all hosts start for the first time

	Bounds Bounds
}

// Bounds are the limits set by the operators, which all hosts together must keep.
type Bounds struct {
	// DrainTime is how long a draining replica continues to serve.
	DrainTime time.Duration
	// ContactTime is how long a host may take to be up to date after the store becomes
	// available again.
	ContactTime time.Duration
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// ConfigurationTime is the time until an accepted configuration is in force.
	ConfigurationTime time.Duration
	// OutTime is the time until a data centre that is taken out gets no new work.
	OutTime time.Duration
	// ExtraRatio and ExtraSlack limit the sends beyond the first of each request (retries
	// and hedges) for each service within any ExtraWindow: ExtraRatio extra sends per
	// request, plus ExtraSlack.
	ExtraRatio  float64
	ExtraSlack  float64
	ExtraWindow time.Duration
	// ColdFactor and ColdSlack limit the requests to a cold replica per second: the
	// service's rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// ExposureShare and ExposureSlack limit the requests to a version under roll-out:
	// ExposureShare of the requests to its service, plus ExposureSlack. Without them, the
	// versions of replicas are ignored.
	ExposureShare float64
	ExposureSlack float64
	// RollbackTime is the time within which a bad version must get nothing more.
	RollbackTime time.Duration
	// Quota limits how far all hosts together may exceed an account's quota.
	Quota quota.Bounds
}

// RolloutsInForce reports whether the operators bound the exposure to a new version, and order
// roll-outs.
func (b Bounds) RolloutsInForce() bool { return b.ExposureShare > 0 || b.ExposureSlack > 0 }

// watchMargin is reserved within ContactTime for a late answer and the calls that
// follow.
const watchMargin = time.Second

const (
	// batchShare of the shortest bound is the batch delay of a host that reads from the
	// store directly.
	batchShare = 1.0 / 5
	// watcherShare of the shortest bound is the time within which a watcher notices that
	// the store does not answer; the rest is for the hosts that ask the watcher.
	watcherShare = 0.55
	// watcherBatchDelay is the batch delay of a watcher. It can be short because
	// watchers are few.
	watcherBatchDelay = 400 * time.Millisecond
	minPollTimeout    = 300 * time.Millisecond
)

// WatcherConfig returns the settings of the watchers that keep the bounds.
func (s Settings) WatcherConfig(replyGrace time.Duration) watchers.Config {
	c := s.Bounds.WatcherConfig(replyGrace)
	c.HistoryBytes = int(max(s.memoryLimit().Share(historyShare), minHistoryBytes))
	return c
}

// WatcherConfig returns the poll timeouts and batch delays that keep the bounds. The
// store may lose a pending poll when it fails, and a change is then seen only after the
// poll timeout. ReplyGrace is how much later than the timeout an answer may arrive.
func (b Bounds) WatcherConfig(replyGrace time.Duration) watchers.Config {
	shortest := float64(min(b.DrainTime, b.ConfigurationTime, b.OutTime))
	return watchers.Config{
		DirectPollTimeout: max(b.ContactTime-watchMargin, watchMargin),
		DirectBatchDelay:  time.Duration(batchShare * shortest),
		PollTimeout:       max(time.Duration(watcherShare*shortest)-watcherBatchDelay-replyGrace, minPollTimeout),
		BatchDelay:        watcherBatchDelay,
		ReplyGrace:        replyGrace,
	}
}
