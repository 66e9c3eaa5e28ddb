package platformstandin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// hostLog holds the host list as it was at each change, so that a lagging list
// can be served.
type hostLog struct {
	states []hostState
}

type hostState struct {
	at    time.Time
	hosts []objectstore.Host // sorted by ID, never changed
}

// maxLag bounds how long old states of the list are kept.
const maxLag = 10 * time.Minute

// newest returns the list without lag.
func (l *hostLog) newest() []objectstore.Host {
	if len(l.states) == 0 {
		return nil
	}
	return l.states[len(l.states)-1].hosts
}

// at returns the list as it was at t.
func (l *hostLog) at(t time.Time) []objectstore.Host {
	for _, s := range slices.Backward(l.states) {
		if !s.at.After(t) {
			return s.hosts
		}
	}
	return nil
}

// replace stores the entry for id, or removes it if h is nil. An entry that
// does not change makes no new state, since hosts may register again and again.
func (l *hostLog) replace(now time.Time, id string, h *objectstore.Host) {
	old := l.newest()
	i := slices.IndexFunc(old, func(o objectstore.Host) bool { return o.ID == id })
	if (h == nil && i < 0) || (h != nil && i >= 0 && old[i] == *h) {
		return
	}
	hosts := slices.DeleteFunc(slices.Clone(old), func(o objectstore.Host) bool { return o.ID == id })
	if h != nil {
		hosts = append(hosts, *h)
	}
	slices.SortFunc(hosts, func(a, b objectstore.Host) int { return strings.Compare(a.ID, b.ID) })
	l.states = append(l.states, hostState{at: now, hosts: hosts})
	l.prune(now)
}

// prune drops the states that were replaced more than maxLag ago.
func (l *hostLog) prune(now time.Time) {
	n := 0
	for n+1 < len(l.states) && now.Sub(l.states[n+1].at) > maxLag {
		n++
	}
	l.states = slices.Delete(l.states, 0, n)
}

// SetHost adds or replaces an entry, as the platform itself does.
func (p *Platform) SetHost(h objectstore.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.replace(time.Now(), h.ID, &h)
}

// RemoveHost removes an entry, as the platform does for a host that is gone.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.replace(time.Now(), id, nil)
}

// CurrentHosts returns the host list without its lag.
func (p *Platform) CurrentHosts() []objectstore.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts.newest())
}

func (p *Platform) listHosts(ctx context.Context, dataCentre string) ([]objectstore.Host, error) {
	from := origin{dataCentre: dataCentre}
	if err := p.enter(ctx, from); err != nil {
		return nil, err
	}
	hosts := p.laggingHosts()
	return hosts, p.leave(ctx, from)
}

func (p *Platform) laggingHosts() []objectstore.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts.at(time.Now().Add(-p.faults.hostListLag())))
}

// writeHost adds, replaces or, if h is nil, removes the entry for id.
func (p *Platform) writeHost(ctx context.Context, dataCentre, id string, h *objectstore.Host) error {
	from := origin{dataCentre: dataCentre, write: true}
	if err := p.enter(ctx, from); err != nil {
		return err
	}
	if h == nil {
		p.RemoveHost(id)
	} else {
		p.SetHost(*h)
	}
	return p.leave(ctx, from)
}
