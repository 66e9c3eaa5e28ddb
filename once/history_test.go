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
	stepAnswer stepKind = "told"   // a caller is told an outcome
	stepRun    stepKind = "run"    // the upstream runs the key
)

// step is one event of a key's history.
type step struct {
	kind    stepKind
	outcome once.Outcome
	result  string
}

func (s *sim) record(key string, st step) {
	at := s.now.UnixNano()
	s.history[key] = append(s.history[key], porcupine.Operation{Input: st, Call: at, Return: at})
}

// keyState is the state of one key in the model.
type keyState struct {
	mayRun bool // a submission was made that no later not_run has ended
	runs   int
	result string
}

// model states what callers may be told of a key: it runs at most once, not_run
// excludes every run that no later submission causes, ran means one run.
var model = porcupine.Model{
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

// caller submits one key, in turn, through changing hosts. A caller that numbers
// its submissions waits for an answer, or gives the submission up, before the
// next one. One that doesn't may have several on their way.
type caller struct {
	s        *sim
	key      string
	numbered bool
	sent     int
}

const maxSubmissions = 5

func (s *sim) newCaller(index int) *caller {
	made := s.now.Add(s.skew())
	if s.rule == clockOutOfRange {
		made = s.now
	}
	return &caller{s: s, key: once.NewKey(made, fmt.Sprintf("rnd%05d", index)), numbered: s.chance(50)}
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
	if c.numbered && !s.chance(10) { // a number may get lost on the way
		sub.Number = uint32(c.sent)
	}
	open := true
	s.record(c.key, step{kind: stepSubmit})
	life := 50*time.Millisecond + s.upTo(2*time.Second)
	tell := func(out once.Outcome) {
		if !open {
			return
		}
		open = false
		s.told[out.Run]++
		s.record(c.key, step{kind: stepAnswer, outcome: out})
		c.again(70)
	}
	s.enter(s.hosts[s.rng.IntN(len(s.hosts))], sub, life, tell)
	s.after(life+s.upTo(time.Second), func() {
		if open {
			open = false
			c.again(90)
		}
	})
	if !c.numbered {
		c.again(30)
	}
}

// again submits once more at some time, sometimes near the age limit of the key.
func (c *caller) again(percent int) {
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

// enter is the entry host, whose view of the live hosts may be wrong.
func (s *sim) enter(e *simHost, sub once.Submission, life time.Duration, tell func(once.Outcome)) {
	s.on(e, s.upTo(3*time.Millisecond), func(now time.Time) []once.Action {
		s.ids++
		sub.ID = fmt.Sprint(s.ids)
		sub.Deadline = now.Add(life)
		var live []string
		for _, h := range s.hosts {
			if h == e || !s.chance(40) {
				live = append(live, fmt.Sprint(h.index))
			}
		}
		e.answer[sub.Key] = tell // for lostIsNotRun
		e.expect(now, sub, s.truthful(sub.Key, tell))
		return e.router.Submit(now, sub, live)
	})
}

// forward passes a submission on. The connection may break before or after the
// writer gets it, and the writer may get it long after the break was noticed.
func (s *sim) forward(e *simHost, now time.Time, a once.Forward) {
	sub := a.Submission
	life := sub.Deadline.Sub(now)
	broken := func(now time.Time) []once.Action {
		if tell := e.answer[sub.ID]; s.rule == noTombstone && tell != nil {
			tell(once.Outcome{Run: once.RunNotRun})
		}
		return e.router.NoReply(now, sub.ID)
	}
	s.on(e, a.Until.Sub(now), broken)
	delivery := s.upTo(5 * time.Millisecond)
	if s.chance(25) {
		s.on(e, s.upTo(40*time.Millisecond), broken)
		delivery = s.upTo(time.Second)
	}
	if s.chance(10) {
		return // lost on the way
	}
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return fmt.Sprint(h.index) == a.Host })
	w := s.hosts[i]
	s.on(w, delivery, func(now time.Time) []once.Action {
		sub.Deadline = now.Add(life)
		w.expect(now, sub, s.truthful(sub.Key, func(out once.Outcome) {
			s.on(e, s.upTo(5*time.Millisecond), func(time.Time) []once.Action {
				return e.router.Reply(sub.ID, out)
			})
		}))
		return w.m.Submit(now, sub)
	})
}

// truthful passes answers on. Under readIsEnough it turns a refusal of a record
// that this host won't write into not_run if the journal shows no record.
func (s *sim) truthful(key string, tell func(once.Outcome)) func(once.Outcome) {
	return func(out once.Outcome) {
		refused := out.Reason == once.ReasonConflict || out.Reason == once.ReasonJournalFull
		if s.rule == readIsEnough && refused {
			entries, _ := once.DecodeJournal(s.store[once.JournalOf(key, s.cfg.Journals)].Value)
			if !slices.ContainsFunc(entries, func(e once.Entry) bool { return e.Key == key }) {
				out.Run = once.RunNotRun
			}
		}
		tell(out)
	}
}

// simulate runs one seed. Its result is judged by firstBad and faults.
func simulate(seed uint64, r rule, tune func(*once.Config)) *sim {
	s := newSim(seed, r, tune)
	for i := range 30 {
		start := s.upTo(4 * time.Second)
		if i >= 15 {
			start = 60*time.Second + s.upTo(90*time.Second)
		}
		s.after(start, func() { s.newCaller(i).submit() })
	}
	s.disturb(160 * time.Second)
	s.run()
	for _, h := range s.hosts {
		left := h.m.InFlight() + h.m.UnwrittenOutcomes() + h.router.InFlight()
		if at, ok := h.m.Next(); ok || left != 0 || len(h.open) != 0 || s.seq >= mostEvents {
			s.faults = append(s.faults, fmt.Sprintf("host %d has %d left, next %s, open %v", h.index, left, at, h.open))
		}
	}
	return s
}

// Guards against a second run of a key and an untrue answer under kills,
// freezes, outages, lost and late updates, broken forwarding and clock errors.
func TestHistory(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 40
	}
	told := map[once.Run]int{}
	for seed := range seeds {
		s := simulate(seed, allRules, nil)
		if bad := s.firstBad(); bad != "" || len(s.faults) > 0 {
			t.Errorf("seed %d: %s, %q", seed, bad, s.faults)
		}
		for k, n := range s.told {
			told[k] += n
		}
	}
	t.Logf("answers %v", told)
	for _, r := range []once.Run{once.RunRan, once.RunNotRun, once.RunMayHaveRun} {
		if told[r] == 0 {
			t.Errorf("no caller was told %s", r)
		}
	}
}

// Guards against lost, double and late answers, dispatch without a record, a
// journal above its limit, a busy loop and state that is never freed, under any
// settings.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		between := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
		s := simulate(rapid.Uint64().Draw(t, "seed"), allRules, func(c *once.Config) {
			c.Journals = between("journals", 1, 4)
			c.MaxBatch = between("batch", 1, 10)
			c.MaxPending = between("pending", 1, 10)
			c.MaxTries = between("tries", 1, 4)
			c.DownAfter = between("failures", 1, 4)
			c.ClaimReserve = between("reserve", 0, 250)
			c.MaxJournalBytes = between("bytes", 300, 3000)
			c.MinDispatchTime = time.Duration(between("milliseconds", 0, 100)) * time.Millisecond
		})
		if bad := s.firstBad(); bad != "" || len(s.faults) > 0 {
			t.Fatalf("%s, %q", bad, s.faults)
		}
	})
}

// Guards against a check that can't fail: each rule switched off must show up.
func TestHistoryFindsBrokenRules(t *testing.T) {
	broken := []rule{earlyDispatch, lostIsSuccess, lostIsNotRun, noVersionCheck, noTombstone,
		readIsEnough, clockOutOfRange, sharedHostName}
	for _, r := range broken {
		t.Run(string(r), func(t *testing.T) {
			for seed := range uint64(400) {
				s := simulate(seed, r, func(c *once.Config) {
					if r == readIsEnough {
						c.MaxTries = 1 // the answer in question follows a conflict
					}
				})
				if bad := s.firstBad(); bad != "" {
					t.Logf("seed %d: %s", seed, bad)
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// firstBad describes the history of the first key that breaks the model, or
// returns "".
func (s *sim) firstBad() string {
	for _, key := range slices.Sorted(maps.Keys(s.history)) {
		if porcupine.CheckOperations(model, s.history[key]) {
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
