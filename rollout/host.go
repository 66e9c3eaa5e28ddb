package rollout

import (
	"slices"
	"time"
)

// standing is what a host knows of a version of a service, leaving undecided orders aside.
type standing int

const (
	// settled versions get requests like all others.
	settled standing = iota
	// arrived versions were registered a short time ago. They get requests only if the
	// service has no other replica, because an order for them may follow.
	arrived
	// withdrawn versions were named by an order that was removed before it was decided.
	// They are treated like arrived ones, but never settle by themselves.
	withdrawn
	// refused versions were rolled back or replaced. They get nothing until a new order.
	refused
)

const (
	// maxServices and maxVersions of each bound what is kept, whatever the store lists.
	maxServices = 20_000
	maxVersions = 64
)

// version is a version of a service.
type version struct {
	standing  standing
	arrivedAt time.Time
}

// service is a service of which replicas or orders are known.
type service struct {
	versions map[string]*version
	orders   []Order // undecided, the oldest first; only the first is carried out
	trial    *trial  // of the first order; nil if there is none
	plain    bool    // all versions are settled and there is no order
}

// Host decides which replicas may get requests from this host.
type Host struct {
	cfg      Config
	id       string
	run      uint64
	services map[string]*service
	orders   map[string]Order  // by name of the object, decided ones included
	applied  map[OrderID]State // final states that were carried out here
	// listed is set once the replicas were listed: versions seen later are new.
	listed bool
	// ordersSince is since when the list of orders has been kept up to date; zero if it is
	// not.
	ordersSince time.Time
}

// NewHost returns the state of a host. Run must differ for each run of its process.
func NewHost(cfg Config, id string, run uint64) *Host {
	return &Host{cfg: cfg, id: id, run: run, services: map[string]*service{}, orders: map[string]Order{}, applied: map[OrderID]State{}}
}

// service returns what is known of a service, which may be nothing yet.
func (h *Host) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{versions: map[string]*version{}, plain: true}
		h.services[name] = s
	}
	return s
}

// SeeReplica records that a replica is registered. New versions are withheld once the
// replicas were listed.
func (h *Host) SeeReplica(now time.Time, serviceName, versionName string) {
	if h.services[serviceName] == nil && len(h.services) >= maxServices {
		return
	}
	s := h.service(serviceName)
	if s.versions[versionName] != nil || !s.makeRoom() {
		return
	}
	v := &version{standing: settled, arrivedAt: now}
	if len(s.versions) > 0 && (h.listed || s.decided()) {
		v.standing = arrived
	}
	s.versions[versionName] = v
	s.updatePlain()
}

// SetListed records that all registered replicas have been seen.
func (h *Host) SetListed() { h.listed = true }

// decided reports whether a version was refused, so that others need not be in service.
func (s *service) decided() bool {
	for _, v := range s.versions {
		if v.standing == refused {
			return true
		}
	}
	return false
}

// SetOrdersAvailable records whether the list of orders is kept up to date. New versions
// settle only while it is.
func (h *Host) SetOrdersAvailable(now time.Time, available bool) {
	h.ordersSince = time.Time{}
	if available {
		h.ordersSince = now
	}
}

// SetOrders replaces all orders.
func (h *Host) SetOrders(now time.Time, orders []Order) {
	listed := map[string]bool{}
	for _, o := range orders {
		listed[o.Name] = true
	}
	for name := range h.orders {
		if !listed[name] {
			h.RemoveOrder(now, name)
		}
	}
	for _, o := range orders {
		h.PutOrder(now, o)
	}
}

// PutOrder adds or updates an order.
func (h *Host) PutOrder(now time.Time, o Order) {
	before, known := h.orders[o.Name]
	if known && o.Revision < before.Revision {
		return
	}
	h.orders[o.Name] = o
	if known && before.OrderID != o.OrderID {
		h.withdraw(before)
		h.arrange(now, before.Service)
	}
	h.apply(&o)
	h.arrange(now, o.Service)
}

// BeginEra records that the store was restored from a copy: revisions begin anew, and orders may
// have an older status than is known, which stays in force here.
func (h *Host) BeginEra() {
	for name, o := range h.orders {
		o.Revision = 0
		h.orders[name] = o
	}
}

// Fence returns the number of the latest term of a leader that this host has heard of; 0 if none.
func (h *Host) Fence(id OrderID) uint64 {
	if t := h.trialOf(id); t != nil {
		return t.fence
	}
	return 0
}

// RemoveOrder removes an order. Unless it was decided, a version that was not in service before gets
// requests only if the service has no other replica.
func (h *Host) RemoveOrder(now time.Time, name string) {
	if o, known := h.orders[name]; known {
		delete(h.orders, name)
		h.withdraw(o)
		h.arrange(now, o.Service)
	}
}

// withdraw ends an order that was removed or changed. If it was undecided, its version stays withheld
// unless it was in service before: the operator may have changed their mind about it.
func (h *Host) withdraw(o Order) {
	s := h.service(o.Service)
	v := s.versions[o.Version]
	if _, decided := h.applied[o.OrderID]; !decided && v != nil && v.standing == arrived {
		v.standing = withdrawn
	}
	delete(h.applied, o.OrderID)
	if s.trial != nil && s.trial.order.OrderID == o.OrderID {
		s.trial = nil
	}
}

// apply carries out the final state of an order, once.
func (h *Host) apply(o *Order) {
	state, decided := o.Decided()
	if !decided || h.applied[o.OrderID] == state {
		return
	}
	h.applied[o.OrderID] = state
	s := h.service(o.Service)
	target := s.version(o.Version)
	if state == RolledBack {
		target.standing = refused
		return
	}
	for _, v := range s.versions {
		v.standing = refused
	}
	target.standing = settled
}

// version returns a version, which an order may name before its first replica is registered.
// makeRoom reports whether another version can be recorded. It forgets the refused version that
// arrived first, whose replicas have long left, if there are too many.
func (s *service) makeRoom() bool {
	if len(s.versions) < maxVersions {
		return true
	}
	oldest := ""
	for name, v := range s.versions {
		if v.standing == refused && (oldest == "" || v.arrivedAt.Before(s.versions[oldest].arrivedAt)) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(s.versions, oldest)
	return true
}

// version returns a version, which an order may name before a replica has it.
func (s *service) version(name string) *version {
	if s.versions[name] == nil {
		s.makeRoom() // an order is recorded in any case
		s.versions[name] = &version{standing: arrived}
	}
	return s.versions[name]
}

// arrange brings the undecided orders of a service up to date.
func (h *Host) arrange(now time.Time, name string) {
	s := h.service(name)
	s.orders = s.orders[:0]
	for _, o := range h.orders {
		if _, decided := o.Decided(); !decided && o.Service == name {
			s.orders = append(s.orders, o)
		}
	}
	slices.SortFunc(s.orders, compareOrders)
	s.updateTrial(now, h.cfg.grantLifetime())
	if t := s.trial; t != nil && h.applied[t.order.OrderID] == RolledBack {
		// The store has lost the status. The trial writes it again; the version gets nothing.
		s.version(t.order.Version).standing = refused
	}
	s.updatePlain()
}

// updateTrial begins the trial of the first order, or ends the one that is over.
func (s *service) updateTrial(now time.Time, lifetime time.Duration) {
	switch {
	case len(s.orders) == 0:
		s.trial = nil
	case s.trial == nil || s.trial.order.OrderID != s.orders[0].OrderID:
		s.trial = newTrial(now, s.orders[0], lifetime)
		if v := s.version(s.orders[0].Version); v.standing == refused {
			v.standing = withdrawn // a new order gives it another chance
		}
	default:
		s.trial.order = s.orders[0]
	}
}

// updatePlain must be called after each change of the orders or of a standing.
func (s *service) updatePlain() {
	s.plain = len(s.orders) == 0
	for _, v := range s.versions {
		s.plain = s.plain && v.standing == settled
	}
}

// Finish records how an admitted request ended.
func (h *Host) Finish(p Pass, route string, r Result, latency time.Duration) {
	if p.trial != nil {
		p.trial.finish(p, route, r, latency)
	}
}

// Trials returns the orders that are being carried out, the oldest first.
func (h *Host) Trials() []Order {
	var orders []Order
	for _, s := range h.services {
		if s.trial != nil {
			orders = append(orders, s.trial.order)
		}
	}
	slices.SortFunc(orders, compareOrders)
	return orders
}

// Report returns this host's report on an order, or false if it isn't being carried out.
func (h *Host) Report(now time.Time, id OrderID) (Report, bool) {
	t := h.trialOf(id)
	if t == nil {
		return Report{}, false
	}
	r := t.report(now)
	r.Host, r.Run = h.id, h.run
	return r, true
}

// HandleReply applies the reply to a report that was sent at a time. It returns the phase
// that the roll-out enters, or an empty one if that is unchanged.
func (h *Host) HandleReply(now, sentAt time.Time, r Reply) (entered Phase) {
	t := h.trialOf(r.Order)
	if t == nil {
		return ""
	}
	before := t.phase
	t.handle(now, sentAt, r)
	if t.phase == before {
		return ""
	}
	return t.phase
}

// Quiet returns for how long no leader of an order has replied to this host.
func (h *Host) Quiet(now time.Time, id OrderID) time.Duration {
	t := h.trialOf(id)
	if t == nil {
		return 0
	}
	return now.Sub(t.heardOrBegan())
}

// Alone reports whether a version is the only one of a service in service.
func (h *Host) Alone(serviceName, versionName string) bool {
	return h.service(serviceName).onlySettled(versionName)
}

// trialOf returns the trial of an order, or nil if the order isn't being carried out.
func (h *Host) trialOf(id OrderID) *trial {
	s := h.services[id.Service]
	if s == nil || s.trial == nil || s.trial.order.OrderID != id {
		return nil
	}
	return s.trial
}
