package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Class is the kind of requests that are refused alike: those of one account with one
// priority.
type Class struct {
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Account is the name of the client account; empty if there is none.
	Account string
}

const (
	// demandHalfLife is the time in which a recorded request loses half of its weight in the
	// demand. It spans several requests of a class that sends a few per second, and is short
	// enough to notice an account that suddenly sends many times its usual rate.
	demandHalfLife = 2 * time.Second
	// minDemand is the demand in requests below which a class is forgotten.
	minDemand = 0.01
	// maxClasses bounds the memory of a Demand. The requests of further accounts count as
	// requests without an account.
	maxClasses = 4096
	// maxPriorityShare and maxAccountShare are the largest shares of the requests with one
	// priority, and of one account, that are refused, so that none is starved. What the
	// lowest priority may not be refused is refused to the next one.
	maxPriorityShare = 0.7
	maxAccountShare  = 0.9
)

// Demand divides a share of requests to refuse among classes. The lowest priority is refused
// first. Among the accounts with one priority those are refused first that ask for more than
// their fair share, in proportion to their weights, of what is admitted. It is not safe for
// concurrent use.
type Demand struct {
	classes map[Class]*classDemand
	// levels is the division by priority that was computed at dividedAt for the total divided.
	levels    map[int]level
	dividedAt time.Time
	divided   float64
}

// classDemand is the recent demand of a class.
type classDemand struct {
	requests float64 // number of requests, decayed to at
	weight   float64
	at       time.Time // of the last update of requests
}

// NewDemand returns a demand without requests.
func NewDemand() *Demand { return &Demand{classes: make(map[Class]*classDemand)} }

// Record records that a request of a class was asked for. The weight is the account's part in
// a fair division; it must be positive.
func (d *Demand) Record(now time.Time, class Class, weight float64) {
	c := d.classes[class]
	if c == nil {
		if len(d.classes) >= maxClasses {
			class.Account = ""
			c = d.classes[class]
		}
		if c == nil {
			c = &classDemand{at: now}
			d.classes[class] = c
		}
	}
	c.requests = c.decayed(now) + 1
	c.weight, c.at = weight, now
}

// decayed returns the demand decayed to now.
func (c *classDemand) decayed(now time.Time) float64 {
	age := max(now.Sub(c.at), 0)
	return c.requests * math.Exp2(-float64(age)/float64(demandHalfLife))
}

// Prune forgets classes without recent requests.
func (d *Demand) Prune(now time.Time) {
	for class, c := range d.classes {
		if c.decayed(now) < minDemand {
			delete(d.classes, class)
		}
	}
}

// Empty reports whether no class has recent requests.
func (d *Demand) Empty() bool { return len(d.classes) == 0 }

// RefusalShare returns the share of the requests of a class to refuse if the share total of
// all requests must be refused.
func (d *Demand) RefusalShare(now time.Time, class Class, total float64) float64 {
	c := d.classes[class]
	if c == nil {
		class.Account = ""
		c = d.classes[class]
	}
	if now.Sub(d.dividedAt) >= divisionAge || math.Abs(total-d.divided) > divisionError {
		d.divide(now, total)
	}
	l, ok := d.levels[class.Priority]
	switch {
	case !ok || c == nil: // the class is new
		return min(total, maxPriorityShare)
	case l.share == 0:
		return 0
	}
	requests := c.decayed(now)
	admitted := min(requests, c.weight*l.perWeight)
	return min(1-admitted/requests, maxAccountShare)
}

// level says how the requests with one priority are divided.
type level struct {
	share     float64 // to refuse, of all requests with the priority
	perWeight float64 // requests that an account may have for each unit of its weight
}

const (
	// divisionAge and divisionError are for how long, and for which difference of the total,
	// a division is used again: it visits all classes, which is too much for each request.
	divisionAge   = 50 * time.Millisecond
	divisionError = 0.02
)

// divide divides a share of all requests to refuse among the priorities, the lowest first.
func (d *Demand) divide(now time.Time, total float64) {
	d.dividedAt, d.divided = now, total
	members := map[int][]*classDemand{}
	requests := map[int]float64{}
	remaining := 0.0
	for class, c := range d.classes {
		n := c.decayed(now)
		members[class.Priority] = append(members[class.Priority], c)
		requests[class.Priority] += n
		remaining += total * n
	}
	d.levels = make(map[int]level, len(members))
	for _, p := range slices.Backward(slices.Sorted(maps.Keys(members))) {
		refused := min(remaining, maxPriorityShare*requests[p])
		remaining -= refused
		d.levels[p] = level{share: refused / requests[p], perWeight: fairLevel(now, members[p], requests[p]-refused)}
	}
}

// fairLevel returns how many requests each unit of weight may have if a number of requests is
// admitted: what a member does not ask for goes to the others.
func fairLevel(now time.Time, members []*classDemand, admitted float64) float64 {
	perWeight := func(c *classDemand) float64 { return c.decayed(now) / c.weight }
	slices.SortFunc(members, func(a, b *classDemand) int { return cmp.Compare(perWeight(a), perWeight(b)) })
	weights := 0.0
	for _, c := range members {
		weights += c.weight
	}
	for _, c := range members {
		if fair := admitted / weights; perWeight(c) > fair {
			return fair
		}
		admitted -= c.decayed(now)
		weights -= c.weight
	}
	return math.Inf(1)
}
