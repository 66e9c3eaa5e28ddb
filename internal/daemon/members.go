package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/platform"
)

// memberRunner knows the other hosts.
type memberRunner struct {
	daemon *Daemon
	self   ownership.Member

	mu    sync.Mutex
	hosts []platform.Host
}

func newMemberRunner(d *Daemon, self ownership.Member, _ uint64) *memberRunner {
	return &memberRunner{daemon: d, self: self}
}

func (m *memberRunner) start() {}

func (m *memberRunner) setHosts(hosts []platform.Host) {
	m.mu.Lock()
	m.hosts = hosts
	m.mu.Unlock()
	m.daemon.configuration.setMembers(m.liveHere())
	for _, h := range m.others() {
		m.daemon.tables.heard(h.dataCentre, 1)
	}
}

func (m *memberRunner) entries() []platform.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.hosts), func(h platform.Host) bool { return h.Role != platform.RoleEntry })
}

func (m *memberRunner) liveHere() []string {
	ids := []string{m.self.ID}
	for _, h := range m.entries() {
		if h.DataCentre == m.daemon.settings.Host.DataCentre && h.ID != m.self.ID && !h.Leaving {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func (m *memberRunner) isLive(ownership.Member) bool { return true }

func (m *memberRunner) aheadOfTable(string, uint64) []string { return nil }

func (m *memberRunner) journalWriter(journal int) (string, string) {
	addresses := map[string]string{m.self.ID: m.self.PeerAddress}
	ids := []string{m.self.ID}
	for _, h := range m.entries() {
		if h.ID != m.self.ID && !h.Leaving {
			ids = append(ids, h.ID)
			addresses[h.ID] = h.PeerAddress
		}
	}
	id := once.Writer(journal, ids)
	return id, addresses[id]
}

func (m *memberRunner) announce(drain.Phase) {
	go m.daemon.register(time.Now())
}

func (m *memberRunner) setConfiguration(uint64) {}

// knownHost is another host and where to reach it.
type knownHost struct {
	id, dataCentre, peerAddress string
}

func (m *memberRunner) others() []knownHost {
	var list []knownHost
	for _, h := range m.entries() {
		if h.ID != m.self.ID {
			list = append(list, knownHost{h.ID, h.DataCentre, h.PeerAddress})
		}
	}
	return list
}

func (m *memberRunner) count() int { return len(m.others()) + 1 }

// othersHere returns the other hosts of this data centre.
func (m *memberRunner) othersHere() []knownHost {
	return slices.DeleteFunc(m.others(), func(h knownHost) bool { return h.dataCentre != m.daemon.settings.Host.DataCentre })
}
