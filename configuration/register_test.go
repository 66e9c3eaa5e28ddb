package configuration

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/platform"
)

// variant switches one mechanism off, to show that the model check needs it.
type variant int

const (
	complete          variant = iota
	noReadBack                // a lost answer counts as a write without effect
	noIDLookUp                // the history that an editor reads back is empty
	noUncertainty             // a lost write that may still land counts as refused
	unconditionalPuts         // the store ignores the base version of a write
)

// registerInput is a patch with an id and a base, or a read if id is empty.
type registerInput struct {
	id   string
	base uint64
}

// registerOutput is the number (after the patch, or read, or current for a
// stale base), the last id for a read, and the kind of the refusal.
type registerOutput struct {
	number uint64
	lastID string
	err    error
}

// registerModel is the configuration register. Its state holds the accepted
// patch ids in order, so that the number is their count.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{[]string{}} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.([]string), input.(registerInput), output.(registerOutput))
		},
		Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	}
	return model.ToModel()
}

// stepRegister returns the states that an operation may lead to.
func stepRegister(ids []string, in registerInput, out registerOutput) []any {
	number := uint64(len(ids))
	same := []any{ids}
	if in.id == "" {
		last := ""
		if number > 0 {
			last = ids[number-1]
		}
		return when(out.number == number && out.lastID == last, same)
	}
	position := uint64(slices.Index(ids, in.id) + 1) // 0 if not accepted
	appended := append(slices.Clone(ids), in.id)
	fits := position == 0 && in.base == number
	switch {
	case out.err == nil && position > 0:
		return when(out.number == position, same)
	case out.err == nil:
		return when(fits && out.number == number+1, []any{appended})
	case errors.Is(out.err, ErrStale):
		return when(position == 0 && out.number == number && in.base != number, same)
	case errors.Is(out.err, ErrUnknownOutcome) && fits:
		return append(same, appended)
	}
	return when(errors.IsAny(out.err, ErrUnknownOutcome, ErrUnavailable), same)
}

// when returns states if the condition holds.
func when(condition bool, states []any) []any {
	if condition {
		return states
	}
	return nil
}

// simulation runs editors and callers against a faulty store in virtual time.
type simulation struct {
	variant variant
	rng     *rand.Rand
	now     time.Time
	events  []event
	order   int
	stored  platform.Object
	editors []*Editor
	open    map[string]*porcupine.Operation // by token
	then    map[string]func(registerOutput)
	history []porcupine.Operation
	ids     int
}

// event is a function that runs at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// schedule adds an event. Events of one time run in the order they were added.
func (s *simulation) schedule(at time.Time, run func()) {
	s.order++
	s.events = append(s.events, event{at, s.order, run})
}

// run handles all events in order of time.
func (s *simulation) run() {
	for len(s.events) > 0 {
		first := slices.MinFunc(s.events, func(a, b event) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
		})
		s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.order == first.order })
		s.now = first.at
		first.run()
	}
}

// after runs a function after a random time of up to the given one.
func (s *simulation) after(longest time.Duration, run func()) {
	s.schedule(s.now.Add(time.Duration(s.rng.Int64N(int64(longest)))+1), run)
}

// get reads the store after a while; some calls fail.
func (s *simulation) get(done func(platform.Object, error)) {
	s.after(5*time.Millisecond, func() {
		object, err := s.stored, error(nil)
		if s.rng.IntN(10) == 0 {
			object, err = platform.Object{}, platform.ErrUnavailable
		} else if object.Version == 0 {
			err = platform.ErrNotFound
		}
		s.after(5*time.Millisecond, func() { done(object, err) })
	})
}

// put writes the store after a while. Some calls fail, some answers are lost
// before, after or long before the write takes effect.
func (s *simulation) put(base uint64, value []byte, done func(platform.Object, error)) {
	apply := func() (platform.Object, error) {
		if s.stored.Version != base && s.variant != unconditionalPuts {
			return platform.Object{}, platform.ErrConflict
		}
		s.stored = platform.Object{Name: ObjectName, Version: s.stored.Version + 1, Value: value}
		return platform.Object{Name: ObjectName, Version: s.stored.Version}, nil
	}
	fault := s.rng.IntN(10)
	s.after(5*time.Millisecond, func() {
		object, err := platform.Object{}, error(platform.ErrUnknownOutcome)
		switch fault {
		case 0:
			err = platform.ErrUnavailable
		case 1: // the request is lost
		case 2: // the request is delayed
			s.after(100*time.Millisecond, func() { _, _ = apply() })
		case 3: // the answer is lost
			_, _ = apply()
		default:
			object, err = apply()
		}
		s.after(5*time.Millisecond, func() { done(object, err) })
	})
}

// perform carries out the actions of an editor, unless it was replaced.
func (s *simulation) perform(host int, e *Editor, actions []EditorAction) {
	if s.editors[host] != e {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Read:
			s.get(func(o platform.Object, err error) {
				s.perform(host, e, e.ReadDone(s.now, a.Call, s.forget(o), err))
			})
		case Write:
			s.put(a.Base, a.Value, func(o platform.Object, err error) {
				if s.variant == noReadBack && errors.Is(err, platform.ErrUnknownOutcome) {
					s.restart(host, e, ErrUnavailable)
					return
				}
				s.perform(host, e, e.WriteDone(s.now, a.Call, o, err))
			})
		case Answer:
			out := outputOf(a)
			if s.variant == noUncertainty && errors.Is(out.err, ErrUnknownOutcome) {
				out.err = ErrUnavailable
			}
			s.answered(a.Token, out)
		}
	}
	if next, ok := e.Next(); ok {
		s.schedule(next, func() {
			if due, ok := e.Next(); ok && !s.now.Before(due) {
				s.perform(host, e, e.Tick(s.now))
			}
		})
	}
}

// forget removes the history from a value if the variant asks for it.
func (s *simulation) forget(o platform.Object) platform.Object {
	if s.variant != noIDLookUp || o.Version == 0 {
		return o
	}
	state, _ := new(Editor).decode(o)
	state.Patches = nil
	o.Value, _ = encodeValue(state.Version)
	return o
}

// outputOf converts an answer.
func outputOf(a Answer) registerOutput {
	var stale *StaleError
	if errors.As(a.Err, &stale) {
		return registerOutput{number: stale.Current, err: ErrStale}
	}
	return registerOutput{number: a.Result.Number, err: a.Err}
}

// answered ends a patch operation. One with an unknown outcome may take effect
// at any later time, so it never returns.
func (s *simulation) answered(token string, out registerOutput) {
	o := s.open[token]
	if o == nil {
		return
	}
	delete(s.open, token)
	o.Output, o.Return = out, s.now.UnixNano()
	if errors.Is(out.err, ErrUnknownOutcome) {
		o.Return = math.MaxInt64
	}
	s.history = append(s.history, *o)
	s.then[token](out)
}

// restart replaces an editor, unless that has happened since, and answers what
// it worked on with err.
func (s *simulation) restart(host int, e *Editor, err error) {
	if s.editors[host] != e {
		return
	}
	s.editors[host] = NewEditor(EditorConfig{})
	for _, open := range e.waiting {
		s.answered(open.Token, registerOutput{err: err})
	}
}

// submit sends a patch to a random editor.
func (s *simulation) submit(caller int, id string, base uint64, then func(registerOutput)) {
	s.order++
	token := fmt.Sprint(s.order)
	s.open[token] = &porcupine.Operation{ClientId: caller, Input: registerInput{id, base}, Call: s.now.UnixNano()}
	s.then[token] = then
	host := s.rng.IntN(len(s.editors))
	p := setOut(id, 0, false)
	if base == 0 {
		p = Patch{ID: id, Type: MergePatch, Body: canonical(sampleDocument(1, 1))}
	}
	p.Base = base
	deadline := s.now.Add(time.Duration(10+s.rng.IntN(300)) * time.Millisecond)
	e := s.editors[host]
	s.perform(host, e, e.Submit(s.now, Submission{Token: token, Patch: p, Deadline: deadline}))
}

// read records one read of the register and passes the number on.
func (s *simulation) read(caller int, then func(uint64)) {
	call := s.now.UnixNano()
	s.get(func(o platform.Object, err error) {
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			s.after(10*time.Millisecond, func() { s.read(caller, then) })
			return
		}
		out := registerOutput{}
		if o.Version > 0 {
			v, _ := new(Editor).decode(o)
			out = registerOutput{number: v.Number, lastID: v.Patches[len(v.Patches)-1].ID}
		}
		s.history = append(s.history, porcupine.Operation{
			ClientId: caller, Input: registerInput{}, Call: call, Output: out, Return: s.now.UnixNano(),
		})
		then(out.number)
	})
}

// caller reads the number, sends a patch on it and, in some cases, sends the
// patch again; this a number of times.
func (s *simulation) caller(caller, rounds int) {
	if rounds == 0 {
		return
	}
	s.read(caller, func(number uint64) {
		s.ids++
		s.patch(caller, fmt.Sprintf("p%d", s.ids), number, func() { s.caller(caller, rounds-1) })
	})
}

// patch sends a patch until its outcome is known, and sometimes once more.
func (s *simulation) patch(caller int, id string, base uint64, then func()) {
	s.submit(caller, id, base, func(out registerOutput) {
		again := errors.IsAny(out.err, ErrUnknownOutcome, ErrUnavailable) || s.rng.IntN(5) == 0
		if again && s.rng.IntN(4) > 0 {
			s.after(50*time.Millisecond, func() { s.patch(caller, id, base, then) })
			return
		}
		s.after(20*time.Millisecond, then)
	})
}

// simulate returns the history of one seeded run.
func simulate(v variant, seed uint64) []porcupine.Operation {
	const hosts, callers, rounds, restarts = 3, 4, 4, 3
	s := &simulation{
		variant: v, rng: rand.New(rand.NewPCG(seed, 1)), now: start,
		open: map[string]*porcupine.Operation{}, then: map[string]func(registerOutput){},
	}
	for range hosts {
		s.editors = append(s.editors, NewEditor(EditorConfig{}))
	}
	for c := range callers {
		s.caller(c, rounds)
	}
	for range restarts {
		s.after(500*time.Millisecond, func() {
			host := s.rng.IntN(hosts)
			s.restart(host, s.editors[host], ErrUnknownOutcome)
		})
	}
	s.run()
	return s.history
}

// Guards against a patch that is applied twice or lost, and against an answer
// that is untrue, when editors race and the store loses calls and answers. With
// a mechanism switched off, the same check must find faulty histories.
func TestRegisterIsLinearizable(t *testing.T) {
	for _, tt := range []struct {
		name    string
		variant variant
		seeds   uint64
	}{
		{"complete", complete, 40},
		{"no read-back after a lost answer", noReadBack, 10},
		{"no look-up of the patch id", noIDLookUp, 10},
		{"no uncertainty after a lost write", noUncertainty, 30},
		{"unconditional writes", unconditionalPuts, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var faulty []uint64
			operations := 0
			for seed := range tt.seeds {
				history := simulate(tt.variant, seed)
				operations += len(history)
				result := porcupine.CheckOperationsTimeout(registerModel(), history, 20*time.Second)
				if result == porcupine.Unknown {
					t.Fatalf("seed %d: the check of %d operations timed out", seed, len(history))
				}
				if result == porcupine.Illegal {
					faulty = append(faulty, seed)
				}
			}
			t.Logf("%d of %d histories are faulty, %d operations", len(faulty), tt.seeds, operations)
			if tt.variant == complete && len(faulty) > 0 {
				t.Errorf("not linearizable with seeds %v", faulty)
			}
			if tt.variant != complete && len(faulty) == 0 {
				t.Error("the check does not notice that the mechanism is off")
			}
		})
	}
}
