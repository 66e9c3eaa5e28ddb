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
		_ = f.Value.Set("20261204") // a fixed seed makes the runs reproducible
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

// drawFunc draws a number from 0 to n-1. The label names it in rapid's reports.
type drawFunc func(label string, n int) int

func fromRapid(t *rapid.T) drawFunc {
	return func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
}

func fromSeed(seed uint64) drawFunc {
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(_ string, n int) int { return rng.IntN(n) }
}

const (
	testAnswerTime  = 100 * time.Millisecond
	testBudgetShare = 0.1
	testBudgetBurst = 3
	testMaxServices = 6
)

var testStart = time.Unix(1000, 0)

// simulation runs one machine against random upstreams in virtual time and records
// its actions.
type simulation struct {
	draw                 drawFunc
	m                    *Machine
	stats                *Stats
	now                  time.Time
	events               []event
	inFlightSends        map[string]*Send
	sent                 []*Send
	excluded             []Exclusion
	finish               *Finish
	finishAt             time.Time
	violation            error
	newestSnapshot       uint64
	staleReplicaInterval int // one held list in this many lacks the newest snapshot
	goodReplyWeight      int // weight of a correct reply among the nine faults
}

type event struct {
	at  time.Time
	run func() []Action
}

func newSimulation(draw drawFunc) *simulation {
	sim := &simulation{draw: draw, stats: NewStats(), now: testStart, inFlightSends: map[string]*Send{}, newestSnapshot: 7}
	sim.staleReplicaInterval = []int{2, 20, 1000}[draw("stale replica interval", 3)]
	sim.goodReplyWeight = []int{5, 50, 500}[draw("good reply weight", 3)]
	plan := Plan{
		ID: "q", AnswerTime: testAnswerTime, LatencyGoal: 40 * time.Millisecond, Prefer: PreferCoverage,
		MinimumCoverage: big.NewRat(int64(draw("minimum", 5)), 4),
	}
	if draw("prefer", 2) == 0 {
		plan.Prefer = PreferLatency
	}
	for g := range 1 + draw("groups", 2) {
		plan.Groups = append(plan.Groups, sim.group(fmt.Sprint("g", g), 0))
	}
	sim.m = New(plan, sim.stats, NewRatioBudget(testBudgetShare, testBudgetBurst), rand.New(rand.NewPCG(1, 2)))
	return sim
}

// group returns a group with a random number of services and replicas. The
// generation keeps the replica names of repartitions distinct.
func (sim *simulation) group(name string, generation int) Group {
	out := Group{Name: name}
	n := 1 + sim.draw("services", testMaxServices)
	for i, r := range upstream.Split(n) {
		s := Service{Name: fmt.Sprintf("%s-%d-%d", name, i, n), Partition: r}
		for j := range 1 + sim.draw("replicas", 3) {
			id := fmt.Sprintf("%s-r%d-%d", s.Name, generation, j)
			rep := Replica{ID: id, DataCentre: fmt.Sprint("dc", j%2)}
			if sim.draw("known", 2) == 0 {
				rep.Held = sim.held()
			}
			s.Replicas = append(s.Replicas, rep)
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// held returns the snapshots that a replica holds: the newest one and its
// predecessor, or sometimes older ones.
func (sim *simulation) held() []uint64 {
	v := sim.newestSnapshot
	if sim.draw("held", sim.staleReplicaInterval) == 0 {
		v--
	}
	return []uint64{v - 1, v}
}

// schedule adds an event after a delay.
func (sim *simulation) schedule(d time.Duration, run func() []Action) {
	sim.events = append(sim.events, event{sim.now.Add(d), run})
}

func (sim *simulation) millis(n int) time.Duration {
	return time.Duration(sim.draw("ms", n)) * time.Millisecond
}

// run simulates the query until it has finished and all late replies have arrived.
func (sim *simulation) run() {
	for range sim.draw("exclusions", 3) {
		e := Exclusion{DataCentre: fmt.Sprint("dc", sim.draw("dc", 2)), Reason: ReasonOut}
		sim.schedule(sim.millis(60), func() []Action {
			sim.excluded = append(sim.excluded, e)
			return sim.m.Exclude(sim.now, e)
		})
	}
	for i := range sim.draw("repartitions", 3) {
		sim.schedule(sim.millis(60), func() []Action { return sim.m.Repartition(sim.now, []Group{sim.group("g0", i+1)}) })
	}
	for range sim.draw("new snapshots", 3) {
		sim.schedule(sim.millis(60), func() []Action { sim.newestSnapshot++; return nil })
	}
	sim.apply(sim.m.Start(sim.now))
	for steps := 0; sim.step(); steps++ {
		if steps > 5000 {
			sim.fail("query not finished after %d steps", steps)
			return
		}
	}
}

// step runs the next event or timer. It reports false if there is none.
func (sim *simulation) step() bool {
	slices.SortStableFunc(sim.events, func(a, b event) int { return a.at.Compare(b.at) })
	next, ok := sim.m.Next()
	if ok && (len(sim.events) == 0 || !sim.events[0].at.Before(next)) {
		sim.now = next
		sim.apply(sim.m.Tick(sim.now))
		return true
	}
	if len(sim.events) == 0 {
		return false
	}
	e := sim.events[0]
	sim.events = sim.events[1:]
	sim.now = e.at
	sim.apply(e.run())
	return true
}

// fail records the first violation.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) apply(actions []Action) {
	if sim.finish != nil && len(actions) > 0 {
		sim.fail("%d actions after Finish", len(actions))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			sim.send(a)
		case *Cancel:
			if sim.inFlightSends[a.Attempt] == nil {
				sim.fail("Cancel of %s, which is not in flight", a.Attempt)
			}
			delete(sim.inFlightSends, a.Attempt)
		case *Finish:
			if sim.finish != nil {
				sim.fail("second Finish")
			}
			sim.finish, sim.finishAt = a, sim.now
		}
	}
}

func (sim *simulation) send(s *Send) {
	if sim.finish != nil {
		sim.fail("send after Finish")
	}
	for _, e := range sim.excluded {
		if e.DataCentre == s.DataCentre {
			sim.fail("send to excluded data centre %s", s.DataCentre)
		}
	}
	if !s.Deadline.Before(testStart.Add(testAnswerTime)) || !s.Deadline.After(sim.now) {
		sim.fail("attempt deadline is %s at %s", s.Deadline, sim.now)
	}
	sim.inFlightSends[s.Attempt] = s
	sim.sent = append(sim.sent, s)
	sim.respond(s)
}

// respond schedules a random outcome of an attempt.
func (sim *simulation) respond(s *Send) {
	delay := time.Millisecond + sim.millis(30)
	held := sim.held()
	r := upstream.Reply{
		Attempt: s.Attempt, Service: s.Service, Snapshot: s.Snapshot, Held: held, Partition: s.Partition,
	}
	if s.Snapshot == 0 {
		r.Snapshot = held[1]
	} else if !slices.Contains(held, s.Snapshot) {
		sim.scheduleFailure(delay, s, Failure{Reason: ReasonSnapshot, Held: held})
		return
	}
	switch sim.draw("outcome", 9+sim.goodReplyWeight) {
	case 0:
		sim.scheduleFailure(delay, s, Failure{Reason: ReasonShed, Unsent: sim.draw("unsent", 2) == 0})
	case 1:
		sim.scheduleFailure(delay, s, Failure{Reason: []Reason{ReasonBroken, ReasonOut, ReasonLeaving}[sim.draw("reason", 3)]})
	case 2:
		sim.scheduleFailure(delay, s, Failure{Reason: ReasonMoved})
	case 3: // no reply
	case 4: // reply to another attempt
		r.Attempt = sim.sent[sim.draw("crossed", len(sim.sent))].Attempt
		sim.scheduleReply(delay, s, r)
	case 5: // another snapshot
		r.Snapshot += uint64(sim.draw("other", 3))
		sim.scheduleReply(delay, s, r)
	case 6: // covers only a part of the range
		if half := s.Partition.Start + (s.Partition.End-s.Partition.Start)/2; half != s.Partition.Start {
			r.Partition.End = half
		}
		sim.scheduleReply(delay, s, r)
	case 7: // covers more than the range, like a replica before a split
		r.Partition.End = 0
		sim.scheduleReply(delay, s, r)
	case 8: // duplicate late reply
		sim.scheduleReply(delay, s, r)
		sim.scheduleReply(delay+sim.millis(150), s, r)
	default:
		sim.scheduleReply(delay, s, r)
	}
}

func (sim *simulation) scheduleFailure(d time.Duration, s *Send, f Failure) {
	sim.schedule(d, func() []Action { delete(sim.inFlightSends, s.Attempt); return sim.m.Fail(sim.now, s.Attempt, f) })
}

func (sim *simulation) scheduleReply(d time.Duration, s *Send, r upstream.Reply) {
	r.Records, _ = json.Marshal(record{r.Snapshot, r.Attempt})
	sim.schedule(d, func() []Action { delete(sim.inFlightSends, s.Attempt); return sim.m.Reply(sim.now, s.Attempt, r) })
}

// record is the content of the simulated replies.
type record struct {
	Snapshot uint64
	Attempt  string
}

// checkPart checks that a part has the snapshot of the answer and replies to an
// attempt at its replica.
func (sim *simulation) checkPart(p Part, snapshot uint64) error {
	var r record
	if err := json.Unmarshal(p.Records, &r); err != nil || r.Snapshot != snapshot {
		return fmt.Errorf("part %s in an answer for snapshot %d", p.Records, snapshot)
	}
	if !slices.ContainsFunc(sim.sent, func(s *Send) bool { return s.Attempt == r.Attempt && s.Replica == p.Replica }) {
		return fmt.Errorf("part %s from replica %s, to which the attempt was not sent", p.Records, p.Replica)
	}
	return nil
}

// check returns the first violation of an invariant, or nil.
func (sim *simulation) check() error {
	switch {
	case sim.violation != nil:
		return sim.violation
	case sim.finish == nil:
		return fmt.Errorf("no Finish")
	case !sim.finishAt.Before(testStart.Add(testAnswerTime)):
		return fmt.Errorf("finish at %s, after the deadline", sim.finishAt.Sub(testStart))
	case len(sim.inFlightSends) > 0:
		return fmt.Errorf("%d attempts not cancelled", len(sim.inFlightSends))
	}
	extra := 0
	for _, s := range sim.sent {
		if s.Hedge || s.Retry {
			extra++
		}
		if n := sim.stats.InFlight(s.Replica); n != 0 {
			return fmt.Errorf("%d attempts counted in flight at %s", n, s.Replica)
		}
	}
	c := sim.finish.Answer.Counts
	if limit := testBudgetBurst + testBudgetShare*float64(c.Primary); extra != c.Hedges+c.Retries || float64(extra) > limit {
		return fmt.Errorf("%d extra sends, counts %+v, limit %f", extra, c, limit)
	}
	if plain := c.Primary + c.Resent + c.Redirected; plain+extra != len(sim.sent) {
		return fmt.Errorf("%d sends, counts %+v", len(sim.sent), c)
	}
	return sim.checkAnswer()
}

func (sim *simulation) checkAnswer() error {
	a := sim.finish.Answer
	if refused := a.Coverage.Cmp(sim.m.minimum) < 0; refused != (sim.finish.Refusal != nil) {
		return fmt.Errorf("coverage %s, refusal %v", a.Coverage, sim.finish.Refusal)
	}
	merged := map[string][]upstream.HashRange{}
	for _, p := range a.Parts {
		if err := sim.checkPart(p, a.Snapshot); err != nil {
			return err
		}
		merged[p.Group] = append(merged[p.Group], p.Partition)
	}
	mean := new(big.Rat)
	for _, g := range a.Groups {
		if sim.finish.Refusal == nil {
			if share := upstream.CoveredFraction(upstream.HashRange{}, merged[g.Name]); share.Cmp(g.Coverage) != 0 {
				return fmt.Errorf("coverage %s reported for %s, parts cover %s", g.Coverage, g.Name, share)
			}
		}
		var missing []upstream.HashRange
		for _, r := range g.Missing {
			missing = append(missing, r.Partition)
		}
		share := upstream.CoveredFraction(upstream.HashRange{}, missing)
		if share.Add(share, g.Coverage).Cmp(big.NewRat(1, 1)) != 0 {
			return fmt.Errorf("covered and missing shares of %s add up to %s, want 1", g.Name, share)
		}
		mean.Add(mean, g.Coverage)
	}
	if mean.Quo(mean, big.NewRat(int64(len(a.Groups)), 1)).Cmp(a.Coverage) != 0 {
		return fmt.Errorf("coverage is reported as %s, mean of the groups is %s", a.Coverage, mean)
	}
	return nil
}

// Guards against mixed snapshots, wrong coverage, a missing, second or late Finish,
// attempts that continue after it, and extra sends beyond the budget. With the
// snapshot or the overlap check of the machine disabled, the test must find a
// violation.
func TestInvariants(t *testing.T) {
	t.Run("rules on", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			sim := newSimulation(fromRapid(t))
			sim.run()
			if err := sim.check(); err != nil {
				t.Fatal(err)
			}
		})
	})
	t.Run("snapshots mixed", func(t *testing.T) {
		expectViolation(t, func(m *Machine) { m.skipSnapshotCheck = true })
	})
	t.Run("overlaps merged", func(t *testing.T) {
		expectViolation(t, func(m *Machine) { m.skipOverlapCheck = true })
	})
}

// expectViolation runs simulations with a check of the machine disabled, until one
// of them violates an invariant. It fails the test if none does.
func expectViolation(t *testing.T, disableRule func(m *Machine)) {
	const runs = 2000
	for seed := range uint64(runs) {
		sim := newSimulation(fromSeed(seed))
		disableRule(sim.m)
		sim.run()
		if err := sim.check(); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no invariant was violated in %d runs", runs)
}
