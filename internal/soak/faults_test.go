package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// injectFaults injects random faults, which may overlap, until length has passed.
func (f *fleet) injectFaults(rng *rand.Rand) {
	var running sync.WaitGroup
	signalled := map[*host]chan struct{}{}
	end := time.Now().Add(*length)
	for step := 0; time.Now().Before(end); step++ {
		duration := time.Duration(300+rng.IntN(1500)) * time.Millisecond
		h := f.hosts[rng.IntN(len(f.hosts))]
		kind := rng.IntN(12)
		choice := rng.Uint64()
		if kind <= 2 { // at most one signal fault at a time for each process
			if done := signalled[h]; done != nil {
				select {
				case <-done:
				default:
					kind = 3 + rng.IntN(9)
				}
			}
		}
		done := make(chan struct{})
		if kind <= 2 {
			signalled[h] = done
		}
		running.Go(func() {
			defer close(done)
			f.injectFault(kind, choice, h, duration, step)
		})
		time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
	}
	running.Wait()
}

// injectFault injects one fault and returns after it has ended. choice selects the replica
// and the variant of the fault.
func (f *fleet) injectFault(kind int, choice uint64, h *host, duration time.Duration, step int) {
	f.mu.Lock()
	r := f.replicas[choice%uint64(len(f.replicas))]
	f.mu.Unlock()
	switch kind {
	case 0:
		f.restart(h, syscall.SIGKILL)
	case 1:
		f.restart(h, syscall.SIGTERM)
	case 2:
		f.pause(h, duration)
	case 3:
		f.injectStoreFault(func() { f.store.setMode(storeMode(1 + choice%2)) }, duration, func() { f.store.setMode(storeHealthy) })
	case 4:
		f.injectStoreFault(func() { h.storeRelay.switchTo(relayMode(1 + choice%4)) }, duration, func() { h.storeRelay.switchTo(relayForward) })
	case 5:
		f.injectStoreFault(f.store.compact, 0, func() {})
	case 6:
		r.relay.switchTo(relayMode(1 + choice%4))
		time.Sleep(duration)
		r.relay.switchTo(relayForward)
	case 7:
		r.behaviour.Store(int32(1 + choice%(uint64(behaviours)-1)))
		time.Sleep(duration)
		r.behaviour.Store(int32(serveNormally))
	case 8:
		f.replace(r, step)
	case 9:
		f.leaveInAnswers(r, step)
	case 10:
		f.pauseInAnswers(r, duration)
	case 11:
		f.restoreStore(time.Duration(choice%4)*time.Second, duration/2, duration)
	}
}

// injectStoreFault keeps a fault of the store, or of a connection to it, for the duration.
func (f *fleet) injectStoreFault(begin func(), duration time.Duration, end func()) {
	f.recordStoreFault(time.Now().Add(duration + time.Second))
	begin()
	time.Sleep(duration)
	end()
	f.recordStoreFault(time.Now())
}

func (f *fleet) recordStoreFault(at time.Time) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if at.After(f.lastStoreFault) {
		f.lastStoreFault = at
	}
}

// storeHealthySince reports whether the effects of all store faults had ended before at.
func (f *fleet) storeHealthySince(at time.Time) bool {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.lastStoreFault.Add(settleTime).Before(at)
}

// restart ends a process with the signal and starts it again.
func (f *fleet) restart(h *host, s syscall.Signal) {
	if s == syscall.SIGKILL {
		h.recordDisturbance()
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
	case <-time.After(f.grace):
		f.t.Errorf("%s has not ended %v after signal %v", h.name, f.grace, s)
		_ = h.command.Process.Kill() // the failure is reported above
		<-ended
	}
	f.start(h)
	f.awaitListening(h)
	if s == syscall.SIGKILL {
		h.recordDisturbance()
	}
}

// awaitListening waits until the process listens. It does not wait for readiness, because
// the host may be unready while the store is unavailable.
func (f *fleet) awaitListening(h *host) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", h.readiness); err == nil {
			c.Close()
			return
		}
	}
	f.t.Errorf("%s is not listening 10 s after its start", h.name)
}

func (f *fleet) pause(h *host, duration time.Duration) {
	h.recordDisturbance()
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := h.command.Process.Signal(s); err != nil {
			f.t.Errorf("signal %v to %s: %v", s, h.name, err)
		}
		if s == syscall.SIGSTOP {
			time.Sleep(duration)
		}
	}
	h.recordDisturbance()
}

// recordDisturbance is called at the start and at the end of a kill or pause.
func (h *host) recordDisturbance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastDisturbance = time.Now()
}

// undisturbedSince reports whether the effects of all kills and pauses had ended before at.
func (h *host) undisturbedSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastDisturbance.Add(settleTime).Before(at)
}

// exchangeReplica starts a new replica in place of an old one, which gets no more faults.
func (f *fleet) exchangeReplica(old *replica, step int) {
	f.mu.Lock()
	f.replicas = slices.DeleteFunc(slices.Clone(f.replicas), func(r *replica) bool { return r == old })
	f.mu.Unlock()
	f.addReplica(old.service, fmt.Sprintf("i-new-%d", step))
}

// replace starts a new replica and drains the old one. The old replica must get no requests
// after the drain time, provided that no fault of the store or of a host can have had an
// effect since the registration as draining.
func (f *fleet) replace(r *replica, step int) {
	f.exchangeReplica(r, step)
	f.store.put("servers", r.id, r.registration("draining"))
	acknowledged := time.Now()
	time.Sleep(drainTime + 500*time.Millisecond)
	undisturbed := f.storeHealthySince(acknowledged)
	for _, h := range f.hosts {
		undisturbed = undisturbed && h.undisturbedSince(acknowledged)
	}
	if last := time.Unix(0, r.arrivedAt.Load()); undisturbed && last.After(acknowledged.Add(drainTime)) {
		f.t.Errorf("DRAIN: %s got a request %v after it was registered as draining", r.id, last.Sub(acknowledged))
	}
	f.store.put("servers", r.id, nil)
}
