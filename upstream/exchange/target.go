package exchange

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// target holds the connections to one incarnation of a replica.
type target struct {
	idle []*conn // the most recently used is last
	// lingering are connections whose request was cancelled and still awaits its reply.
	lingering []*conn
	open      int // number of connections that are idle, in use or being opened
	// suspectBefore is set when a request gets no reply. Idle connections that were last
	// used before this time are closed instead of reused.
	suspectBefore time.Time
	removed       bool // by RetainOnly; connections are closed when they become idle
}

// Availability is the state of the connections to one incarnation of a replica.
type Availability struct {
	// HasIdle is set if an open connection is idle.
	HasIdle bool
	// AtLimit is set if all connections that this host may hold are in use by requests
	// that were not cancelled.
	AtLimit bool
}

// Availability returns the present state of the connections to an incarnation of a
// replica.
func (p *Pool) Availability(incarnation replicas.Incarnation) Availability {
	idle, inUse := p.usage(incarnation)
	return Availability{HasIdle: idle, AtLimit: inUse > 0 && inUse >= p.limit(incarnation)}
}

// usage reports whether a connection is idle and, if none is idle or lingering, the number
// of open connections. The caller calls limit, because that must not happen under the lock,
// as in reserve.
func (p *Pool) usage(incarnation replicas.Incarnation) (idle bool, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[incarnation]
	if t == nil || len(t.idle) > 0 || len(t.lingering) > 0 {
		return t != nil && len(t.idle) > 0, 0
	}
	return false, t.open
}

// ErrNoConnection reports that all connections that this host may hold to a replica are in
// use.
var ErrNoConnection = errors.New("all connections to the replica are in use")

// reserve returns an idle connection, or nil if the caller may open one. It closes idle and
// lingering connections that are too old or in the way of the limit.
func (p *Pool) reserve(c Call) (*conn, error) {
	limit := p.limit(c.Destination) // before locking: limit may need a lock whose holder calls this pool
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[c.Destination]
	if t == nil {
		t = &target{}
		p.targets[c.Destination] = t
	}
	if idle := p.takeIdle(t, c); idle != nil {
		return idle, nil
	}
	if t.open >= limit {
		switch {
		case len(t.idle) > 0:
			t.idle[0].Close()
			t.idle = t.idle[1:]
			t.open--
			p.countClosed("replaced")
		case len(t.lingering) > 0:
			// Its request decrements open when it fails on the closed connection, which
			// happens immediately.
			t.lingering[0].Close()
			t.lingering = t.lingering[1:]
			p.countClosed("lingering")
		default:
			return nil, errors.Mark(errors.Wrapf(ErrNoConnection, "replica %s", c.Destination.ID), upstream.ErrConnect)
		}
	}
	t.open++
	return nil, nil
}

// takeIdle removes the most recently used idle connection that can carry the request, and
// returns nil if there is none. It closes those that are too old. The caller holds mu.
func (p *Pool) takeIdle(t *target, c Call) *conn {
	now := time.Now()
	id := hashID(c.Request.ID)
	for i := len(t.idle) - 1; i >= 0; i-- {
		idle := t.idle[i]
		age := now.Sub(idle.lastUsed)
		if age > idle.idle-idleMargin || idle.lastUsed.Before(t.suspectBefore) {
			t.idle = slices.Delete(t.idle, i, i+1)
			t.open--
			idle.Close()
			p.countClosed("idle_too_long")
			continue
		}
		if c.AtMostOnce && age > maxFreshIdle {
			return nil // the others were last used before
		}
		if idle.carried.has(id) {
			p.passedOver.Inc(1)
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		return idle
	}
	return nil
}

// release returns a connection to the pool if it can be kept, and closes it otherwise. c is
// nil if the connection could not be opened.
func (p *Pool) release(incarnation replicas.Incarnation, c *conn, keep bool) {
	p.mu.Lock()
	t := p.targets[incarnation]
	t.lingering = slices.DeleteFunc(t.lingering, func(o *conn) bool { return o == c })
	if keep && !t.removed {
		c.lastUsed = time.Now()
		t.idle = append(t.idle, c)
		c = nil
	} else {
		t.open--
	}
	if t.removed && t.open == 0 {
		delete(p.targets, incarnation)
	}
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// linger limits the wait for the reply to a cancelled request, and marks its connection as
// lingering.
func (p *Pool) linger(call Call, c *conn, serial int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.shortenWait(serial, call.Deadline) {
		t := p.targets[call.Destination]
		t.lingering = append(t.lingering, c)
	}
}

// suspectIdle makes reserve close the idle connections that were last used before the time.
func (p *Pool) suspectIdle(incarnation replicas.Incarnation, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[incarnation]; t != nil && before.After(t.suspectBefore) {
		t.suspectBefore = before
	}
}

// RetainOnly closes the connections to all incarnations that are not in the set.
func (p *Pool) RetainOnly(incarnations map[replicas.Incarnation]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, t := range p.targets {
		t.removed = !incarnations[incarnation]
		if !t.removed {
			continue
		}
		for _, c := range t.idle {
			c.Close()
		}
		t.open -= len(t.idle)
		t.idle = nil
		if t.open == 0 {
			delete(p.targets, incarnation)
		}
	}
}
