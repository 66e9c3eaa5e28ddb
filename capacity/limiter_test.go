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
		_ = f.Value.Set("20261204") // makes runs reproducible
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

// model drives one limiter with random events and tracks every ticket.
type model struct {
	t             *rapid.T
	limiter       *Limiter
	now           time.Time
	share         int
	draining      bool
	lastID        int
	queued        map[string]time.Time // deadlines
	inFlight      []string
	level         int
	levelStart    time.Time
	fullAtLevel   map[string]time.Time // levelStart for requests that took this owner's last slot
	servedAtLevel int                  // served requests that took the last slot at this level
	ceiling       int                  // level in the last notice from rank 0
}

// checkLevel fails the test if the level rises by more than one step, before the
// step time and enough served requests, or above the level in the notices of
// rank 0. A notice may raise it to the first slot of this owner.
func (m *model) checkLevel() {
	level := m.limiter.ramp.level
	if m.limiter.rank > 0 && level > m.ceiling {
		m.t.Fatalf("level %d exceeds that of rank 0, %d", level, m.ceiling)
	}
	stepEarned := m.servedAtLevel >= m.limiter.cfg.MinGoodReplies && m.now.Sub(m.levelStart) >= m.limiter.cfg.StepTime
	firstSlot := m.limiter.rank > 0 && level <= m.limiter.rank+1
	if level > m.level && !firstSlot && (!stepEarned || level > m.level+m.limiter.cfg.Step) {
		m.t.Fatalf("level raised from %d to %d after %s and %d replies",
			m.level, level, m.now.Sub(m.levelStart), m.servedAtLevel)
	}
	if level != m.level {
		m.level, m.levelStart, m.servedAtLevel = level, m.now, 0
	}
}

func (m *model) start(id string) {
	m.inFlight = append(m.inFlight, id)
	m.checkLevel()
	m.fullAtLevel[id] = time.Time{}
	if len(m.inFlight) >= m.limiter.portion() {
		m.fullAtLevel[id] = m.levelStart
	}
	if m.draining || len(m.inFlight) > m.share {
		m.t.Fatalf("start of %s with %d in flight, share %d, draining %t", id, len(m.inFlight), m.share, m.draining)
	}
	if level := m.limiter.Level(m.now).Level; level < m.limiter.cfg.Slots && len(m.inFlight) > Portion(level, m.limiter.rank, m.limiter.owners) {
		m.t.Fatalf("start of %s with %d in flight at level %d", id, len(m.inFlight), level)
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
	if len(m.queued) != m.limiter.QueueLength() || len(m.inFlight) != m.limiter.InFlight() {
		m.t.Fatalf("%d queued and %d in flight, limiter has %d and %d",
			len(m.queued), len(m.inFlight), m.limiter.QueueLength(), m.limiter.InFlight())
	}
}

func (m *model) leaveQueue(id string) {
	deadline, ok := m.queued[id]
	if !ok {
		m.t.Fatalf("%s was started or dropped but is not queued", id)
	}
	if !m.now.Before(deadline) {
		m.t.Fatalf("%s left the queue at or after its deadline", id)
	}
	delete(m.queued, id)
}

func (m *model) offer() {
	m.lastID++
	t := Ticket{ID: fmt.Sprint(m.lastID), Deadline: m.now.Add(m.millis("deadline", 200)), HandBack: m.lastID%2 == 0}
	switch m.limiter.Offer(m.now, t).Verdict {
	case Started:
		m.start(t.ID)
	case Queued:
		m.queued[t.ID] = t.Deadline
	}
	m.apply(Changes{})
}

func (m *model) done() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "which")
	id := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	o := Outcome{Result: Result(max(0, rapid.IntRange(-60, int(Declined)).Draw(m.t, "result")))}
	o.Incarnation = fmt.Sprint("i", max(0, rapid.IntRange(-40, 1).Draw(m.t, "incarnation")))
	if o.Result == Draining {
		o.Incarnation = "" // the limiter would ignore a late reply of a replaced incarnation
		m.draining = true
	}
	if o.Result == Served && m.fullAtLevel[id].Equal(m.levelStart) {
		m.servedAtLevel++
	}
	m.apply(m.limiter.Done(m.now, id, o))
}

func (m *model) millis(label string, n int) time.Duration {
	return time.Duration(rapid.IntRange(0, n).Draw(m.t, label)) * time.Millisecond
}

// advance moves the time forward and calls Tick whenever it is due.
func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		next, ok := m.limiter.Next()
		if !ok || next.After(end) {
			break
		}
		if next.Before(m.now) {
			m.t.Fatalf("next tick is %s in the past", m.now.Sub(next))
		}
		m.now = next
		before := m.limiter.QueueLength()
		c := m.limiter.Tick(m.now)
		m.apply(c)
		if before == m.limiter.QueueLength() {
			m.t.Fatalf("tick at %s started or dropped no ticket", m.now)
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
		m.apply(m.limiter.SetShare(m.now, m.share))
	case 10:
		m.draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		m.apply(m.limiter.SetDraining(m.now, m.draining))
	case 11:
		n := Notice{Incarnation: "i0", Level: rapid.IntRange(1, 4).Draw(t, "level")}
		if !m.limiter.isReplaced(n.Incarnation) {
			m.ceiling = n.Level
		}
		m.apply(m.limiter.Notice(m.now, n))
	case 12:
		load := upstream.Load{Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Cold: rapid.Bool().Draw(t, "cold")}
		m.apply(m.limiter.Report(m.now, "", load))
	case 13:
		if m.limiter.queue.len() > 0 {
			id := m.limiter.queue.tickets[0].ID
			m.limiter.Cancel(id)
			delete(m.queued, id)
		}
	default:
		m.advance(m.millis("advance", 60))
	}
}

// Guards against more requests in flight than the share or the ramp level allows,
// queued tickets that are lost, resolved twice or kept until their deadline, and
// ticks that change nothing.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, err := New(testConfig(4))
		if err != nil {
			t.Fatal(err)
		}
		m := &model{t: t, limiter: limiter, now: testStart, level: 1, levelStart: testStart, ceiling: 1}
		m.queued, m.fullAtLevel = map[string]time.Time{}, map[string]time.Time{}
		m.share = rapid.IntRange(0, 4).Draw(t, "share")
		limiter.SetShare(m.now, m.share)
		limiter.SetRank(m.now, rapid.IntRange(0, 1).Draw(t, "rank"), 2)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.step(t)
		}
		m.advance(time.Minute)
		if len(m.queued) != 0 {
			t.Fatalf("%d tickets left in the queue", len(m.queued))
		}
	})
}

// Guards against portions that do not add up to the level, or that exceed the
// owner's portion of all slots.
func TestPortionsAddUpToLevel(t *testing.T) {
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
