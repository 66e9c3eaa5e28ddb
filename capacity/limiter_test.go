package capacity

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/upstream"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204") // the same verdict on every run
		_ = flag.Set("rapid.checks", "600")
	}
	os.Exit(m.Run())
}

var testStart = time.Unix(1000, 0)

func testConfig(slots int) Config {
	c := DefaultConfig(slots)
	c.StepTime = 50 * time.Millisecond
	c.QueueLength = 5
	c.SilenceLimit = time.Second
	return c
}

// model drives one limiter with random events and follows every ticket.
type model struct {
	t        *rapid.T
	l        *Limiter
	now      time.Time
	share    int
	draining bool
	next     int
	queued   map[string]time.Time // deadlines
	flying   []string
	level    int
	levelAt  time.Time
	full     map[string]time.Time // levelAt of requests that got the last slot of this owner
	served   int                  // requests that got the last slot at this level
	ceiling  int                  // of the last notice of rank 0
}

// checkLevel requires that the level rises by one step, after the step time and
// enough served requests, and not above the notices of rank 0. A notice may
// raise it to the first slot of this owner.
func (m *model) checkLevel() {
	level := m.l.ramp.level
	if m.l.rank > 0 && level > m.ceiling {
		m.t.Fatalf("level %d above that of rank 0, %d", level, m.ceiling)
	}
	shown := m.served >= m.l.cfg.MinGoodReplies && m.now.Sub(m.levelAt) >= m.l.cfg.StepTime
	first := m.l.rank > 0 && level <= m.l.rank+1
	if level > m.level && !first && (!shown || level > m.level+m.l.cfg.Step) {
		m.t.Fatalf("level raised from %d to %d after %s and %d replies",
			m.level, level, m.now.Sub(m.levelAt), m.served)
	}
	if level != m.level {
		m.level, m.levelAt, m.served = level, m.now, 0
	}
}

func (m *model) start(id string) {
	m.flying = append(m.flying, id)
	m.checkLevel()
	m.full[id] = time.Time{}
	if len(m.flying) >= m.l.portion() {
		m.full[id] = m.levelAt
	}
	if m.draining || len(m.flying) > m.share {
		m.t.Fatalf("start of %s with %d in flight, share %d, draining %t", id, len(m.flying), m.share, m.draining)
	}
	if level := m.l.Level(m.now).Level; level < m.l.cfg.Slots && len(m.flying) > Portion(level, m.l.rank, m.l.owners) {
		m.t.Fatalf("start of %s with %d in flight at level %d", id, len(m.flying), level)
	}
}

func (m *model) apply(c Changes) {
	m.checkLevel()
	for _, e := range c.Dropped {
		m.leaveQueue(e.ID)
	}
	for _, s := range c.Starts {
		m.leaveQueue(s.ID)
		m.start(s.ID)
	}
	if len(m.queued) != m.l.QueueLength() || len(m.flying) != m.l.InFlight() {
		m.t.Fatalf("%d queued and %d in flight, limiter has %d and %d",
			len(m.queued), len(m.flying), m.l.QueueLength(), m.l.InFlight())
	}
}

func (m *model) leaveQueue(id string) {
	deadline, ok := m.queued[id]
	if !ok {
		m.t.Fatalf("%s left the queue but was not in it", id)
	}
	if !m.now.Before(deadline) {
		m.t.Fatalf("%s left the queue at its deadline", id)
	}
	delete(m.queued, id)
}

func (m *model) offer() {
	m.next++
	t := Ticket{ID: fmt.Sprint(m.next), Deadline: m.now.Add(m.millis("deadline", 200)), HandBack: m.next%2 == 0}
	switch m.l.Offer(m.now, t).Verdict {
	case Started:
		m.start(t.ID)
	case Queued:
		m.queued[t.ID] = t.Deadline
	}
	m.apply(Changes{})
}

func (m *model) done() {
	if len(m.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(m.t, "which")
	id := m.flying[i]
	m.flying = append(m.flying[:i], m.flying[i+1:]...)
	o := Outcome{Result: Result(max(0, rapid.IntRange(-60, int(Declined)).Draw(m.t, "result")))}
	o.Incarnation = fmt.Sprint("i", max(0, rapid.IntRange(-40, 1).Draw(m.t, "incarnation")))
	if o.Result == Draining {
		o.Incarnation = "" // a late reply of a replaced one would be ignored
		m.draining = true
	}
	if o.Result == Served && m.full[id].Equal(m.levelAt) {
		m.served++
	}
	m.apply(m.l.Done(m.now, id, o))
}

func (m *model) millis(label string, n int) time.Duration {
	return time.Duration(rapid.IntRange(0, n).Draw(m.t, label)) * time.Millisecond
}

// advance moves to a later time and calls Tick whenever it is due.
func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		next, ok := m.l.Next()
		if !ok || next.After(end) {
			break
		}
		if next.Before(m.now) {
			m.t.Fatalf("next tick %s in the past", m.now.Sub(next))
		}
		m.now = next
		before := m.l.QueueLength()
		c := m.l.Tick(m.now)
		m.apply(c)
		if before == m.l.QueueLength() {
			m.t.Fatalf("tick at %s changed nothing", m.now)
		}
	}
	m.now = end
}

func (m *model) step(t *rapid.T) {
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		m.offer()
	case 5, 6, 7, 8:
		m.done()
	case 9:
		m.share = rapid.IntRange(0, 4).Draw(t, "share")
		m.apply(m.l.SetShare(m.now, m.share))
	case 10:
		m.draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		m.apply(m.l.SetDraining(m.now, m.draining))
	case 11:
		n := Notice{Incarnation: "i0", Level: rapid.IntRange(1, 4).Draw(t, "level")}
		if !m.l.replaced(n.Incarnation) {
			m.ceiling = n.Level
		}
		m.apply(m.l.Notice(m.now, n))
	case 12:
		load := upstream.Load{Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Cold: rapid.Bool().Draw(t, "cold")}
		m.apply(m.l.Report(m.now, "", load))
	case 13:
		if m.l.queue.len() > 0 {
			id := m.l.queue.tickets[0].ID
			m.l.Cancel(id)
			delete(m.queued, id)
		}
	default:
		m.advance(m.millis("advance", 60))
	}
}

// Guards against a share or ramp level that is exceeded, a queued ticket that
// is lost, answered twice or kept until its deadline, and timers that do
// nothing.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(testConfig(4))
		if err != nil {
			t.Fatal(err)
		}
		m := &model{t: t, l: l, now: testStart, level: 1, levelAt: testStart, ceiling: 1}
		m.queued, m.full = map[string]time.Time{}, map[string]time.Time{}
		m.share = rapid.IntRange(0, 4).Draw(t, "share")
		l.SetShare(m.now, m.share)
		l.SetRank(m.now, rapid.IntRange(0, 1).Draw(t, "rank"), 2)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.step(t)
		}
		m.advance(time.Minute)
		if len(m.queued) != 0 {
			t.Fatalf("%d tickets left in the queue", len(m.queued))
		}
	})
}

// Guards against portions that add up to more than the level or exceed the
// owner's part of all slots.
func TestPortionsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		level := rapid.IntRange(0, slots).Draw(t, "level")
		owners := rapid.IntRange(1, 5).Draw(t, "owners")
		sum := 0
		for rank := range owners {
			p := Portion(level, rank, owners)
			if p > Portion(slots, rank, owners) {
				t.Fatalf("portion %d of level %d exceeds that of %d slots", p, level, slots)
			}
			sum += p
		}
		if sum != level {
			t.Fatalf("portions of level %d add up to %d", level, sum)
		}
	})
}
