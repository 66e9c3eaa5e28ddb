package main

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/membership"
)

const (
	// overheadBytes is added to each message: JSON-RPC envelope 70, frame 9,
	// Ethernet, IP and TCP headers 66.
	overheadBytes = 145
	// proofInterval is the time between two reads of the platform by a member.
	proofInterval = time.Second
	// watchers is the number of members in each data centre that read the platform.
	watchers = 2
)

// world simulates the members and the messages between them in virtual time.
type world struct {
	rng          *rand.Rand
	now          time.Duration
	queue        queue
	seq          int
	nodes        []*node
	byAddress    map[string]*node
	perCentre    int
	centres      int
	loss         float64
	pauseEvery   time.Duration
	pauseLongest time.Duration

	sent, messages       int
	suspected, falseDead int
	earlyProofs          int                  // proofs with a time later than the last read of the platform
	lastProof            map[string]time.Time // last read of the platform, by data centre
	sampling             bool
	proofAges            []time.Duration // of the proofs that members hold
}

type node struct {
	w              *world
	machine        *membership.StateMachine
	address        string
	centre         string
	paused         time.Duration // end of the latest pause
	crashed        bool
	nextTick       time.Duration // time of the scheduled tick
	status         map[string]membership.Status
	seenGeneration uint64          // generation at the last call of checkMember
	peers          map[string]bool // addresses to which it sent messages in the steady phase
}

type event struct {
	at   time.Duration
	seq  int
	node *node
	run  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newWorld returns a world whose members start at random times in the first second.
// They join through the first two members of their data centre and one of another.
func newWorld(seed uint64, cfg membership.Config, perCentre, centres int) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 2)),
		byAddress: make(map[string]*node),
		lastProof: make(map[string]time.Time),
		perCentre: perCentre,
		centres:   centres,
	}
	for c := range centres {
		for i := range perCentre {
			w.addNode(cfg, c, i)
		}
	}
	for i, n := range w.nodes {
		c := i / perCentre
		n.machine.SetJoinAddresses([]string{address(c, 0), address(c, min(1, perCentre-1)), address((c+1)%centres, 0)})
		w.at(w.between(0, time.Second), n, n.start)
	}
	return w
}

func address(centre, i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", centre, i/250, i%250) }

func (w *world) addNode(cfg membership.Config, centre, i int) {
	n := &node{w: w, address: address(centre, i), centre: fmt.Sprintf("lahore-%c", 'a'+centre), status: make(map[string]membership.Status), peers: make(map[string]bool)}
	self := membership.Member{
		ID:          fmt.Sprintf("%s-%04d", n.centre, i),
		DataCentre:  n.centre,
		Address:     n.address,
		Incarnation: "01791043200123",
		Phase:       membership.Serving,
	}
	n.machine = membership.New(cfg, self, rand.New(rand.NewPCG(w.rng.Uint64(), 3)))
	w.nodes = append(w.nodes, n)
	w.byAddress[n.address] = n
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) at(t time.Duration, n *node, run func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, n, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		switch {
		case e.node.crashed:
		case w.now < e.node.paused:
			w.at(e.node.paused, e.node, e.run)
		default:
			e.run()
		}
	}
	w.now = until
}

// until runs the simulation until the condition holds or the limit is reached, and
// returns how long that took.
func (w *world) until(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	for w.now < start+limit && !done() {
		w.run(w.now + pollInterval)
	}
	return w.now - start
}

func (n *node) clock() time.Time { return time.Unix(0, 0).Add(time.Hour + n.w.now) }

func (n *node) start() {
	n.w.tick(n)
	n.w.pause(n)
	n.w.sample(n)
	if slices.Index(n.w.nodes, n)%n.w.perCentre < watchers {
		n.w.renewProof(n)
	}
}

// wake schedules the next tick of a member's state machine.
func (w *world) wake(n *node) {
	next := max(w.now, n.machine.Next().Sub(time.Unix(0, 0).Add(time.Hour)))
	if n.nextTick > w.now && n.nextTick <= next {
		return
	}
	n.nextTick = next
	w.at(next, n, func() {
		if n.nextTick == next {
			w.tick(n)
		}
	})
}

func (w *world) tick(n *node) {
	n.nextTick = 0
	w.send(n, n.machine.Tick(n.clock()))
	w.checkMember(n)
	w.wake(n)
}

func (w *world) send(n *node, messages []membership.Message) {
	for _, m := range messages {
		data, err := json.Marshal(m)
		if err != nil {
			panic(err) // a message is plain data
		}
		w.sent += len(data) + overheadBytes
		w.messages++
		if w.sampling {
			n.peers[m.To] = true
		}
		to := w.byAddress[m.To]
		if to == nil || w.rng.Float64() < w.loss {
			continue
		}
		w.at(w.now+w.between(500*time.Microsecond, 2*time.Millisecond), to, func() { w.receive(to, n.address, data) })
	}
}

func (w *world) receive(n *node, from string, data []byte) {
	var m membership.Message
	if err := json.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	w.send(n, n.machine.Receive(n.clock(), from, m))
	w.checkMember(n)
	w.wake(n)
}

// pause pauses the member at random times.
func (w *world) pause(n *node) {
	if w.pauseEvery == 0 {
		return
	}
	wait := time.Duration(w.rng.ExpFloat64() * float64(w.pauseEvery))
	w.at(w.now+wait, n, func() {
		n.paused = w.now + w.between(50*time.Millisecond, w.pauseLongest)
		w.at(n.paused, n, func() { w.pause(n) })
	})
}

// renewProof simulates a member that reads the platform every proofInterval.
func (w *world) renewProof(n *node) {
	n.machine.SetProof(n.clock(), 1, n.clock())
	w.lastProof[n.centre] = n.clock()
	w.wake(n)
	w.at(w.now+proofInterval, n, func() { w.renewProof(n) })
}

// sample records the age of the member's proof at random intervals.
func (w *world) sample(n *node) {
	if p := n.machine.Proof(); w.sampling && p.Epoch > 0 {
		w.proofAges = append(w.proofAges, n.clock().Sub(p.At))
	}
	w.at(w.now+w.between(0, 2*time.Second), n, func() { w.sample(n) })
}

func (w *world) ageQuantiles() string {
	if len(w.proofAges) == 0 {
		return "-"
	}
	slices.Sort(w.proofAges)
	q := func(p int) float64 { return w.proofAges[(len(w.proofAges)-1)*p/100].Seconds() }
	return fmt.Sprintf("%.2f, %.2f, %.2f", q(50), q(99), q(100))
}

// checkMember counts the false suspicions, false deaths and early proofs that one
// member has.
func (w *world) checkMember(n *node) {
	if n.machine.Proof().At.After(w.lastProof[n.centre]) {
		w.earlyProofs++
	}
	if n.machine.Generation() == n.seenGeneration {
		return
	}
	n.seenGeneration = n.machine.Generation()
	for _, s := range n.machine.Members() {
		if n.status[s.ID] == s.Status {
			continue
		}
		n.status[s.ID] = s.Status
		if w.byAddress[s.Address].crashed {
			continue
		}
		switch s.Status {
		case membership.Suspect:
			w.suspected++
		case membership.Dead:
			w.falseDead++
		}
	}
}

func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.crashed })
}

func (w *world) liveCount() int { return len(w.live()) }

func (w *world) anyLive() *node {
	live := w.live()
	return live[w.rng.IntN(len(live))]
}

func (w *world) allLive(ok func(n *node) bool) bool {
	return !slices.ContainsFunc(w.live(), func(n *node) bool { return !ok(n) })
}

func (w *world) allJoined() bool {
	return w.allLive(func(n *node) bool { return len(n.machine.Members()) == len(w.nodes)-1 })
}

func (w *world) allHave(number uint64) bool {
	return w.allLive(func(n *node) bool { return n.machine.Facts().Configuration >= number })
}

func (w *world) allKnowDead(victim *node) bool {
	id := victim.machine.Self().ID
	return w.allLive(func(n *node) bool { return n.status[id] == membership.Dead })
}
