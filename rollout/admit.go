package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

// admission is what a version may get.
type admission int

const (
	admitAll     admission = iota // requests like all others
	admitSpare                    // requests only if there is no other replica
	admitGranted                  // granted requests only
	admitNone                     // no requests
)

// admits returns what a version of the service may get now. An arrived version settles here once it
// has waited long enough; there is no timer for it.
func (h *Host) admits(now time.Time, s *service, name string) admission {
	v := s.versions[name]
	if t := s.trial; t != nil {
		switch {
		case name == t.order.Version && t.open():
			return admitAll
		case name == t.order.Version && !s.onlySettled(name):
			return admitGranted
		case t.open():
			return admitNone
		}
	}
	if s.ordered(name) && !s.onlySettled(name) {
		return admitNone
	}
	switch {
	case v == nil && len(s.versions) >= maxVersions: // it may be new, but was not recorded
		return admitSpare
	case v == nil || v.standing == settled:
		return admitAll
	case v.standing == refused:
		return admitNone
	case v.standing == arrived && h.settles(now, v):
		v.standing = settled
		s.updatePlain()
		return admitAll
	}
	return admitSpare
}

// settles reports whether an arrived version has waited long enough for an order.
func (h *Host) settles(now time.Time, v *version) bool {
	if h.ordersSince.IsZero() {
		return false
	}
	since := v.arrivedAt
	if h.ordersSince.After(since) {
		since = h.ordersSince
	}
	return now.Sub(since) >= h.cfg.SettleTime
}

// ordered reports whether an undecided order names a version.
func (s *service) ordered(name string) bool {
	return slices.ContainsFunc(s.orders, func(o Order) bool { return o.Version == name })
}

// onlySettled reports whether a version is the only one in service, so that an order for it
// moves nothing.
func (s *service) onlySettled(name string) bool {
	for n, v := range s.versions {
		if (n == name) != (v.standing == settled) {
			return false
		}
	}
	return s.versions[name] != nil
}

// inSwitchGrace reports whether a replica of an old version that was chosen before the switch may
// still get the request.
func (s *service) inSwitchGrace(now time.Time, name string) bool {
	v := s.versions[name]
	return s.trial != nil && s.trial.inGrace(now) && v != nil && v.standing == settled
}

// Choose returns the candidates of a service that may get a request now. If tryFirst is set,
// the first of them has the version under roll-out and should be tried before the others.
func (h *Host) Choose(now time.Time, serviceName string, candidates []replicas.Candidate) (chosen []replicas.Candidate, tryFirst bool) {
	s := h.services[serviceName]
	if s == nil || s.plain {
		return candidates, false
	}
	var spares []replicas.Candidate
	var tried *replicas.Candidate
	for i, c := range candidates {
		switch h.admits(now, s, c.Version) {
		case admitAll:
			chosen = append(chosen, c)
		case admitSpare:
			spares = append(spares, c)
		case admitGranted:
			if s.trial.balance(now) > 0 && c.Pause == 0 && (tried == nil || h.triedBefore(c, *tried)) {
				tried = &candidates[i]
			}
		}
	}
	if len(chosen) == 0 {
		chosen = spares
	}
	if tried != nil {
		return append([]replicas.Candidate{*tried}, chosen...), true
	}
	return chosen, false
}

// triedBefore is the order in which replicas of a version under roll-out are tried. All hosts
// of a data centre try the same replica, so that a few requests load it as many will later.
func (h *Host) triedBefore(a, b replicas.Candidate) bool {
	rank := func(c replicas.Candidate) int {
		n := 0
		if c.ColdNow {
			n += 2
		}
		if c.DataCentre != h.cfg.LocalDataCentre {
			n++
		}
		return n
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID)) < 0
}

// hash returns a hash of strings that is the same on all hosts.
func hash(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		_, _ = f.Write([]byte(p)) // never fails
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64()
}

// Pass is the permission for one request.
type Pass struct {
	trial *trial
	new   bool // to the version under roll-out
}

// Exposes reports whether the request goes to the version under roll-out.
func (p Pass) Exposes() bool { return p.new }

// Admit permits a request to a replica right before it is sent, and takes a granted send if it
// needs one. SpareAllowed tells whether the service has no other replica; it may be slow, and is
// called only where that matters. Each pass must be handed to Finish.
func (h *Host) Admit(now time.Time, serviceName, versionName string, spareAllowed func() bool) (Pass, bool) {
	s := h.services[serviceName]
	if s == nil || s.plain {
		return Pass{}, true
	}
	t := s.trial
	switch h.admits(now, s, versionName) {
	case admitNone:
		if !s.inSwitchGrace(now, versionName) {
			return Pass{}, false
		}
	case admitSpare:
		if !spareAllowed() {
			return Pass{}, false
		}
	case admitGranted:
		if t.balance(now) == 0 {
			return Pass{}, false
		}
		t.spent++
	}
	if t == nil {
		return Pass{}, true
	}
	p := Pass{trial: t, new: versionName == t.order.Version}
	t.requests++
	if !p.new {
		t.oldInFlight++
	}
	return p, true
}

// Permits reports whether a request that was admitted may still be sent, because getting a connection
// may have taken some time.
func (h *Host) Permits(now time.Time, serviceName, versionName string) bool {
	s := h.services[serviceName]
	if s == nil || s.plain {
		return true
	}
	switch h.admits(now, s, versionName) {
	case admitNone:
		return s.inSwitchGrace(now, versionName)
	case admitGranted:
		return s.trial.mayTry(now)
	}
	return true
}
