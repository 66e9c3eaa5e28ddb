package platformstandin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// hostListHistory holds the host list after each change, to serve a list that is out of
// date.
type hostListHistory struct {
	states []hostListState
}

type hostListState struct {
	at    time.Time
	hosts []objectstore.Host // sorted by ID, immutable
}

// maxLag limits how long replaced states of the list are kept.
const maxLag = 10 * time.Minute

// latest returns the current list.
func (l *hostListHistory) latest() []objectstore.Host {
	if len(l.states) == 0 {
		return nil
	}
	return l.states[len(l.states)-1].hosts
}

// at returns the list as it was at t.
func (l *hostListHistory) at(t time.Time) []objectstore.Host {
	for _, s := range slices.Backward(l.states) {
		if !s.at.After(t) {
			return s.hosts
		}
	}
	return nil
}

// set stores the entry for id, or removes it if h is nil. An unchanged entry adds no
// state, because hosts may register repeatedly.
func (l *hostListHistory) set(now time.Time, id string, h *objectstore.Host) {
	old := l.latest()
	i := slices.IndexFunc(old, func(o objectstore.Host) bool { return o.ID == id })
	if (h == nil && i < 0) || (h != nil && i >= 0 && old[i] == *h) {
		return
	}
	hosts := slices.DeleteFunc(slices.Clone(old), func(o objectstore.Host) bool { return o.ID == id })
	if h != nil {
		hosts = append(hosts, *h)
	}
	slices.SortFunc(hosts, func(a, b objectstore.Host) int { return strings.Compare(a.ID, b.ID) })
	l.states = append(l.states, hostListState{at: now, hosts: hosts})
	l.prune(now)
}

// prune drops the states that were replaced more than maxLag ago.
func (l *hostListHistory) prune(now time.Time) {
	n := 0
	for n+1 < len(l.states) && now.Sub(l.states[n+1].at) > maxLag {
		n++
	}
	l.states = slices.Delete(l.states, 0, n)
}

// SetHost adds or replaces an entry. It simulates an action of the platform itself, to
// which no fault applies.
func (p *Platform) SetHost(h objectstore.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.set(time.Now(), h.ID, &h)
}

// RemoveHost removes an entry, as the platform does for a host that has failed.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.set(time.Now(), id, nil)
}

// CurrentHosts returns the host list without the lag of Faults.HostListLagMS.
func (p *Platform) CurrentHosts() []objectstore.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts.latest())
}

func (p *Platform) listHosts(ctx context.Context, dataCentre string) ([]objectstore.Host, error) {
	from := callOrigin{dataCentre: dataCentre}
	if err := p.beginCall(ctx, from); err != nil {
		return nil, err
	}
	hosts := p.hostsWithLag()
	return hosts, p.endCall(ctx, from)
}

func (p *Platform) hostsWithLag() []objectstore.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts.at(time.Now().Add(-p.faults.hostListLag())))
}

// writeHost adds, replaces or, if h is nil, removes the entry for id.
func (p *Platform) writeHost(ctx context.Context, dataCentre, id string, h *objectstore.Host) error {
	from := callOrigin{dataCentre: dataCentre, write: true}
	if err := p.beginCall(ctx, from); err != nil {
		return err
	}
	if h == nil {
		p.RemoveHost(id)
	} else {
		p.SetHost(*h)
	}
	return p.endCall(ctx, from)
}
