package once_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/once"
)

type stepKind string

const (
	stepSubmit stepKind = "submit" // a caller submits the key
	stepAnswer stepKind = "answer" // a caller gets an outcome
	stepRun    stepKind = "run"    // the upstream runs the key
)

// step is one event in the history of a key.
type step struct {
	kind    stepKind
	outcome once.Outcome
	result  string
}

func (s *sim) record(key string, st step) {
	at := s.now.UnixNano()
	s.history[key] = append(s.history[key], porcupine.Operation{Input: st, Call: at, Return: at})
}

// keyState is the state of a key in the model.
type keyState struct {
	mayRun bool // a submission was made after the last not_run answer
	runs   int
	result string
}

// keyModel defines the valid histories of a key: it runs at most once; after a
// not_run answer it runs only if it is submitted again; ran means exactly one run.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		k, st := state.(keyState), input.(step)
		switch {
		case st.kind == stepSubmit:
			k.mayRun = true
		case st.kind == stepRun:
			return k.mayRun && k.runs == 0, keyState{mayRun: true, runs: 1, result: st.result}
		case st.outcome.Run == once.RunRan:
			known := st.outcome.Result == nil || string(st.outcome.Result) == k.result
			return k.runs == 1 && known, k
		case st.outcome.Run == once.RunNotRun:
			k.mayRun = false
			return k.runs == 0, k
		}
		return true, k
	},
}

// caller submits one key repeatedly through random hosts. A caller that numbers
// its submissions waits for an answer, or abandons the submission, before the next
// one. A caller without numbers may have several submissions in flight.
type caller struct {
	s        *sim
	key      string
	numbered bool
	sent     int
}

const maxSubmissions = 5

func (s *sim) newCaller(index int) *caller {
	created := s.now.Add(s.skew())
	if s.rule == clockOutOfRange {
		created = s.now
	}
	return &caller{s: s, key: once.NewKey(created, fmt.Sprintf("rnd%05d", index)), numbered: s.chance(50)}
}

func (c *caller) submit() {
	if c.sent >= maxSubmissions {
		return
	}
	c.sent++
	s := c.s
	sub := once.Submission{Key: c.key, Service: "payout", Contract: "gate"}
	if s.chance(5) {
		sub.Body = []byte(`"another request"`)
	}
	if c.numbered && !s.chance(10) { // a submission number may get lost on the way to the host
		sub.Number = uint32(c.sent)
	}
	waiting := true
	s.record(c.key, step{kind: stepSubmit})
	timeout := 50*time.Millisecond + s.upTo(2*time.Second)
	onAnswer := func(out once.Outcome) {
		if !waiting {
			return
		}
		waiting = false
		s.answers[out.Run]++
		s.record(c.key, step{kind: stepAnswer, outcome: out})
		c.mayResubmit(70)
	}
	s.submitAt(s.hosts[s.rng.IntN(len(s.hosts))], sub, timeout, onAnswer)
	s.after(timeout+s.upTo(time.Second), func() {
		if waiting {
			waiting = false
			c.mayResubmit(90)
		}
	})
	if !c.numbered {
		c.mayResubmit(30)
	}
}

// mayResubmit submits the key again with the given probability, after a random
// time, which is sometimes near the age limit of the key.
func (c *caller) mayResubmit(percent int) {
	if !c.s.chance(percent) {
		return
	}
	wait := c.s.upTo(500 * time.Millisecond)
	if c.s.chance(10) {
		wait = 90*time.Second + c.s.upTo(70*time.Second)
	}
	if key, err := once.ParseKey(c.key); err == nil && c.s.chance(10) {
		limit := key.Time.Add(c.s.cfg.MaxAge).Sub(c.s.now) + c.s.skew()
		wait = max(0, limit-c.s.upTo(3*time.Second))
	}
	c.s.after(wait, c.submit)
}

// submitAt submits at an entry host, whose view of the live hosts may be wrong.
func (s *sim) submitAt(e *simHost, sub once.Submission, timeout time.Duration, onAnswer func(once.Outcome)) {
	s.schedule(e, s.upTo(3*time.Millisecond), func(now time.Time) []once.Action {
		s.ids++
		sub.ID = fmt.Sprint(s.ids)
		sub.Deadline = now.Add(timeout)
		var live []string
		for _, h := range s.hosts {
			if h == e || !s.chance(40) {
				live = append(live, fmt.Sprint(h.index))
			}
		}
		e.answerFuncs[sub.Key] = onAnswer // used by lostResponseIsNotRun
		e.expectAnswer(now, sub, s.applyReadRule(sub.Key, onAnswer))
		return e.router.Submit(now, sub, live)
	})
}

// forward sends a submission to the writer host. The connection may fail before or
// after the writer gets it, and the writer may get it long after the entry host has
// noticed the failure.
func (s *sim) forward(e *simHost, now time.Time, a once.Forward) {
	sub := a.Submission
	timeout := sub.Deadline.Sub(now)
	noReply := func(now time.Time) []once.Action {
		if onAnswer := e.answerFuncs[sub.ID]; s.rule == noTombstone && onAnswer != nil {
			onAnswer(once.Outcome{Run: once.RunNotRun})
		}
		return e.router.NoReply(now, sub.ID)
	}
	s.schedule(e, a.Until.Sub(now), noReply)
	delivery := s.upTo(5 * time.Millisecond)
	if s.chance(25) {
		s.schedule(e, s.upTo(40*time.Millisecond), noReply)
		delivery = s.upTo(time.Second)
	}
	if s.chance(10) {
		return // the writer never gets it
	}
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return fmt.Sprint(h.index) == a.Host })
	w := s.hosts[i]
	s.schedule(w, delivery, func(now time.Time) []once.Action {
		sub.Deadline = now.Add(timeout)
		w.expectAnswer(now, sub, s.applyReadRule(sub.Key, func(out once.Outcome) {
			s.schedule(e, s.upTo(5*time.Millisecond), func(time.Time) []once.Action {
				return e.router.Reply(sub.ID, out)
			})
		}))
		return w.m.Submit(now, sub)
	})
}

// applyReadRule wraps onAnswer. Under readProvesNotRun it changes the refusal of a
// record to not_run if the journal has no entry of the key.
func (s *sim) applyReadRule(key string, onAnswer func(once.Outcome)) func(once.Outcome) {
	return func(out once.Outcome) {
		refused := out.Reason == once.ReasonConflict || out.Reason == once.ReasonJournalFull
		if s.rule == readProvesNotRun && refused {
			entries, _ := once.DecodeJournal(s.store[once.JournalOf(key, s.cfg.Journals)].Value)
			if !slices.ContainsFunc(entries, func(e once.Entry) bool { return e.Key == key }) {
				out.Run = once.RunNotRun
			}
		}
		onAnswer(out)
	}
}

// simulate runs one seed. firstViolation and violations show whether the run was
// correct.
func simulate(seed uint64, r rule, tune func(*once.Config)) *sim {
	s := newSim(seed, r, tune)
	for i := range 30 {
		start := s.upTo(4 * time.Second)
		if i >= 15 {
			start = 60*time.Second + s.upTo(90*time.Second)
		}
		s.after(start, func() { s.newCaller(i).submit() })
	}
	s.injectFaults(160 * time.Second)
	s.run()
	for _, h := range s.hosts {
		unfinished := h.m.InFlight() + h.m.UnwrittenOutcomes() + h.router.InFlight()
		if at, ok := h.m.Next(); ok || unfinished != 0 || len(h.unanswered) != 0 || s.seq >= maxEvents {
			s.violations = append(s.violations, fmt.Sprintf("host %d has %d unfinished operations, next tick %s, unanswered %v", h.index, unfinished, at, h.unanswered))
		}
	}
	return s
}

// Guards against a key that runs twice and against wrong answers while hosts are
// killed and frozen, the store has outages, updates are lost or late, forwarding
// fails and clocks err.
func TestRequestsRunAtMostOnce(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 40
	}
	answers := map[once.Run]int{}
	for seed := range seeds {
		s := simulate(seed, allRules, nil)
		if bad := s.firstViolation(); bad != "" || len(s.violations) > 0 {
			t.Errorf("seed %d: %s, %q", seed, bad, s.violations)
		}
		for k, n := range s.answers {
			answers[k] += n
		}
	}
	t.Logf("answers %v", answers)
	for _, r := range []once.Run{once.RunRan, once.RunNotRun, once.RunMayHaveRun} {
		if answers[r] == 0 {
			t.Errorf("no caller was answered %s", r)
		}
	}
}

// Guards, under random settings, against missing, repeated and late answers,
// dispatches without a record, journals above their size limit, busy loops and
// state that is never freed.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		between := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
		s := simulate(rapid.Uint64().Draw(t, "seed"), allRules, func(c *once.Config) {
			c.Journals = between("journals", 1, 4)
			c.MaxBatch = between("batch", 1, 10)
			c.MaxPending = between("pending", 1, 10)
			c.MaxPendingBytes = between("pending bytes", 1, 200)
			c.MaxTries = between("tries", 1, 4)
			c.DownAfter = between("failures", 1, 4)
			c.ClaimReserve = between("reserve", 0, 250)
			c.MaxJournalBytes = between("bytes", 300, 3000)
			c.MinDispatchTime = time.Duration(between("milliseconds", 0, 100)) * time.Millisecond
		})
		if bad := s.firstViolation(); bad != "" || len(s.violations) > 0 {
			t.Fatalf("%s, %q", bad, s.violations)
		}
	})
}

// Guards against a model that detects nothing: it must find a violation for each
// rule that is broken on purpose.
func TestModelDetectsBrokenRules(t *testing.T) {
	broken := []rule{earlyDispatch, lostResponseIsSuccess, lostResponseIsNotRun, noVersionCheck, noTombstone,
		readProvesNotRun, clockOutOfRange, sharedHostName}
	for _, r := range broken {
		t.Run(string(r), func(t *testing.T) {
			for seed := range uint64(400) {
				s := simulate(seed, r, func(c *once.Config) {
					if r == readProvesNotRun {
						c.MaxTries = 1 // the wrong answer follows a conflict
					}
				})
				if bad := s.firstViolation(); bad != "" {
					t.Logf("seed %d: %s", seed, bad)
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// firstViolation describes the history of the first key that the model rejects, or
// returns "".
func (s *sim) firstViolation() string {
	for _, key := range slices.Sorted(maps.Keys(s.history)) {
		if porcupine.CheckOperations(keyModel, s.history[key]) {
			continue
		}
		text := key
		for _, o := range s.history[key] {
			st := o.Input.(step)
			at := time.Unix(0, o.Call).Sub(epoch).Round(time.Millisecond)
			text += fmt.Sprintf("; %s %s %s %s", at, st.kind, st.outcome.Run, st.outcome.Reason)
		}
		return text
	}
	return ""
}
