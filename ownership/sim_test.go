package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation runs LeaseHolder and Reconciler of several hosts of one data centre in
// virtual time against a platform and three replicas. Times of the world are
// durations since its start; each host reads its own clock.

const (
	simDeadline = 2 * time.Second
	simCall     = 500 * time.Millisecond // time-out of a platform call
	simRound    = 200 * time.Millisecond // what a round waits for peers after it
)

// Longest deadline, lease and transit as the hosts know them.
var simConfig = Config{Lease: DefaultLease, LongestDeadline: simDeadline}

type event struct {
	at   time.Duration
	seq  int
	host *simHost // nil for the world; a frozen host runs it when it resumes
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
	rng      *rand.Rand
	cfg      Config
	now      time.Duration
	seq      int
	queue    eventQueue
	hosts    []*simHost // by ID, the current process
	store    Table
	down     bool // the platform cannot be reached
	vanish   bool // and does not refuse calls but leaves them unanswered
	calm     bool // no more faults
	slots    map[string]int
	inUse    map[string]int
	started  map[string]int
	violated string // how a replica's slots were exceeded
	unused   string // how slots were left unused at the end
}

type simHost struct {
	w       *world
	self    Member
	rate    float64
	offset  time.Duration
	frozen  time.Duration // until
	gone    bool          // the process ended
	leaving bool
	holder  *LeaseHolder
	keeper  *Reconciler
	inUse   map[string]int
	heard   map[string]time.Time // last answer, by host ID
	process map[string]Member    // last known process, by host ID
	check   *OutageCheck         // the round in progress
	wake    time.Time            // the keeper's next tick, to schedule it once
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

// latency is mostly short and sometimes long.
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
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violated == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.host != nil && e.host.gone {
			continue
		}
		if e.host != nil && w.now < e.host.frozen {
			// Jitter shuffles what the host finds when it resumes.
			w.after(e.host.frozen-w.now+w.between(0, 5*time.Millisecond), e.host, e.run)
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
		w:       w,
		self:    self,
		rate:    0.99 + 0.02*w.rng.Float64(),
		offset:  w.between(0, time.Hour),
		holder:  NewLeaseHolder(w.cfg, self),
		keeper:  NewReconciler(DefaultReconcilerConfig(), "bole", self),
		inUse:   make(map[string]int),
		heard:   make(map[string]time.Time),
		process: make(map[string]Member),
	}
	w.hosts[i] = h
	h.every(10*time.Millisecond, 40*time.Millisecond, h.work)
	h.every(300*time.Millisecond, 600*time.Millisecond, h.gossip)
	h.every(500*time.Millisecond, 900*time.Millisecond, h.observe)
	h.every(300*time.Millisecond, 800*time.Millisecond, h.renew)
	h.do(h.keeper.Tick(h.clock()))
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

// work starts as much as the holder allows. The work reaches the replica after
// the transit and runs for the longest deadline.
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
		w.violated = fmt.Sprintf("%v: %s has %d of %d slots in use after a send by %v, epoch %d", w.now, replica,
			w.inUse[replica], w.slots[replica], h.self, h.holder.Table().Epoch)
	}
	w.after(simDeadline, nil, func() {
		w.inUse[replica]--
		w.after(w.latency(), h, func() { h.inUse[replica]-- })
	})
}

// ask sends a question to another host and takes its answer, which carries the
// newest table.
func (h *simHost) ask(other *simHost, take func(PeerAnswer)) {
	w := h.w
	sentAt := h.clock()
	w.after(w.latency(), other, func() {
		epoch, age, proven := other.holder.Proof(other.clock())
		a := PeerAnswer{Member: other.self, Epoch: epoch, Proven: proven, Age: age}
		table, leaving := other.keeper.Table("bole"), other.leaving
		w.after(w.latency(), h, func() {
			now := h.clock()
			h.heard[a.Member.ID] = now
			h.process[a.Member.ID] = a.Member
			if leaving {
				delete(h.process, a.Member.ID)
			}
			h.do(h.keeper.ReceiveTable(now, table))
			h.holder.ObserveEpoch(a.Epoch)
			if a.Proven {
				h.holder.AddProof(now, a.Epoch, sentAt.Add(-a.Age))
			}
			if take != nil {
				take(a)
			}
		})
	})
}

func (h *simHost) askAll(take func(PeerAnswer)) {
	for _, other := range h.w.hosts {
		if other != h && !other.gone {
			h.ask(other, take)
		}
	}
}

func (h *simHost) gossip() { h.askAll(nil) }

// observe accuses hosts that did not answer for long, and now and then others.
func (h *simHost) observe() {
	now := h.clock()
	var peers []Peer
	for _, id := range slices.Sorted(maps.Keys(h.process)) {
		m := h.process[id]
		p := Peer{Member: m}
		if silent := now.Sub(h.heard[id]); silent > 1500*time.Millisecond || !h.w.calm && h.w.rng.IntN(400) == 0 {
			p.Status = Dead
		}
		peers = append(peers, p)
	}
	h.do(h.keeper.SetPeers(now, peers))
}

// renew asks the platform and all peers when the proof gets old.
func (h *simHost) renew() {
	now := h.clock()
	if _, age, ok := h.holder.Proof(now); ok && age < time.Second || h.check != nil {
		return
	}
	check := &OutageCheck{SentAt: now}
	h.check = check
	h.askAll(func(a PeerAnswer) { check.Answers = append(check.Answers, a) })
	h.w.call(h, func(ok bool) {
		if ok {
			h.check = nil
			return
		}
		// A platform that refuses at once answers before the peers do.
		h.w.after(simRound, h, func() {
			h.check = nil
			check.PlatformUnreachable = true
			h.holder.ExtendInOutage(h.clock(), *check)
		})
	}, func() func() {
		table := h.w.store
		return func() {
			h.do(h.keeper.ReceiveTable(h.clock(), table))
			h.holder.AddProof(h.clock(), table.Epoch, now)
		}
	})
}

// call reaches the platform, runs act there and its result back at the host.
// done says whether the answer arrived.
func (w *world) call(h *simHost, done func(ok bool), act func() func()) {
	w.after(w.latency(), nil, func() {
		if w.down {
			wait := w.latency()
			if w.vanish {
				wait = simCall
			}
			w.after(wait, h, func() { done(false) })
			return
		}
		result := act()
		if !w.calm && w.rng.IntN(20) == 0 {
			w.after(simCall, h, func() { done(false) }) // the answer is lost
			return
		}
		w.after(w.latency(), h, func() {
			result()
			done(true)
		})
	})
}

// do carries out the keeper's actions.
func (h *simHost) do(actions []Action) {
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
	if next := h.keeper.Next(h.clock()); !next.IsZero() && !next.Equal(h.wake) {
		h.wake = next
		h.w.after(max(0, next.Sub(h.clock()))+time.Millisecond, h, func() { h.do(h.keeper.Tick(h.clock())) })
	}
}

func (h *simHost) read() {
	sentAt := h.clock()
	h.w.call(h, func(ok bool) {
		if !ok {
			h.do(h.keeper.ReadDone(h.clock(), sentAt, Table{}, Unavailable))
		}
	}, func() func() {
		table := h.w.store
		return func() { h.do(h.keeper.ReadDone(h.clock(), sentAt, table, Done)) }
	})
}

func (h *simHost) write(a WriteTable) {
	sentAt := h.clock()
	h.w.call(h, func(ok bool) {
		if !ok {
			h.do(h.keeper.WriteDone(h.clock(), sentAt, 0, Unknown))
		}
	}, func() func() {
		result := Conflict
		if h.w.store.Epoch == a.Base {
			result = Done
			h.w.store = a.Table
			h.w.store.Epoch = a.Base + 1
		}
		return func() { h.do(h.keeper.WriteDone(h.clock(), sentAt, a.Base+1, result)) }
	})
}
