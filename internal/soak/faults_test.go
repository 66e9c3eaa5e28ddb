package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// faults injects faults, each beginning while earlier ones may last.
func (f *fleet) faults(rng *rand.Rand) {
	var open sync.WaitGroup
	busy := map[*host]chan struct{}{}
	end := time.Now().Add(*length)
	for step := 0; time.Now().Before(end); step++ {
		for_ := time.Duration(300+rng.IntN(1500)) * time.Millisecond
		h := f.hosts[rng.IntN(len(f.hosts))]
		kind := rng.IntN(9)
		pick := rng.Uint64()
		if kind <= 2 { // one signal at a time for each process
			if done := busy[h]; done != nil {
				select {
				case <-done:
				default:
					kind = 3 + rng.IntN(6)
				}
			}
		}
		done := make(chan struct{})
		if kind <= 2 {
			busy[h] = done
		}
		open.Go(func() {
			defer close(done)
			f.fault(kind, pick, h, for_, step)
		})
		time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
	}
	open.Wait()
}

func (f *fleet) fault(kind int, pick uint64, h *host, for_ time.Duration, step int) {
	f.mu.Lock()
	r := f.replicas[pick%uint64(len(f.replicas))]
	f.mu.Unlock()
	switch kind {
	case 0:
		f.end(h, syscall.SIGKILL)
	case 1:
		f.end(h, syscall.SIGTERM)
	case 2:
		f.pause(h, for_)
	case 3:
		f.storeFault(func() { f.store.setMode(storeMode(1 + pick%2)) }, for_, func() { f.store.setMode(storeWell) })
	case 4:
		f.storeFault(func() { h.storeRelay.set(relayMode(1 + pick%4)) }, for_, func() { h.storeRelay.set(relayPasses) })
	case 5:
		f.storeFault(f.store.compact, 0, func() {})
	case 6:
		r.relay.set(relayMode(1 + pick%4))
		time.Sleep(for_)
		r.relay.set(relayPasses)
	case 7:
		r.behaviour.Store(int32(1 + pick%5))
		time.Sleep(for_)
		r.behaviour.Store(int32(serves))
	case 8:
		f.replace(r, step)
	}
}

func (f *fleet) storeFault(begin func(), for_ time.Duration, end func()) {
	f.noteStore(time.Now().Add(for_ + time.Second))
	begin()
	time.Sleep(for_)
	end()
	f.noteStore(time.Now())
}

func (f *fleet) noteStore(at time.Time) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if at.After(f.storeBad) {
		f.storeBad = at
	}
}

func (f *fleet) storeWellSince(at time.Time) bool {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.storeBad.Add(settleTime).Before(at)
}

// end stops a process and starts it again.
func (f *fleet) end(h *host, s syscall.Signal) {
	if s == syscall.SIGKILL {
		h.noteUnplanned()
	}
	if err := h.command.Process.Signal(s); err != nil {
		f.t.Errorf("signal %v to %s: %v", s, h.name, err)
	}
	ended := make(chan error, 1)
	go func() { ended <- h.command.Wait() }()
	select {
	case err := <-ended:
		if s == syscall.SIGTERM && err != nil {
			f.t.Errorf("%s ended with %v after SIGTERM", h.name, err)
		}
	case <-time.After(grace):
		f.t.Errorf("%s has not ended %v after %v", h.name, grace, s)
		_ = h.command.Process.Kill() // the error above tells of it
		<-ended
	}
	f.start(h)
	f.awaitUp(h)
	if s == syscall.SIGKILL {
		h.noteUnplanned()
	}
}

// awaitUp waits until the process listens; it may be unready while the store is away.
func (f *fleet) awaitUp(h *host) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", h.readiness); err == nil {
			c.Close()
			return
		}
	}
	f.t.Errorf("%s does not listen after its start", h.name)
}

func (f *fleet) pause(h *host, for_ time.Duration) {
	h.noteUnplanned()
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := h.command.Process.Signal(s); err != nil {
			f.t.Errorf("signal %v to %s: %v", s, h.name, err)
		}
		if s == syscall.SIGSTOP {
			time.Sleep(for_)
		}
	}
	h.noteUnplanned()
}

func (h *host) noteUnplanned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unplanned = time.Now()
}

func (h *host) calmSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unplanned.Add(settleTime).Before(at)
}

// replace starts a new replica and drains the old one, which must get no work once its
// drain time has passed while the store is well.
func (f *fleet) replace(r *replica, step int) {
	f.mu.Lock()
	var left []*replica
	for _, o := range f.replicas {
		if o != r {
			left = append(left, o)
		}
	}
	f.replicas = left
	f.mu.Unlock()
	f.addReplica(r.service, fmt.Sprintf("i-new-%d", step))
	f.store.put("servers", r.id, r.registration("draining"))
	acknowledged := time.Now()
	time.Sleep(drainTime + 500*time.Millisecond)
	calm := f.storeWellSince(acknowledged)
	for _, h := range f.hosts {
		calm = calm && h.calmSince(acknowledged)
	}
	if last := time.Unix(0, r.arrivedAt.Load()); calm && last.After(acknowledged.Add(drainTime)) {
		f.t.Errorf("DRAIN: %s got a request %v after it was draining", r.id, last.Sub(acknowledged))
	}
	f.store.put("servers", r.id, nil)
}
