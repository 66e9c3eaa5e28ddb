// Package admission determines the share of requests to refuse while the load reports
// of a service show that it is overloaded.
//
// A request that is refused immediately can be repeated. A request that joins a long
// queue is answered late, and so are the requests behind it. Single slow or stopped
// upstreams are handled by the choice of the replica. Therefore only the queue of the
// least loaded upstream counts.
package admission

import (
	"slices"
	"time"
)

// Config holds the parameters of a Controller. The share of refused requests follows a
// proportional-integral control of the queue length.
type Config struct {
	// Waiting is the set point: the number of waiting requests per slot at which the
	// share stays constant.
	Waiting float64
	// ProportionalGain is the share per waiting request per slot above or below Waiting.
	// It takes effect at once and keeps the share from oscillating. IntegralGain is the
	// change of the share per second for the same deviation.
	ProportionalGain, IntegralGain float64
	// MaxShare is the maximum share. It is below 1 so that some requests still go
	// through and return load reports.
	MaxShare float64
	// MaxReportAge is the age up to which a report is used.
	MaxReportAge time.Duration
	// TargetFraction is a fraction of a request's target latency. A service whose mean
	// reply time does not exceed it puts no target at risk: its share for the request is
	// 0, regardless of the queue.
	TargetFraction float64
}

// Load is the load report of an upstream: its waiting requests and its slots.
type Load struct {
	Waiting, Slots int
}

// Change reports that requests to a service begin or cease to be refused.
type Change struct {
	Service  string
	Refusing bool
	Waiting  float64 // waiting requests per slot at the least loaded upstream
}

// Controller computes the share of requests to refuse for each service. It is not safe
// for concurrent use.
type Controller struct {
	cfg      Config
	services map[string]*service
}

// service holds the reports and the control state of a service.
type service struct {
	reports   map[string]report
	integral  float64   // integral term of the share, from 0 to cfg.MaxShare
	replyTime float64   // mean reply time in nanoseconds
	at        time.Time // of the last update of integral
	refusing  bool
}

// report is the latest report of an upstream.
type report struct {
	queuePerSlot float64 // waiting requests per slot
	at           time.Time
}

// replyTimeWeight is the weight of a new sample in the mean reply time.
const replyTimeWeight = 0.05

// New returns a controller without reports, which refuses nothing.
func New(cfg Config) *Controller { return &Controller{cfg: cfg, services: make(map[string]*service)} }

// Report records the load that an upstream of a service reported with a reply, and the
// time that the reply took. It returns the change and true if requests to the service
// begin or cease to be refused.
func (c *Controller) Report(now time.Time, name, upstream string, load Load, replyTime time.Duration) (Change, bool) {
	if load.Slots <= 0 {
		return Change{}, false
	}
	s := c.services[name]
	if s == nil {
		s = &service{reports: make(map[string]report), at: now, replyTime: float64(replyTime)}
		c.services[name] = s
	}
	s.advance(now, c.cfg)
	s.replyTime += replyTimeWeight * (float64(replyTime) - s.replyTime)
	s.reports[upstream] = report{queuePerSlot: float64(load.Waiting) / float64(load.Slots), at: now}
	if refusing := s.share(now, c.cfg) > 0; refusing != s.refusing {
		s.refusing = refusing
		return Change{Service: name, Refusing: refusing, Waiting: s.queuePerSlot(now, c.cfg.MaxReportAge)}, true
	}
	return Change{}, false
}

// RefusalShare returns the share of the requests to refuse that need all the named
// services and have the given target latency. It is the median of the services' shares,
// and the lower one of the two middle shares if their number is even, so that requests to
// many and to few services are treated alike.
func (c *Controller) RefusalShare(now time.Time, names []string, target time.Duration) float64 {
	if len(names) == 0 {
		return 0
	}
	shares := make([]float64, len(names))
	for i, name := range names {
		if s := c.services[name]; s != nil {
			s.advance(now, c.cfg)
			if s.replyTime > c.cfg.TargetFraction*float64(target) {
				shares[i] = s.share(now, c.cfg)
			}
		}
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// Prune removes the reports received before the given time, and services without
// reports.
func (c *Controller) Prune(since time.Time) {
	for name, s := range c.services {
		for id, r := range s.reports {
			if r.at.Before(since) {
				delete(s.reports, id)
			}
		}
		if len(s.reports) == 0 {
			delete(c.services, name)
		}
	}
}

// share returns the share of requests to refuse, from 0 to cfg.MaxShare.
func (s *service) share(now time.Time, cfg Config) float64 {
	return min(max(s.integral+cfg.ProportionalGain*(s.queuePerSlot(now, cfg.MaxReportAge)-cfg.Waiting), 0), cfg.MaxShare)
}

// advance updates the integral term for the time since the last update.
func (s *service) advance(now time.Time, cfg Config) {
	elapsed := now.Sub(s.at).Seconds()
	if elapsed <= 0 {
		return
	}
	s.integral += cfg.IntegralGain * (s.queuePerSlot(now, cfg.MaxReportAge) - cfg.Waiting) * elapsed
	s.integral = min(max(s.integral, 0), cfg.MaxShare)
	s.at = now
}

// queuePerSlot returns the waiting requests per slot of the least loaded upstream with a
// recent report, or 0 if there is none.
func (s *service) queuePerSlot(now time.Time, age time.Duration) float64 {
	shortest, found := 0.0, false
	for _, r := range s.reports {
		if now.Sub(r.at) <= age && (!found || r.queuePerSlot < shortest) {
			shortest, found = r.queuePerSlot, true
		}
	}
	return shortest
}
