package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// hostsReturnTime is how long the hosts may take to be on the host list of a restored store.
const hostsReturnTime = 30 * time.Second

// restoreStore takes the store away for a moment and lets it come back from a copy of the given
// age. What the operator and the replicas had written since then is written again after a while.
func (f *fleet) restoreStore(age, away, rewritten time.Duration) {
	f.injectStoreFault(func() { f.store.setMode(storeUnavailable) }, away, func() {
		lost := f.store.restore(time.Now().Add(-away - age))
		f.store.setMode(storeHealthy)
		time.Sleep(rewritten)
		for _, e := range lost {
			f.store.rewrite(e)
		}
	})
}

// checkHostsListed checks that all hosts are on the host list, also after the store lost them.
func (f *fleet) checkHostsListed() {
	end := time.Now().Add(hostsReturnTime)
	for _, h := range f.hosts {
		for ; !f.store.lists(hostKind, h.name); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Errorf("%s is not on the host list", h.name)
				break
			}
		}
	}
}

// Guards against hosts that go on from a revision which a restored store has given out again:
// they would send requests to a replica that has left, and be missing from the host list. The
// store is restored twice in a row, and one host restarts meanwhile. In the larger tier, one host
// watches the store for the others.
func TestStoreReturnsFromCopy(t *testing.T) {
	binary := buildHost(t)
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) { returnFromCopy(newFleet(t, binary, size, grace)) })
	}
}

func returnFromCopy(f *fleet) {
	f.startTier(nil)
	for drill := range 2 {
		copied := time.Now()
		if drill == 0 {
			copied = f.store.firstWrite("config") // before the hosts registered
		}
		time.Sleep(50 * time.Millisecond)
		// The hosts watch from after these changes, which the store loses.
		for i := range 10 {
			f.store.put("other", fmt.Sprint("lost-", drill, "-", i), map[string]any{})
		}
		f.configure(uint64(10 * (drill + 1)))
		f.store.put("evacuations", "other-dc", map[string]any{})
		time.Sleep(time.Second)
		f.store.setMode(storeUnavailable)
		if drill == 1 {
			f.pauseAndRestart(f.hosts[2])
		}
		time.Sleep(700 * time.Millisecond)
		f.store.restore(copied)
		f.store.setMode(storeHealthy)
		leaving := f.replicas[drill]
		f.store.put("servers", leaving.id, leaving.registration("draining")) // below the watched revision
		f.checkHostsListed()
		time.Sleep(settleTime)
		f.checkNoRequests(leaving)
	}
	f.checkVersion(20)
}

// pauseAndRestart restarts a host while the store is away.
func (f *fleet) pauseAndRestart(h *host) {
	h.mu.Lock()
	command := h.command
	h.mu.Unlock()
	_ = command.Process.Kill() // it runs until this test ends
	_ = command.Wait()         // reports the kill
	f.start(h)
}

// checkNoRequests sends requests to each host and checks that none reaches a replica.
func (f *fleet) checkNoRequests(r *replica) {
	f.t.Helper()
	before := r.arrivedAt.Load()
	answered := 0
	for i := range 5 * len(f.hosts) {
		text := requestText("GET /scatter/x", fmt.Sprintf("%s-%08d", r.id, i), "")
		if status, err := f.ask(f.hosts[i%len(f.hosts)], text); err == nil && status == http.StatusOK {
			answered++
		}
	}
	if answered == 0 {
		f.t.Error("no request was answered")
	}
	if r.arrivedAt.Load() != before {
		f.t.Errorf("DRAIN: %s got requests after it was registered as draining", r.id)
	}
}

// checkVersion checks that the last version in force on each host that has run all the time is the
// given one, although the store went back to an earlier one.
func (f *fleet) checkVersion(version uint64) {
	f.killAll()
	for i, h := range f.hosts {
		if i == 2 { // was restarted
			continue
		}
		text := h.output.String()
		last := text[max(0, strings.LastIndex(text, "Configuration in force")):]
		if want := fmt.Sprintf(" version=%d ", version); !strings.Contains(strings.SplitN(last, "\n", 2)[0], want) {
			f.t.Errorf("%s: the last configuration is %.200s, want%s", h.name, last, want)
		}
	}
}
