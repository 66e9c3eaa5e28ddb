package query

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/big"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/upstream"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204") // the same verdict on every run
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

// source draws a number below n.
type source func(label string, n int) int

func fromRapid(t *rapid.T) source {
	return func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
}

func fromSeed(seed uint64) source {
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(_ string, n int) int { return rng.IntN(n) }
}

const (
	testAnswerTime = 100 * time.Millisecond
	testShare      = 0.1
	testBurst      = 3
	testServices   = 6
)

var testStart = time.Unix(1000, 0)

// world runs one machine against random upstreams in virtual time and records
// what it did.
type world struct {
	draw     source
	m        *Machine
	stats    *Stats
	now      time.Time
	events   []event
	live     map[string]*Send
	sent     []*Send
	excluded []Exclusion
	finish   *Finish
	finishAt time.Time
	fault    error
	version  uint64 // newest snapshot
	lag      int    // one replica in lag holds only older snapshots
	calm     int    // weight of a good reply
}

type event struct {
	at  time.Time
	run func() []Action
}

func newWorld(draw source) *world {
	w := &world{draw: draw, stats: NewStats(), now: testStart, live: map[string]*Send{}, version: 7}
	w.lag = []int{2, 20, 1000}[draw("lag", 3)]
	w.calm = []int{5, 50, 500}[draw("calm", 3)]
	plan := Plan{
		ID: "q", AnswerTime: testAnswerTime, LatencyGoal: 40 * time.Millisecond, Prefer: PreferCoverage,
		MinimumCoverage: big.NewRat(int64(draw("minimum", 5)), 4),
	}
	if draw("prefer", 2) == 0 {
		plan.Prefer = PreferLatency
	}
	for g := range 1 + draw("groups", 2) {
		plan.Groups = append(plan.Groups, w.group(fmt.Sprint("g", g), 0))
	}
	w.m = New(plan, w.stats, NewRatioBudget(testShare, testBurst), rand.New(rand.NewPCG(1, 2)))
	return w
}

// group divides the space at random; generation tells the names apart.
func (w *world) group(name string, generation int) Group {
	out := Group{Name: name}
	n := 1 + w.draw("services", testServices)
	for i, r := range upstream.Split(n) {
		s := Service{Name: fmt.Sprintf("%s-%d-%d", name, i, n), Partition: r}
		for j := range 1 + w.draw("replicas", 3) {
			id := fmt.Sprintf("%s-r%d-%d", s.Name, generation, j)
			rep := Replica{ID: id, DataCentre: fmt.Sprint("dc", j%2)}
			if w.draw("known", 2) == 0 {
				rep.Held = w.held()
			}
			s.Replicas = append(s.Replicas, rep)
		}
		out.Services = append(out.Services, s)
	}
	return out
}

func (w *world) held() []uint64 {
	v := w.version
	if w.draw("held", w.lag) == 0 {
		v--
	}
	return []uint64{v - 1, v}
}

func (w *world) after(d time.Duration, run func() []Action) {
	w.events = append(w.events, event{w.now.Add(d), run})
}

func (w *world) millis(n int) time.Duration {
	return time.Duration(w.draw("ms", n)) * time.Millisecond
}

// run plays the query to its end and past it, with late replies.
func (w *world) run() {
	for range w.draw("exclusions", 3) {
		e := Exclusion{DataCentre: fmt.Sprint("dc", w.draw("dc", 2)), Reason: ReasonOut}
		w.after(w.millis(60), func() []Action {
			w.excluded = append(w.excluded, e)
			return w.m.Exclude(w.now, e)
		})
	}
	for i := range w.draw("repartitions", 3) {
		w.after(w.millis(60), func() []Action { return w.m.Repartition(w.now, []Group{w.group("g0", i+1)}) })
	}
	for range w.draw("index changes", 3) {
		w.after(w.millis(60), func() []Action { w.version++; return nil })
	}
	w.apply(w.m.Start(w.now))
	for steps := 0; w.step(); steps++ {
		if steps > 5000 {
			w.fail("no end after %d steps", steps)
			return
		}
	}
}

// step runs the next event or timer and reports whether there was one.
func (w *world) step() bool {
	slices.SortStableFunc(w.events, func(a, b event) int { return a.at.Compare(b.at) })
	next, ok := w.m.Next()
	if ok && (len(w.events) == 0 || !w.events[0].at.Before(next)) {
		w.now = next
		w.apply(w.m.Tick(w.now))
		return true
	}
	if len(w.events) == 0 {
		return false
	}
	e := w.events[0]
	w.events = w.events[1:]
	w.now = e.at
	w.apply(e.run())
	return true
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

func (w *world) apply(actions []Action) {
	if w.finish != nil && len(actions) > 0 {
		w.fail("%d actions after Finish", len(actions))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			w.send(a)
		case *Cancel:
			if w.live[a.Attempt] == nil {
				w.fail("cancel of %s, which is not in flight", a.Attempt)
			}
			delete(w.live, a.Attempt)
		case *Finish:
			if w.finish != nil {
				w.fail("second Finish")
			}
			w.finish, w.finishAt = a, w.now
		}
	}
}

func (w *world) send(s *Send) {
	if w.finish != nil {
		w.fail("send after Finish")
	}
	for _, e := range w.excluded {
		if e.DataCentre == s.DataCentre {
			w.fail("send to excluded data centre %s", s.DataCentre)
		}
	}
	if !s.Deadline.Before(testStart.Add(testAnswerTime)) || !s.Deadline.After(w.now) {
		w.fail("attempt deadline %s at %s", s.Deadline, w.now)
	}
	w.live[s.Attempt] = s
	w.sent = append(w.sent, s)
	w.respond(s)
}

// respond schedules what the upstream does with an attempt.
func (w *world) respond(s *Send) {
	delay := time.Millisecond + w.millis(30)
	held := w.held()
	r := upstream.Reply{
		Attempt: s.Attempt, Service: s.Service, Snapshot: s.Snapshot, Held: held, Partition: s.Partition,
	}
	if s.Snapshot == 0 {
		r.Snapshot = held[1]
	} else if !slices.Contains(held, s.Snapshot) {
		w.failure(delay, s, Failure{Reason: ReasonSnapshot, Held: held})
		return
	}
	switch w.draw("outcome", 9+w.calm) {
	case 0:
		w.failure(delay, s, Failure{Reason: ReasonShed, Unsent: w.draw("unsent", 2) == 0})
	case 1:
		w.failure(delay, s, Failure{Reason: []Reason{ReasonBroken, ReasonOut, ReasonLeaving}[w.draw("reason", 3)]})
	case 2:
		w.failure(delay, s, Failure{Reason: ReasonMoved})
	case 3: // lost
	case 4: // crossed with another attempt
		r.Attempt = w.sent[w.draw("crossed", len(w.sent))].Attempt
		w.reply(delay, s, r)
	case 5: // another snapshot
		r.Snapshot += uint64(w.draw("other", 3))
		w.reply(delay, s, r)
	case 6: // covers less
		if half := s.Partition.Start + (s.Partition.End-s.Partition.Start)/2; half != s.Partition.Start {
			r.Partition.End = half
		}
		w.reply(delay, s, r)
	case 7: // covers more, as before a split
		r.Partition.End = 0
		w.reply(delay, s, r)
	case 8: // late and twice
		w.reply(delay, s, r)
		w.reply(delay+w.millis(150), s, r)
	default:
		w.reply(delay, s, r)
	}
}

func (w *world) failure(d time.Duration, s *Send, f Failure) {
	w.after(d, func() []Action { delete(w.live, s.Attempt); return w.m.Fail(w.now, s.Attempt, f) })
}

func (w *world) reply(d time.Duration, s *Send, r upstream.Reply) {
	r.Records, _ = json.Marshal(record{r.Snapshot, r.Attempt})
	w.after(d, func() []Action { delete(w.live, s.Attempt); return w.m.Reply(w.now, s.Attempt, r) })
}

// record is what the upstreams of the test answer.
type record struct {
	Snapshot uint64
	Attempt  string
}

// checkPart requires that a part has the snapshot of the answer and is the reply
// to an attempt at its replica.
func (w *world) checkPart(p Part, snapshot uint64) error {
	var r record
	if err := json.Unmarshal(p.Records, &r); err != nil || r.Snapshot != snapshot {
		return fmt.Errorf("part %s in an answer of snapshot %d", p.Records, snapshot)
	}
	if !slices.ContainsFunc(w.sent, func(s *Send) bool { return s.Attempt == r.Attempt && s.Replica == p.Replica }) {
		return fmt.Errorf("part %s of replica %s, which got no such attempt", p.Records, p.Replica)
	}
	return nil
}

// check returns the first violation of an invariant.
func (w *world) check() error {
	switch {
	case w.fault != nil:
		return w.fault
	case w.finish == nil:
		return fmt.Errorf("no Finish")
	case !w.finishAt.Before(testStart.Add(testAnswerTime)):
		return fmt.Errorf("finish at %s, after the deadline", w.finishAt.Sub(testStart))
	case len(w.live) > 0:
		return fmt.Errorf("%d attempts not cancelled", len(w.live))
	}
	extra := 0
	for _, s := range w.sent {
		if s.Hedge || s.Retry {
			extra++
		}
		if n := w.stats.InFlight(s.Replica); n != 0 {
			return fmt.Errorf("%d attempts counted in flight at %s", n, s.Replica)
		}
	}
	c := w.finish.Answer.Counts
	if limit := testBurst + testShare*float64(c.Primary); extra != c.Hedges+c.Retries || float64(extra) > limit {
		return fmt.Errorf("%d extra sends, counted %+v, limit %f", extra, c, limit)
	}
	if plain := c.Primary + c.Resent + c.Redirected; plain+extra != len(w.sent) {
		return fmt.Errorf("%d sends, counted %+v", len(w.sent), c)
	}
	return w.checkAnswer()
}

func (w *world) checkAnswer() error {
	a := w.finish.Answer
	if refused := a.Coverage.Cmp(w.m.minimum) < 0; refused != (w.finish.Refusal != nil) {
		return fmt.Errorf("coverage %s, refusal %v", a.Coverage, w.finish.Refusal)
	}
	merged := map[string][]upstream.HashRange{}
	for _, p := range a.Parts {
		if err := w.checkPart(p, a.Snapshot); err != nil {
			return err
		}
		merged[p.Group] = append(merged[p.Group], p.Partition)
	}
	mean := new(big.Rat)
	for _, g := range a.Groups {
		if w.finish.Refusal == nil {
			if share := upstream.CoveredFraction(upstream.HashRange{}, merged[g.Name]); share.Cmp(g.Coverage) != 0 {
				return fmt.Errorf("coverage %s stated for %s, measured %s", g.Coverage, g.Name, share)
			}
		}
		var missing []upstream.HashRange
		for _, r := range g.Missing {
			missing = append(missing, r.Partition)
		}
		share := upstream.CoveredFraction(upstream.HashRange{}, missing)
		if share.Add(share, g.Coverage).Cmp(big.NewRat(1, 1)) != 0 {
			return fmt.Errorf("covered and missing share of %s add up to %s", g.Name, share)
		}
		mean.Add(mean, g.Coverage)
	}
	if mean.Quo(mean, big.NewRat(int64(len(a.Groups)), 1)).Cmp(a.Coverage) != 0 {
		return fmt.Errorf("coverage %s stated, mean of groups %s", a.Coverage, mean)
	}
	return nil
}

// Guards against mixed snapshots, untrue coverage, a missing, second or late
// Finish, work that goes on after it, and extra sends beyond the budget. Each
// of the first two checks must find the fault when its rule is switched off.
func TestInvariants(t *testing.T) {
	t.Run("rules on", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld(fromRapid(t))
			w.run()
			if err := w.check(); err != nil {
				t.Fatal(err)
			}
		})
	})
	t.Run("snapshots mixed", func(t *testing.T) {
		expectFault(t, func(m *Machine) { m.ignoreSnapshot = true })
	})
	t.Run("overlaps merged", func(t *testing.T) {
		expectFault(t, func(m *Machine) { m.ignoreOverlap = true })
	})
}

// expectFault runs the same worlds with a rule switched off and requires that a
// check fails.
func expectFault(t *testing.T, off func(m *Machine)) {
	const runs = 2000
	for seed := range uint64(runs) {
		w := newWorld(fromSeed(seed))
		off(w.m)
		w.run()
		if err := w.check(); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no check failed in %d runs", runs)
}
