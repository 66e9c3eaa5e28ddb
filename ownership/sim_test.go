package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation runs the LeaseHolder and Reconciler of several hosts of one data
// centre in virtual time, against a platform and three replicas. The time of the
// world is the duration since its start; each host reads its own clock.

const (
	simDeadline    = 2 * time.Second
	simCallTimeout = 500 * time.Millisecond // timeout of a platform call
	simRoundWait   = 200 * time.Millisecond // time for answers of peers after the platform call has failed
)

// simConfig is the configuration of all simulated hosts.
var simConfig = Config{Lease: DefaultLease, LongestDeadline: simDeadline}

type event struct {
	at   time.Duration
	seq  int
	host *simHost // nil for events of the world; a paused host runs its events when it resumes
	run  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type world struct {
	rng            *rand.Rand
	cfg            Config
	now            time.Duration
	seq            int
	queue          eventQueue
	hosts          []*simHost // the current process of each host
	store          Table
	platformDown   bool // the platform cannot be reached
	platformSilent bool // calls during the outage time out instead of failing immediately
	faultsEnded    bool // no further faults are injected
	slots          map[string]int
	inUse          map[string]int
	started        map[string]int
	violation      string // how a replica's slots were exceeded
	underuse       string // how slots were left unused at the end
}

type simHost struct {
	w            *world
	self         Member
	rate         float64
	offset       time.Duration
	pausedUntil  time.Duration // end of the latest pause
	ended        bool          // the process ended
	leaving      bool
	holder       *LeaseHolder
	reconciler   *Reconciler
	inUse        map[string]int
	lastAnswer   map[string]time.Time // last answer, by host ID
	knownProcess map[string]Member    // last known process, by host ID
	round        *OutageCheck         // the round in progress, if any
	nextTick     time.Time            // time of the reconciler's scheduled tick
}

func newWorld(seed uint64, cfg Config) *world {
	w := &world{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		cfg:   cfg,
		store: Table{DataCentre: "bole"},
		slots: map[string]int{"desk": 2, "portal": 3, "ledger": 5},
		inUse: make(map[string]int),

		started: make(map[string]int),
	}
	for i := range 2 + w.rng.IntN(4) {
		w.hosts = append(w.hosts, nil)
		w.boot(i, 0)
	}
	return w
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// latency returns a random message latency, mostly short and sometimes long.
func (w *world) latency() time.Duration {
	if w.rng.IntN(50) == 0 {
		return w.between(20*time.Millisecond, 600*time.Millisecond)
	}
	return w.between(time.Millisecond, 10*time.Millisecond)
}

func (w *world) after(d time.Duration, h *simHost, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, h, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.host != nil && e.host.ended {
			continue
		}
		if e.host != nil && w.now < e.host.pausedUntil {
			// The jitter randomises the order of the events after the pause.
			w.after(e.host.pausedUntil-w.now+w.between(0, 5*time.Millisecond), e.host, e.run)
			continue
		}
		e.run()
	}
	w.now = until
}

// boot starts a new process of host i.
func (w *world) boot(i, generation int) {
	self := Member{ID: fmt.Sprintf("h%d", i), Incarnation: fmt.Sprintf("%04d", generation)}
	h := &simHost{
		w:            w,
		self:         self,
		rate:         0.99 + 0.02*w.rng.Float64(),
		offset:       w.between(0, time.Hour),
		holder:       NewLeaseHolder(w.cfg, self),
		reconciler:   NewReconciler(DefaultReconcilerConfig(), "bole", self),
		inUse:        make(map[string]int),
		lastAnswer:   make(map[string]time.Time),
		knownProcess: make(map[string]Member),
	}
	w.hosts[i] = h
	h.every(10*time.Millisecond, 40*time.Millisecond, h.work)
	h.every(300*time.Millisecond, 600*time.Millisecond, h.gossip)
	h.every(500*time.Millisecond, 900*time.Millisecond, h.reportPeers)
	h.every(300*time.Millisecond, 800*time.Millisecond, h.renewProof)
	h.perform(h.reconciler.Tick(h.clock()))
}

func (h *simHost) clock() time.Time {
	return time.Unix(0, 0).Add(h.offset + time.Duration(float64(h.w.now)*h.rate))
}

func (h *simHost) every(low, high time.Duration, run func()) {
	h.w.after(h.w.between(low, high), h, func() {
		run()
		h.every(low, high, run)
	})
}

// work starts as much work as the holder allows. It reaches the replica after a
// short transit and runs for the longest deadline.
func (h *simHost) work() {
	w := h.w
	for _, replica := range slices.Sorted(maps.Keys(w.slots)) {
		slots := w.slots[replica]
		for h.inUse[replica] < h.holder.AllowedSlots(h.clock(), replica, slots) {
			h.inUse[replica]++
			w.after(w.between(0, 5*time.Millisecond), nil, func() { h.arrive(replica) })
		}
	}
}

func (h *simHost) arrive(replica string) {
	w := h.w
	w.started[replica]++
	w.inUse[replica]++
	if w.inUse[replica] > w.slots[replica] {
		w.violation = fmt.Sprintf("%v: %s has %d of %d slots in use after a send by %v, epoch %d", w.now, replica,
			w.inUse[replica], w.slots[replica], h.self, h.holder.Table().Epoch)
	}
	w.after(simDeadline, nil, func() {
		w.inUse[replica]--
		w.after(w.latency(), h, func() { h.inUse[replica]-- })
	})
}

// ask sends a request to another host and handles its answer, which carries the
// newest table.
func (h *simHost) ask(other *simHost, onAnswer func(PeerAnswer)) {
	w := h.w
	sentAt := h.clock()
	w.after(w.latency(), other, func() {
		epoch, age, proven := other.holder.Proof(other.clock())
		a := PeerAnswer{Member: other.self, Epoch: epoch, Proven: proven, Age: age}
		table, leaving := other.reconciler.Table("bole"), other.leaving
		w.after(w.latency(), h, func() {
			now := h.clock()
			h.lastAnswer[a.Member.ID] = now
			h.knownProcess[a.Member.ID] = a.Member
			if leaving {
				delete(h.knownProcess, a.Member.ID)
			}
			h.perform(h.reconciler.ReceiveTable(now, table))
			h.holder.ObserveEpoch(a.Epoch)
			if a.Proven {
				h.holder.AddProof(now, a.Epoch, sentAt.Add(-a.Age))
			}
			if onAnswer != nil {
				onAnswer(a)
			}
		})
	})
}

func (h *simHost) askAll(onAnswer func(PeerAnswer)) {
	for _, other := range h.w.hosts {
		if other != h && !other.ended {
			h.ask(other, onAnswer)
		}
	}
}

func (h *simHost) gossip() { h.askAll(nil) }

// reportPeers reports hosts as dead that have not answered for a while, and
// sometimes, by mistake, others.
func (h *simHost) reportPeers() {
	now := h.clock()
	var peers []Peer
	for _, id := range slices.Sorted(maps.Keys(h.knownProcess)) {
		m := h.knownProcess[id]
		p := Peer{Member: m}
		if silent := now.Sub(h.lastAnswer[id]); silent > 1500*time.Millisecond || !h.w.faultsEnded && h.w.rng.IntN(400) == 0 {
			p.Status = Dead
		}
		peers = append(peers, p)
	}
	h.perform(h.reconciler.SetPeers(now, peers))
}

// renewProof asks the platform and all peers for a proof when the current one is at
// least 1 s old.
func (h *simHost) renewProof() {
	now := h.clock()
	if _, age, ok := h.holder.Proof(now); ok && age < time.Second || h.round != nil {
		return
	}
	round := &OutageCheck{SentAt: now}
	h.round = round
	h.askAll(func(a PeerAnswer) { round.Answers = append(round.Answers, a) })
	h.w.call(h, func(ok bool) {
		if ok {
			h.round = nil
			return
		}
		// The call may fail immediately, before the peers have answered.
		h.w.after(simRoundWait, h, func() {
			h.round = nil
			round.PlatformUnreachable = true
			h.holder.ExtendInOutage(h.clock(), *round)
		})
	}, func() func() {
		table := h.w.store
		return func() {
			h.perform(h.reconciler.ReceiveTable(h.clock(), table))
			h.holder.AddProof(h.clock(), table.Epoch, now)
		}
	})
}

// call simulates a platform call: act runs at the platform, and the function that
// it returns runs at the host. done is told whether the answer arrived.
func (w *world) call(h *simHost, done func(ok bool), act func() func()) {
	w.after(w.latency(), nil, func() {
		if w.platformDown {
			wait := w.latency()
			if w.platformSilent {
				wait = simCallTimeout
			}
			w.after(wait, h, func() { done(false) })
			return
		}
		result := act()
		if !w.faultsEnded && w.rng.IntN(20) == 0 {
			w.after(simCallTimeout, h, func() { done(false) }) // the answer is lost
			return
		}
		w.after(w.latency(), h, func() {
			result()
			done(true)
		})
	})
}

// perform performs the actions of the reconciler.
func (h *simHost) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AdoptTable:
			h.holder.AdoptTable(h.clock(), a.Table)
		case AddProof:
			h.holder.AddProof(h.clock(), a.Epoch, a.SentAt)
		case ReadTable:
			h.read()
		case WriteTable:
			h.write(a)
		case FetchTable:
			h.gossip()
		}
	}
	if next := h.reconciler.Next(h.clock()); !next.IsZero() && !next.Equal(h.nextTick) {
		h.nextTick = next
		h.w.after(max(0, next.Sub(h.clock()))+time.Millisecond, h, func() { h.perform(h.reconciler.Tick(h.clock())) })
	}
}

func (h *simHost) read() {
	sentAt := h.clock()
	h.w.call(h, func(ok bool) {
		if !ok {
			h.perform(h.reconciler.ReadDone(h.clock(), sentAt, Table{}, Unavailable))
		}
	}, func() func() {
		table := h.w.store
		return func() { h.perform(h.reconciler.ReadDone(h.clock(), sentAt, table, Done)) }
	})
}

func (h *simHost) write(a WriteTable) {
	sentAt := h.clock()
	h.w.call(h, func(ok bool) {
		if !ok {
			h.perform(h.reconciler.WriteDone(h.clock(), sentAt, 0, Unknown))
		}
	}, func() func() {
		result := Conflict
		if h.w.store.Epoch == a.Base {
			result = Done
			h.w.store = a.Table
			h.w.store.Epoch = a.Base + 1
		}
		return func() { h.perform(h.reconciler.WriteDone(h.clock(), sentAt, a.Base+1, result)) }
	})
}
