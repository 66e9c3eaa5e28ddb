package once_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/platform"
)

// Fixes the random choices of rapid; a flag on the command line still wins.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// rig drives one machine by hand and checks what holds at every step.
type rig struct {
	t          *rapid.T
	cfg        once.Config
	m          *once.Machine
	now        time.Time
	calls      map[int]once.Action // read or update on its way, by journal
	store      map[int]platform.Object
	dispatches []string
	dispatched map[string]bool
	open       map[string]time.Time // deadlines of submissions without an answer
}

func newRig(t *rapid.T) *rig {
	cfg := once.DefaultConfig()
	cfg.Journals = 2
	cfg.MaxBatch = rapid.IntRange(1, 5).Draw(t, "batch")
	cfg.MaxPending = 12
	cfg.MaxTries = rapid.IntRange(1, 4).Draw(t, "tries")
	cfg.MaxJournalBytes = rapid.IntRange(300, 3000).Draw(t, "bytes")
	cfg.ClaimReserve = 150
	m, err := once.New(cfg, "host/1", rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return &rig{
		t: t, cfg: cfg, m: m, now: epoch, calls: map[int]once.Action{}, store: map[int]platform.Object{},
		dispatched: map[string]bool{}, open: map[string]time.Time{},
	}
}

func (r *rig) take(acts []once.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case once.Read:
			r.call(a.Journal, a)
		case once.Write:
			r.call(a.Journal, a)
			if len(a.Value) > r.cfg.MaxJournalBytes {
				r.t.Fatalf("journal of %d bytes, limit %d", len(a.Value), r.cfg.MaxJournalBytes)
			}
		case once.Dispatch:
			r.checkDispatch(a)
		case once.Answer:
			deadline, ok := r.open[a.Submission.ID]
			if !ok || r.now.After(deadline) {
				r.t.Fatalf("submission %s answered twice or after its deadline", a.Submission.ID)
			}
			delete(r.open, a.Submission.ID)
		}
	}
}

func (r *rig) call(journal int, a once.Action) {
	if r.calls[journal] != nil {
		r.t.Fatalf("second call for journal %d while one is on its way", journal)
	}
	r.calls[journal] = a
}

func (r *rig) checkDispatch(a once.Dispatch) {
	entries, err := once.DecodeJournal(r.store[once.JournalOf(a.Submission.Key, 2)].Value)
	if err != nil {
		r.t.Fatal(err)
	}
	claimed := false
	for _, e := range entries {
		claimed = claimed || e.Attempt == a.Attempt && e.State == once.StateClaimed
	}
	if !claimed || r.dispatched[a.Attempt] {
		r.t.Fatalf("attempt %s dispatched without a record or twice", a.Attempt)
	}
	r.dispatched[a.Attempt] = true
	r.dispatches = append(r.dispatches, a.Attempt)
}

// finish ends the call of a journal: 0 succeeds, 1 fails surely, 2 loses the
// answer of an update that took effect, 3 loses an update, 4 reads damaged data
// or finds the value too large.
func (r *rig) finish(journal, fate int) {
	a := r.calls[journal]
	delete(r.calls, journal)
	switch a := a.(type) {
	case once.Read:
		if fate == 4 {
			r.take(r.m.ReadDone(r.now, journal, platform.Object{Version: 1 << 20, Value: []byte("x")}, nil))
			return
		}
		if fate != 0 {
			r.take(r.m.ReadDone(r.now, journal, platform.Object{}, platform.ErrUnavailable))
			return
		}
		r.take(r.m.ReadDone(r.now, journal, r.store[journal], nil))
	case once.Write:
		o, err := r.store[journal], error(nil)
		switch {
		case fate == 1:
			err = platform.ErrBudget
		case fate == 4:
			err = platform.ErrTooLarge
		case fate == 3:
			err = platform.ErrUnknownOutcome
		case o.Version != a.Base:
			err = platform.ErrConflict
		default:
			o = platform.Object{Version: a.Base + 1, Value: a.Value}
			r.store[journal] = o
		}
		if fate == 2 {
			err = platform.ErrUnknownOutcome
		}
		r.take(r.m.WriteDone(r.now, journal, o, err))
	}
}

func (r *rig) submit(i int) {
	age := rapid.SampledFrom([]time.Duration{0, time.Second, 119 * time.Second, 121 * time.Second}).Draw(r.t, "age")
	life := time.Duration(rapid.IntRange(-1, 2000).Draw(r.t, "life")) * time.Millisecond
	s := once.Submission{
		ID:       fmt.Sprint("s", i),
		Key:      once.NewKey(epoch.Add(-age), fmt.Sprintf("key0000%d", rapid.IntRange(0, 5).Draw(r.t, "key"))),
		Number:   uint32(rapid.IntRange(0, 3).Draw(r.t, "number")),
		Body:     []byte(rapid.SampledFrom([]string{"1", "1", "2"}).Draw(r.t, "body")),
		Deadline: r.now.Add(life),
	}
	r.open[s.ID] = r.now.Add(max(life, 0))
	if rapid.IntRange(0, 3).Draw(r.t, "refuse") == 0 {
		r.take(r.m.Refuse(r.now, s))
		return
	}
	r.take(r.m.Submit(r.now, s))
}

// pass moves the time on, through every Tick that is due on the way.
func (r *rig) pass(d time.Duration) {
	const mostTicks = 2000
	until := r.now.Add(d)
	for range mostTicks {
		at, ok := r.m.Next()
		if !ok || at.After(until) {
			r.now = until
			return
		}
		if at.After(r.now) {
			r.now = at
		}
		r.take(r.m.Tick(r.now))
	}
	r.t.Fatalf("%d ticks in %s", mostTicks, d)
}

func (r *rig) endDispatch(kind once.DispatchKind) {
	if len(r.dispatches) == 0 {
		return
	}
	attempt := r.dispatches[0]
	r.dispatches = r.dispatches[1:]
	body := []byte(rapid.SampledFrom([]string{"1", `"a result that is kept"`, "not json", ""}).Draw(r.t, "result"))
	r.take(r.m.DispatchDone(r.now, attempt, once.DispatchResult{Kind: kind, Body: body}))
}

// Guards against lost and double answers, answers after the deadline, dispatch
// without a record, a journal above its limit, a busy loop and leaked state.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			journal := rapid.IntRange(0, 1).Draw(t, "journal")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.submit(i)
			case 2, 3:
				r.finish(journal, rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4}).Draw(t, "fate"))
			case 4:
				r.endDispatch(once.DispatchKind(rapid.IntRange(0, 2).Draw(t, "kind")))
			case 5:
				r.pass(time.Duration(rapid.IntRange(0, 1000).Draw(t, "milliseconds")) * time.Millisecond)
			case 6: // another host updates the journal
				o := r.store[journal]
				r.store[journal] = platform.Object{Version: o.Version + 1, Value: o.Value}
			}
		}
		for range 200 {
			r.finish(0, 0)
			r.finish(1, 0)
			r.endDispatch(once.DispatchRan)
			r.pass(100 * time.Millisecond)
		}
		if at, ok := r.m.Next(); ok || r.m.InFlight() != 0 || len(r.open) != 0 {
			t.Fatalf("%d in flight, open %v, next %v", r.m.InFlight(), r.open, at)
		}
	})
}

// Guards against a host that starts with settings it can't keep to.
func TestNewRefusesSettings(t *testing.T) {
	for i, change := range []func(*once.Config){
		func(c *once.Config) { c.Journals = 0 },
		func(c *once.Config) { c.MaxAge = 0 },
		func(c *once.Config) { c.MaxBatch = 0 },
		func(c *once.Config) { c.MaxBackoff = 0 },
		func(c *once.Config) { c.MaxJournalBytes = platform.MaxValueBytes + 1 },
		func(c *once.Config) { c.ClaimReserve = c.MaxJournalBytes },
	} {
		cfg := once.DefaultConfig()
		change(&cfg)
		if _, err := once.New(cfg, "host/1", nil); err == nil {
			t.Errorf("change %d accepted", i)
		}
	}
}

// Guards against a key that is parsed in two ways or that breaks the encoding.
func TestParseKey(t *testing.T) {
	good := "1764831527000-k3v9x0qd"
	if k, err := once.ParseKey(good); err != nil || k.Time.UnixMilli() != 1764831527000 {
		t.Errorf("%s: %v, %v", good, k, err)
	}
	for _, bad := range []string{"", "1764831527000", "1764831527000-short", "01-k3v9x0qd", "+1-k3v9x0qd",
		"x-k3v9x0qd", "1-k3v9x0q\n", "-1-k3v9x0qd", "1-" + strings.Repeat("a", once.MaxKeyBytes)} {
		if _, err := once.ParseKey(bad); !errors.Is(err, once.ErrKey) {
			t.Errorf("%q: %v, want ErrKey", bad, err)
		}
	}
}

// Guards against a damaged or foreign journal being taken for an empty one.
func TestDecodeJournalRefusesDamage(t *testing.T) {
	line := `{"k":"1764831527000-k3v9x0qd","s":"c","a":"x"}` + "\n"
	for _, bad := range []string{"x", `{"v":2}` + "\n", "{\"v\":1}\n{", "{\"v\":1}\n{\"k\":\"1\"}\n",
		"{\"v\":1}\n" + line + line} {
		if _, err := once.DecodeJournal([]byte(bad)); !errors.Is(err, once.ErrJournal) {
			t.Errorf("%q: %v, want ErrJournal", bad, err)
		}
	}
	got, err := once.DecodeJournal([]byte("{\"v\":1}\n" + line))
	want := []once.Entry{{Key: "1764831527000-k3v9x0qd", State: once.StateClaimed, Attempt: "x"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v", got, err)
	}
}

// Guards against a writer choice that moves journals between hosts that stay.
func TestWriterMovesOnlyJournalsOfLeavingHost(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for journal := range 64 {
		before, after := once.Writer(journal, hosts), once.Writer(journal, hosts[1:])
		if before != "a" && before != after {
			t.Errorf("journal %d moved from %s to %s", journal, before, after)
		}
	}
	if w := once.Writer(0, nil); w != "" {
		t.Errorf("writer %q without hosts", w)
	}
}
