package once_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/once"
)

// rule names a rule that a run of the simulation breaks on purpose.
type rule string

const (
	allRules        rule = ""
	earlyDispatch   rule = "update counts as confirmed once it is sent"
	lostIsSuccess   rule = "lost answer counts as confirmed"
	lostIsNotRun    rule = "not_run after a lost answer without reading back"
	noVersionCheck  rule = "paused writer does not rely on the object version"
	noTombstone     rule = "not_run after a broken connection without a tombstone"
	readIsEnough    rule = "not_run because a read shows no record"
	clockOutOfRange rule = "clocks err more than the setting"
	sharedHostName  rule = "restarted host takes the records of its predecessor for its own"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// sim is several machines, a store, an upstream and callers in virtual time.
type sim struct {
	rng     *rand.Rand
	rule    rule
	cfg     once.Config
	now     time.Time
	seq     int
	ids     int // submissions passed to a host
	queue   []event
	hosts   []*simHost
	store   map[int]objectstore.Object
	outage  time.Time                        // the store refuses calls until then
	history map[string][]porcupine.Operation // by key
	told    map[once.Run]int
	claims  map[string]bool // attempts whose claim took effect
	faults  []string        // broken promises of a machine to its shell
}

// mostEvents bounds a run; a machine that wakes up without need exceeds it.
const mostEvents = 100000

// simHost is one host; a kill replaces its machine and raises gen.
type simHost struct {
	index  int
	gen    int
	m      *once.Machine
	router *once.Router
	skew   time.Duration
	frozen time.Time
	tick   time.Time // next scheduled Tick, by the host's clock
	answer map[string]func(once.Outcome)
	open   map[string]time.Time // deadlines of submissions without an answer, by the host's clock
	calls  map[int]int          // calls on their way by journal
}

var epoch = time.UnixMilli(1764831527000)

func newSim(seed uint64, r rule, tune func(*once.Config)) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), rule: r, now: epoch, cfg: once.DefaultConfig(),
		store: map[int]objectstore.Object{}, told: map[once.Run]int{}, history: map[string][]porcupine.Operation{}, claims: map[string]bool{},
	}
	s.cfg.Journals = 2
	s.cfg.MaxBatch = 4
	s.cfg.UpdateInterval = s.upTo(30 * time.Millisecond)
	s.cfg.OutcomeDelay = s.upTo(500 * time.Millisecond)
	s.cfg.MaxResultBytes = 4 + s.rng.IntN(12)
	s.cfg.ClaimPollInterval = 10*time.Millisecond + s.upTo(100*time.Millisecond)
	s.cfg.MaxClaimWait = s.upTo(500 * time.Millisecond)
	s.cfg.MaxTries = 2 + s.rng.IntN(6)
	if s.chance(20) { // journals that get full
		s.cfg.MaxJournalBytes = 300 + s.rng.IntN(1000)
		s.cfg.ClaimReserve = 200
	}
	if tune != nil {
		tune(&s.cfg)
	}
	for i := range 4 {
		h := &simHost{index: i, skew: s.skew()}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// skew is a clock's error. The machine's own check of the setting is what
// clockOutOfRange switches off.
func (s *sim) skew() time.Duration {
	limit := s.cfg.ClockError
	if s.rule == clockOutOfRange {
		limit *= 4
	}
	if s.chance(50) { // the age limits are exact only for the largest errors
		return limit * time.Duration(1-2*s.rng.IntN(2))
	}
	return s.upTo(2*limit) - limit
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	e := event{at: s.now.Add(max(d, 0)), seq: s.seq, run: run}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b event) int {
		return cmp.Or(b.at.Compare(a.at), b.seq-a.seq)
	})
	s.queue = slices.Insert(s.queue, i, e) // latest first
}

func (s *sim) run() {
	for n := len(s.queue); n > 0 && s.seq < mostEvents; n = len(s.queue) {
		e := s.queue[n-1]
		s.queue = s.queue[:n-1]
		s.now = e.at
		e.run()
	}
}

func (s *sim) start(h *simHost) {
	name := fmt.Sprintf("host-%d/%d", h.index, h.gen)
	if s.rule == sharedHostName {
		name = "host"
	}
	m, err := once.New(s.cfg, name, s.rng)
	if err != nil {
		panic(err)
	}
	h.m = m
	h.router = once.NewRouter(m, fmt.Sprint(h.index))
	h.tick = time.Time{}
	h.answer = map[string]func(once.Outcome){}
	h.open = map[string]time.Time{}
	h.calls = map[int]int{}
}

// on runs a step of a host's present process after a delay. A frozen host runs
// it when it thaws, a killed one never.
func (s *sim) on(h *simHost, d time.Duration, step func(now time.Time) []once.Action) {
	gen := h.gen
	s.after(d, func() {
		if h.gen != gen {
			return
		}
		if wait := h.frozen.Sub(s.now); wait > 0 {
			s.on(h, wait, step)
			return
		}
		now := s.now.Add(h.skew)
		acts := step(now)
		for _, a := range acts {
			s.check(h, now, a)
		}
		s.perform(h, acts)
		s.wake(h)
	})
}

// check notes what a machine must never do, whatever the shell reports to it.
func (s *sim) check(h *simHost, now time.Time, a once.Action) {
	switch a := a.(type) {
	case once.Read:
		h.calls[a.Journal]++
	case once.Write:
		h.calls[a.Journal]++
		if len(a.Value) > s.cfg.MaxJournalBytes || h.calls[a.Journal] > 1 {
			s.faults = append(s.faults, fmt.Sprintf("update of %d bytes, %d calls on their way", len(a.Value), h.calls[a.Journal]))
		}
	case once.Dispatch:
		if _, open := h.open[a.Submission.ID]; !open || !s.claims[a.Attempt] {
			s.faults = append(s.faults, fmt.Sprintf("attempt %s dispatched twice, without a claim or after its answer", a.Attempt))
		}
		delete(s.claims, a.Attempt)
	case once.Answer:
		deadline, ok := h.open[a.Submission.ID]
		thawed := h.frozen.Add(h.skew)
		if !ok || now.After(deadline) && deadline.After(thawed) {
			s.faults = append(s.faults, fmt.Sprintf("submission %s answered twice or after its deadline", a.Submission.ID))
		}
		delete(h.open, a.Submission.ID)
	}
}

// expect notes a submission that the host is about to take.
func (h *simHost) expect(now time.Time, sub once.Submission, tell func(once.Outcome)) {
	h.answer[sub.ID] = tell
	h.open[sub.ID] = later(now, sub.Deadline)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wake schedules the machine's next Tick, unless an earlier one is scheduled.
func (s *sim) wake(h *simHost) {
	at, ok := h.m.Next()
	if !ok || !h.tick.IsZero() && !at.Before(h.tick) {
		return
	}
	h.tick = at
	s.on(h, max(at.Sub(s.now.Add(h.skew)), 0), func(now time.Time) []once.Action {
		if !h.tick.Equal(at) {
			return nil
		}
		h.tick = time.Time{}
		return h.m.Tick(now)
	})
}

// perform carries out actions, some of them after a pause of the process.
func (s *sim) perform(h *simHost, acts []once.Action) {
	for _, a := range acts {
		pause := time.Duration(0)
		if _, timed := a.(once.Forward); !timed && s.chance(5) {
			pause = s.upTo(2 * time.Second)
		}
		s.on(h, pause, func(now time.Time) []once.Action {
			switch a := a.(type) {
			case once.Read:
				s.read(h, a)
			case once.Write:
				return s.write(h, now, a)
			case once.Dispatch:
				s.dispatch(h, now, a)
			case once.Forward:
				s.forward(h, now, a)
			case once.Answer:
				h.answer[a.Submission.ID](a.Outcome)
			}
			return nil
		})
	}
}

const callTimeout = 100 * time.Millisecond

func (s *sim) read(h *simHost, a once.Read) {
	s.after(s.upTo(10*time.Millisecond), func() {
		o, err, delay := s.store[a.Journal], error(nil), s.upTo(10*time.Millisecond)
		if s.now.Before(s.outage) || s.chance(5) {
			o, err, delay = objectstore.Object{}, objectstore.ErrUnavailable, callTimeout
		} else if o.Version == 0 {
			err = objectstore.ErrNotFound
		}
		s.on(h, delay, func(now time.Time) []once.Action {
			h.calls[a.Journal]--
			return h.m.ReadDone(now, a.Journal, o, err)
		})
	})
}

// write sends an update. It may get lost, take effect without an answer, or
// take effect long after the host has given up waiting for the answer.
func (s *sim) write(h *simHost, now time.Time, a once.Write) []once.Action {
	gen := h.gen
	done := func(d time.Duration, o objectstore.Object, err error) {
		if h.gen != gen || s.rule == earlyDispatch {
			return
		}
		s.on(h, d, func(now time.Time) []once.Action {
			h.calls[a.Journal]--
			return h.m.WriteDone(now, a.Journal, o, err)
		})
	}
	fate := s.rng.IntN(100)
	delay := s.upTo(10 * time.Millisecond)
	if fate < 10 {
		delay = s.upTo(3 * time.Second)
	}
	lost := func() {
		o, err := s.lost(h, a)
		done(callTimeout, o, err)
	}
	s.after(delay, func() {
		down := s.now.Before(s.outage)
		switch {
		case fate < 5:
		case down && fate < 50:
			if fate >= 15 {
				lost()
			}
		case down:
			done(0, objectstore.Object{}, objectstore.ErrUnavailable)
		case fate >= 97:
			refusals := []error{objectstore.ErrBudget, objectstore.ErrTooLarge}
			done(0, objectstore.Object{}, refusals[s.rng.IntN(len(refusals))])
		default:
			o, err := s.put(a)
			if fate >= 15 {
				done(s.upTo(10*time.Millisecond), o, err)
			}
		}
	})
	if fate < 15 {
		lost()
	}
	if s.rule == earlyDispatch {
		h.calls[a.Journal]--
		return h.m.WriteDone(now, a.Journal, objectstore.Object{Version: a.Base + 1}, nil)
	}
	return nil
}

func (s *sim) put(a once.Write) (objectstore.Object, error) {
	old := s.store[a.Journal]
	if old.Version != a.Base && s.rule != noVersionCheck {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	o := objectstore.Object{Version: old.Version + 1, Value: a.Value}
	s.store[a.Journal] = o
	entries, err := once.DecodeJournal(a.Value)
	for _, e := range entries {
		if e.State == once.StateClaimed && !s.claims["was "+e.Attempt] {
			s.claims[e.Attempt], s.claims["was "+e.Attempt] = true, true
		}
	}
	return o, err
}

// lost returns what the host makes of a lost answer.
func (s *sim) lost(h *simHost, a once.Write) (objectstore.Object, error) {
	switch s.rule {
	case lostIsSuccess:
		return objectstore.Object{Version: a.Base + 1}, nil
	case lostIsNotRun:
		entries, _ := once.DecodeJournal(a.Value)
		for _, e := range entries {
			if tell := h.answer[e.Key]; tell != nil {
				tell(once.Outcome{Run: once.RunNotRun})
			}
		}
	}
	return objectstore.Object{}, objectstore.ErrUnknownOutcome
}

// dispatch sends the request to the upstream, which counts runs by key.
func (s *sim) dispatch(h *simHost, now time.Time, a once.Dispatch) {
	fate := s.rng.IntN(100)
	r := once.DispatchResult{Kind: once.DispatchNotSent}
	if fate >= 15 {
		r.Kind = once.DispatchUnknown
	}
	late := now.After(a.Submission.Deadline)
	s.after(s.upTo(20*time.Millisecond), func() {
		if fate >= 20 && !late {
			body := strconv.Itoa(s.rng.IntN(1 << 30))
			s.record(a.Submission.Key, step{kind: stepRun, result: body})
			if fate >= 35 {
				r = once.DispatchResult{Kind: once.DispatchRan, Body: json.RawMessage(body)}
			}
		}
		s.on(h, s.upTo(50*time.Millisecond), func(now time.Time) []once.Action {
			return h.m.DispatchDone(now, a.Attempt, r)
		})
	})
}

// disturb kills and freezes hosts and takes the store out, until the limit.
func (s *sim) disturb(limit time.Duration) {
	s.after(s.upTo(2*time.Second), func() {
		if s.now.After(epoch.Add(limit)) {
			return
		}
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		switch s.rng.IntN(10) {
		case 0, 1:
			h.gen++
			h.frozen = time.Time{}
			s.start(h)
		case 2, 3, 4:
			h.frozen = later(h.frozen, s.now.Add(s.upTo(2*time.Second)))
		case 5:
			h.frozen = later(h.frozen, s.now.Add(s.upTo(200*time.Second)))
		case 6:
			s.on(h, 0, h.m.Flush)
		case 7:
			s.outage = s.now.Add(s.upTo(3 * time.Second))
		}
		s.disturb(limit)
	})
}
