// Package admission tells which share of the requests to a service to refuse while the
// service's own reports show that it can't keep up.
//
// A request that is refused at once can be repeated; one that is sent to a service with
// a long queue is answered late, and so are those behind it. Single upstreams are slow
// or stop, which the choice between them deals with: only a queue at the least loaded
// one counts.
package admission

import (
	"slices"
	"time"
)

// Config sets what counts as a long queue.
type Config struct {
	// Waiting is the number of waiting requests for each slot at which the share of
	// refusals stays as it is.
	Waiting float64
	// ProportionalGain and IntegralGain are the change of the share for each waiting request per slot above
	// or below: at once, so that the share does not swing, and per second.
	ProportionalGain, IntegralGain float64
	// MaxShare is the largest share, so that reports go on coming in.
	MaxShare float64
	// MaxReportAge is how long a report counts.
	MaxReportAge time.Duration
	// TargetFraction is the part of a request's target latency up to which a service's
	// usual time for a reply endangers no target, however long the queue.
	TargetFraction float64
}

// Load is what an upstream reports of itself.
type Load struct {
	Waiting, Slots int
}

// Change is a service to which requests begin or cease to be refused.
type Change struct {
	Service  string
	Refusing bool
	Waiting  float64 // waiting requests for each slot at the least loaded upstream
}

// Controller is not safe for concurrent use.
type Controller struct {
	cfg      Config
	services map[string]*service
}

type service struct {
	reports  map[string]report
	lasting  float64 // share that IntegralGain has added up, from 0 to cfg.MaxShare
	took     float64 // usual time for a reply in nanoseconds
	at       time.Time
	refusing bool
}

type report struct {
	waiting float64 // for each slot
	at      time.Time
}

// tookWeight is the weight of a new reply in the usual time for one.
const tookWeight = 0.05

// New returns a gate that refuses nothing.
func New(cfg Config) *Controller { return &Controller{cfg: cfg, services: make(map[string]*service)} }

// Report takes what an upstream of a service reported with a reply that took some time.
// It returns the change if requests to the service begin or cease to be refused.
func (g *Controller) Report(now time.Time, name, upstream string, load Load, took time.Duration) (Change, bool) {
	if load.Slots <= 0 {
		return Change{}, false
	}
	s := g.services[name]
	if s == nil {
		s = &service{reports: make(map[string]report), at: now, took: float64(took)}
		g.services[name] = s
	}
	s.advance(now, g.cfg)
	s.took += tookWeight * (float64(took) - s.took)
	s.reports[upstream] = report{waiting: float64(load.Waiting) / float64(load.Slots), at: now}
	if refusing := s.share(now, g.cfg) > 0; refusing != s.refusing {
		s.refusing = refusing
		return Change{Service: name, Refusing: refusing, Waiting: s.waiting(now, g.cfg.MaxReportAge)}, true
	}
	return Change{}, false
}

// RefusalShare returns the share of requests over all these services, with a target latency, to
// refuse: the median of the services' own, so that routes that need more or fewer parts
// are treated alike.
func (g *Controller) RefusalShare(now time.Time, names []string, target time.Duration) float64 {
	if len(names) == 0 {
		return 0
	}
	shares := make([]float64, len(names))
	for i, name := range names {
		if s := g.services[name]; s != nil {
			s.advance(now, g.cfg)
			if s.took > g.cfg.TargetFraction*float64(target) {
				shares[i] = s.share(now, g.cfg)
			}
		}
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// Prune forgets services without a report since a time.
func (g *Controller) Prune(since time.Time) {
	for name, s := range g.services {
		for id, r := range s.reports {
			if r.at.Before(since) {
				delete(s.reports, id)
			}
		}
		if len(s.reports) == 0 {
			delete(g.services, name)
		}
	}
}

// share returns the share of the requests to refuse, from 0 to cfg.MaxShare.
func (s *service) share(now time.Time, cfg Config) float64 {
	return min(max(s.lasting+cfg.ProportionalGain*(s.waiting(now, cfg.MaxReportAge)-cfg.Waiting), 0), cfg.MaxShare)
}

// advance changes the lasting share by what the queue was since the last time.
func (s *service) advance(now time.Time, cfg Config) {
	passed := now.Sub(s.at).Seconds()
	if passed <= 0 {
		return
	}
	s.lasting += cfg.IntegralGain * (s.waiting(now, cfg.MaxReportAge) - cfg.Waiting) * passed
	s.lasting = min(max(s.lasting, 0), cfg.MaxShare)
	s.at = now
}

// waiting returns the queue of the least loaded upstream with a recent report, 0 if there
// is none.
func (s *service) waiting(now time.Time, age time.Duration) float64 {
	least, found := 0.0, false
	for _, r := range s.reports {
		if now.Sub(r.at) <= age && (!found || r.waiting < least) {
			least, found = r.waiting, true
		}
	}
	return least
}
