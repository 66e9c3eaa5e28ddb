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

// rule is a rule that a run of the simulation breaks on purpose. Its value describes
// the faulty behaviour.
type rule string

const (
	allRules              rule = ""
	earlyDispatch         rule = "update counts as confirmed when it is sent"
	lostResponseIsSuccess rule = "update with a lost response counts as confirmed"
	lostResponseIsNotRun  rule = "not_run after a lost response without reading back"
	noVersionCheck        rule = "update ignores the object version"
	noTombstone           rule = "not_run after a failed connection without a tombstone"
	readProvesNotRun      rule = "not_run because a read shows no record"
	clockOutOfRange       rule = "clock errors exceed the setting"
	sharedHostName        rule = "restarted host treats records of its earlier run as its own"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// sim simulates several machines, a store, an upstream and callers in virtual time.
type sim struct {
	rng         *rand.Rand
	rule        rule
	cfg         once.Config
	now         time.Time
	seq         int
	ids         int // submissions made to entry hosts, for unique ids
	queue       []event
	hosts       []*simHost
	store       map[int]objectstore.Object
	outageUntil time.Time                        // the store refuses calls until this time
	history     map[string][]porcupine.Operation // by key
	answers     map[once.Run]int
	claims      map[string]bool // attempts whose claim took effect
	violations  []string        // violated guarantees of a machine to its shell
}

// maxEvents bounds a run. A machine in a busy loop exceeds it.
const maxEvents = 100000

// simHost is one host. A kill replaces its machine and increments generation.
type simHost struct {
	index         int
	generation    int
	m             *once.Machine
	router        *once.Router
	skew          time.Duration
	frozenUntil   time.Time
	nextTick      time.Time // next scheduled Tick, in the host's time
	answerFuncs   map[string]func(once.Outcome)
	unanswered    map[string]time.Time // deadlines of submissions without an answer by id, in the host's time
	callsInFlight map[int]int          // by journal
}

var epoch = time.UnixMilli(1764831527000)

func newSim(seed uint64, r rule, tune func(*once.Config)) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), rule: r, now: epoch, cfg: once.DefaultConfig(),
		store: map[int]objectstore.Object{}, answers: map[once.Run]int{}, history: map[string][]porcupine.Operation{}, claims: map[string]bool{},
	}
	s.cfg.Journals = 2
	s.cfg.MaxBatch = 4
	s.cfg.UpdateInterval = s.upTo(30 * time.Millisecond)
	s.cfg.OutcomeDelay = s.upTo(500 * time.Millisecond)
	s.cfg.MaxResultBytes = 4 + s.rng.IntN(12)
	s.cfg.ClaimPollInterval = 10*time.Millisecond + s.upTo(100*time.Millisecond)
	s.cfg.MaxClaimWait = s.upTo(500 * time.Millisecond)
	s.cfg.MaxTries = 2 + s.rng.IntN(6)
	if s.chance(20) { // journals that fill up
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

// skew returns the error of a clock. Under clockOutOfRange it may exceed the
// ClockError setting.
func (s *sim) skew() time.Duration {
	limit := s.cfg.ClockError
	if s.rule == clockOutOfRange {
		limit *= 4
	}
	if s.chance(50) { // the largest errors exercise the exact age limits
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
	s.queue = slices.Insert(s.queue, i, e) // in descending order of time
}

func (s *sim) run() {
	for n := len(s.queue); n > 0 && s.seq < maxEvents; n = len(s.queue) {
		e := s.queue[n-1]
		s.queue = s.queue[:n-1]
		s.now = e.at
		e.run()
	}
}

func (s *sim) start(h *simHost) {
	name := fmt.Sprintf("host-%d/%d", h.index, h.generation)
	if s.rule == sharedHostName {
		name = "host"
	}
	m, err := once.New(s.cfg, name, s.rng)
	if err != nil {
		panic(err)
	}
	h.m = m
	h.router = once.NewRouter(m, fmt.Sprint(h.index))
	h.nextTick = time.Time{}
	h.answerFuncs = map[string]func(once.Outcome){}
	h.unanswered = map[string]time.Time{}
	h.callsInFlight = map[int]int{}
}

// schedule runs a step of a host's current process after a delay. A frozen host
// runs it when it resumes; a killed process never runs it.
func (s *sim) schedule(h *simHost, d time.Duration, step func(now time.Time) []once.Action) {
	generation := h.generation
	s.after(d, func() {
		if h.generation != generation {
			return
		}
		if wait := h.frozenUntil.Sub(s.now); wait > 0 {
			s.schedule(h, wait, step)
			return
		}
		now := s.now.Add(h.skew)
		acts := step(now)
		for _, a := range acts {
			s.checkAction(h, now, a)
		}
		s.perform(h, acts)
		s.scheduleTick(h)
	})
}

// checkAction records actions that a machine must never return, whatever the shell
// has reported to it.
func (s *sim) checkAction(h *simHost, now time.Time, a once.Action) {
	switch a := a.(type) {
	case once.Read:
		h.callsInFlight[a.Journal]++
	case once.Write:
		h.callsInFlight[a.Journal]++
		if len(a.Value) > s.cfg.MaxJournalBytes || h.callsInFlight[a.Journal] > 1 {
			s.violations = append(s.violations, fmt.Sprintf("update of %d bytes, %d calls in flight", len(a.Value), h.callsInFlight[a.Journal]))
		}
	case once.Dispatch:
		if _, unanswered := h.unanswered[a.Submission.ID]; !unanswered || !s.claims[a.Attempt] {
			s.violations = append(s.violations, fmt.Sprintf("attempt %s dispatched twice, without a claim or after its answer", a.Attempt))
		}
		delete(s.claims, a.Attempt)
	case once.Answer:
		deadline, ok := h.unanswered[a.Submission.ID]
		resumeTime := h.frozenUntil.Add(h.skew)
		if !ok || now.After(deadline) && deadline.After(resumeTime) {
			s.violations = append(s.violations, fmt.Sprintf("submission %s answered twice or after its deadline", a.Submission.ID))
		}
		delete(h.unanswered, a.Submission.ID)
	}
}

// expectAnswer records a submission that the host is about to get.
func (h *simHost) expectAnswer(now time.Time, sub once.Submission, onAnswer func(once.Outcome)) {
	h.answerFuncs[sub.ID] = onAnswer
	h.unanswered[sub.ID] = later(now, sub.Deadline)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scheduleTick schedules the machine's next Tick, unless an earlier one is
// scheduled.
func (s *sim) scheduleTick(h *simHost) {
	at, ok := h.m.Next()
	if !ok || !h.nextTick.IsZero() && !at.Before(h.nextTick) {
		return
	}
	h.nextTick = at
	s.schedule(h, max(at.Sub(s.now.Add(h.skew)), 0), func(now time.Time) []once.Action {
		if !h.nextTick.Equal(at) {
			return nil
		}
		h.nextTick = time.Time{}
		return h.m.Tick(now)
	})
}

// perform executes actions, some of them after a pause of the process.
func (s *sim) perform(h *simHost, acts []once.Action) {
	for _, a := range acts {
		pause := time.Duration(0)
		if _, timed := a.(once.Forward); !timed && s.chance(5) {
			pause = s.upTo(2 * time.Second)
		}
		s.schedule(h, pause, func(now time.Time) []once.Action {
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
				h.answerFuncs[a.Submission.ID](a.Outcome)
			}
			return nil
		})
	}
}

const callTimeout = 100 * time.Millisecond

func (s *sim) read(h *simHost, a once.Read) {
	s.after(s.upTo(10*time.Millisecond), func() {
		o, err, delay := s.store[a.Journal], error(nil), s.upTo(10*time.Millisecond)
		if s.now.Before(s.outageUntil) || s.chance(5) {
			o, err, delay = objectstore.Object{}, objectstore.ErrUnavailable, callTimeout
		} else if o.Version == 0 {
			err = objectstore.ErrNotFound
		}
		s.schedule(h, delay, func(now time.Time) []once.Action {
			h.callsInFlight[a.Journal]--
			return h.m.ReadDone(now, a.Journal, o, err)
		})
	})
}

// write sends an update. It may be lost, take effect without a response, or take
// effect long after the host has timed out waiting for the response.
func (s *sim) write(h *simHost, now time.Time, a once.Write) []once.Action {
	generation := h.generation
	done := func(d time.Duration, o objectstore.Object, err error) {
		if h.generation != generation || s.rule == earlyDispatch {
			return
		}
		s.schedule(h, d, func(now time.Time) []once.Action {
			h.callsInFlight[a.Journal]--
			return h.m.WriteDone(now, a.Journal, o, err)
		})
	}
	draw := s.rng.IntN(100)
	delay := s.upTo(10 * time.Millisecond)
	if draw < 10 {
		delay = s.upTo(3 * time.Second)
	}
	lostResponse := func() {
		o, err := s.lostResponse(h, a)
		done(callTimeout, o, err)
	}
	s.after(delay, func() {
		down := s.now.Before(s.outageUntil)
		switch {
		case draw < 5:
		case down && draw < 50:
			if draw >= 15 {
				lostResponse()
			}
		case down:
			done(0, objectstore.Object{}, objectstore.ErrUnavailable)
		case draw >= 97:
			refusals := []error{objectstore.ErrBudget, objectstore.ErrTooLarge}
			done(0, objectstore.Object{}, refusals[s.rng.IntN(len(refusals))])
		default:
			o, err := s.put(a)
			if draw >= 15 {
				done(s.upTo(10*time.Millisecond), o, err)
			}
		}
	})
	if draw < 15 {
		lostResponse()
	}
	if s.rule == earlyDispatch {
		h.callsInFlight[a.Journal]--
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

// lostResponse returns the result that the host reports for a lost response.
func (s *sim) lostResponse(h *simHost, a once.Write) (objectstore.Object, error) {
	switch s.rule {
	case lostResponseIsSuccess:
		return objectstore.Object{Version: a.Base + 1}, nil
	case lostResponseIsNotRun:
		entries, _ := once.DecodeJournal(a.Value)
		for _, e := range entries {
			if onAnswer := h.answerFuncs[e.Key]; onAnswer != nil {
				onAnswer(once.Outcome{Run: once.RunNotRun})
			}
		}
	}
	return objectstore.Object{}, objectstore.ErrUnknownOutcome
}

// dispatch sends the request to the upstream, which records the runs of each key.
func (s *sim) dispatch(h *simHost, now time.Time, a once.Dispatch) {
	draw := s.rng.IntN(100)
	r := once.DispatchResult{Kind: once.DispatchNotSent}
	if draw >= 15 {
		r.Kind = once.DispatchUnknown
	}
	late := now.After(a.Submission.Deadline)
	s.after(s.upTo(20*time.Millisecond), func() {
		if draw >= 20 && !late {
			body := strconv.Itoa(s.rng.IntN(1 << 30))
			s.record(a.Submission.Key, step{kind: stepRun, result: body})
			if draw >= 35 {
				r = once.DispatchResult{Kind: once.DispatchRan, Body: json.RawMessage(body)}
			}
		}
		s.schedule(h, s.upTo(50*time.Millisecond), func(now time.Time) []once.Action {
			return h.m.DispatchDone(now, a.Attempt, r)
		})
	})
}

// injectFaults kills and freezes hosts and causes outages of the store, until the
// limit.
func (s *sim) injectFaults(limit time.Duration) {
	s.after(s.upTo(2*time.Second), func() {
		if s.now.After(epoch.Add(limit)) {
			return
		}
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		switch s.rng.IntN(10) {
		case 0, 1:
			h.generation++
			h.frozenUntil = time.Time{}
			s.start(h)
		case 2, 3, 4:
			h.frozenUntil = later(h.frozenUntil, s.now.Add(s.upTo(2*time.Second)))
		case 5:
			h.frozenUntil = later(h.frozenUntil, s.now.Add(s.upTo(200*time.Second)))
		case 6:
			s.schedule(h, 0, h.m.Flush)
		case 7:
			s.outageUntil = s.now.Add(s.upTo(3 * time.Second))
		}
		s.injectFaults(limit)
	})
}
