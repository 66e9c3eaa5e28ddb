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

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// variant selects a mechanism that is switched off, to show that the model check
// detects its absence.
type variant int

const (
	unmodified        variant = iota
	noReadBack                // a write with a lost response counts as a write without effect
	noIDLookUp                // editors read wrong patch ids
	noUnknownOutcome          // a write that may still take effect counts as refused
	unconditionalPuts         // the store ignores the base version of a head
	// Variants that break the rules for checkpoints.
	headFirst                // a head is written before its checkpoint
	noCheckpointReadBack     // a checkpoint with a lost response counts as written
	unconditionalCheckpoints // the store ignores the base version of a checkpoint
	oneSlot                  // all checkpoints go to one slot
)

// registerInput is a patch with an id and a base, or a read if id is empty.
type registerInput struct {
	id   string
	base uint64
}

// registerOutput is the result of an operation: the number after the patch, the
// number read, or the current number for a stale base; the last id for a read; and
// the error of a refusal.
type registerOutput struct {
	number uint64
	lastID string
	err    error
}

// registerModel returns the model of the configuration as a register. Its state is
// the list of accepted patch ids in order; their count is the version number.
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

// stepRegister returns the states that may follow an operation with this output.
func stepRegister(ids []string, in registerInput, out registerOutput) []any {
	number := uint64(len(ids))
	same := []any{ids}
	if in.id == "" {
		last := ""
		if number > 0 {
			last = ids[number-1]
		}
		return statesIf(out.number == number && out.lastID == last, same)
	}
	position := uint64(slices.Index(ids, in.id) + 1) // 0 if not accepted
	appended := append(slices.Clone(ids), in.id)
	applicable := position == 0 && in.base == number
	switch {
	case out.err == nil && position > 0:
		return statesIf(out.number == position, same)
	case out.err == nil:
		return statesIf(applicable && out.number == number+1, []any{appended})
	case errors.Is(out.err, ErrStale):
		return statesIf(position == 0 && out.number == number && in.base != number, same)
	case errors.Is(out.err, ErrUnknownOutcome) && applicable:
		return append(same, appended)
	}
	return statesIf(errors.IsAny(out.err, ErrUnknownOutcome, ErrUnavailable), same)
}

// statesIf returns states if the condition holds.
func statesIf(condition bool, states []any) []any {
	if condition {
		return states
	}
	return nil
}

// simulation runs editors and callers against a faulty store in virtual time.
type simulation struct {
	variant            variant
	headBytes          int
	rng                *rand.Rand
	now                time.Time
	events             []event
	order              int
	stored             objects
	missingCheckpoints int // writes after which the head names an absent or overwritten checkpoint
	editors            []*Editor
	pending            map[string]*porcupine.Operation // by token
	onAnswer           map[string]func(registerOutput)
	history            []porcupine.Operation
	ids                int
}

// event is a function that runs at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// schedule adds an event. Events with the same time run in the order in which they
// were added.
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

// after runs a function after a random time of at most longest.
func (s *simulation) after(longest time.Duration, run func()) {
	s.schedule(s.now.Add(time.Duration(s.rng.Int64N(int64(longest)))+1), run)
}

// storedName returns the name under which the store keeps an object.
func (s *simulation) storedName(name string) string {
	if s.variant == oneSlot && name != ObjectName {
		return checkpointName(0)
	}
	return name
}

// get reads the store after a delay. Some calls fail.
func (s *simulation) get(name string, done func(objectstore.Object, error)) {
	s.after(5*time.Millisecond, func() {
		object, err := s.stored.get(s.storedName(name))
		if s.rng.IntN(10) == 0 {
			object, err = objectstore.Object{}, objectstore.ErrUnavailable
		}
		s.after(5*time.Millisecond, func() { done(object, err) })
	})
}

// put writes the store after a delay. Some calls fail. For others the response is
// lost, and the write takes effect at once, much later or never.
func (s *simulation) put(w Write, done func(objectstore.Object, error)) {
	apply := func() (objectstore.Object, error) {
		name, base := s.storedName(w.Name), w.Base
		if s.variant == unconditionalPuts && name == ObjectName || s.variant == unconditionalCheckpoints && name != ObjectName {
			base = s.stored[name].Version
		}
		object, err := s.stored.put(name, base, w.Value)
		if err == nil {
			s.checkCheckpoint()
		}
		return object, err
	}
	if s.variant == headFirst && w.Name != ObjectName {
		s.after(100*time.Millisecond, func() { _, _ = apply() })
		done(objectstore.Object{Version: w.Base + 1}, nil)
		return
	}
	fault := s.rng.IntN(10)
	s.after(5*time.Millisecond, func() {
		object, err := objectstore.Object{}, error(objectstore.ErrUnknownOutcome)
		switch fault {
		case 0:
			err = objectstore.ErrUnavailable
		case 1: // the request is lost
		case 2: // the request is delayed
			s.after(100*time.Millisecond, func() { _, _ = apply() })
		case 3: // the response is lost
			_, _ = apply()
		default:
			object, err = apply()
		}
		s.after(5*time.Millisecond, func() { done(object, err) })
	})
}

// perform executes the actions of an editor, unless it was replaced.
func (s *simulation) perform(host int, e *Editor, actions []EditorAction) {
	if s.editors[host] != e {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Read:
			s.get(a.Name, func(o objectstore.Object, err error) {
				s.perform(host, e, e.ReadDone(s.now, a.Call, s.alterRead(o), err))
			})
		case Write:
			s.put(a, func(o objectstore.Object, err error) {
				if s.variant == noCheckpointReadBack && a.Name != ObjectName && errors.Is(err, objectstore.ErrUnknownOutcome) {
					o, err = objectstore.Object{Version: a.Base + 1}, nil
				}
				if s.variant == noReadBack && errors.Is(err, objectstore.ErrUnknownOutcome) {
					s.restart(host, e, ErrUnavailable)
					return
				}
				s.perform(host, e, e.WriteDone(s.now, a.Call, o, err))
			})
		case Answer:
			out := outputOf(a)
			if s.variant == noUnknownOutcome && errors.Is(out.err, ErrUnknownOutcome) {
				out.err = ErrUnavailable
			}
			s.recordAnswer(a.Token, out)
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

// alterRead changes the patch ids that an editor reads, if the variant requires it.
func (s *simulation) alterRead(o objectstore.Object) objectstore.Object {
	switch {
	case s.variant == noIDLookUp && o.Name == ObjectName:
		h, _ := decodeHead(o)
		replaceIDs(h.Patches)
		o.Value, _ = h.encode(&testCompressor)
	case s.variant == noIDLookUp && o.Version > 0:
		opened, _ := openValue(o.Value)
		v, _ := opened.snapshot(nil)
		replaceIDs(v.Patches)
		o.Value, _ = testCompressor.encodeValue(v.Version)
	}
	return o
}

// replaceIDs overwrites the ids of records.
func replaceIDs(records []PatchRecord) {
	for i := range records {
		records[i].ID = "lost"
	}
}

// outputOf converts an Answer to the output of a register operation.
func outputOf(a Answer) registerOutput {
	var stale *StaleError
	if errors.As(a.Err, &stale) {
		return registerOutput{number: stale.Current, err: ErrStale}
	}
	return registerOutput{number: a.Result.Number, err: a.Err}
}

// recordAnswer ends a patch operation. If its outcome is unknown, it may take effect
// at any later time, so it is recorded as never returning.
func (s *simulation) recordAnswer(token string, out registerOutput) {
	o := s.pending[token]
	if o == nil {
		return
	}
	delete(s.pending, token)
	o.Output, o.Return = out, s.now.UnixNano()
	if errors.Is(out.err, ErrUnknownOutcome) {
		o.Return = math.MaxInt64
	}
	s.history = append(s.history, *o)
	s.onAnswer[token](out)
}

// restart replaces an editor, unless it is already replaced, and answers its
// submissions with err.
func (s *simulation) restart(host int, e *Editor, err error) {
	if s.editors[host] != e {
		return
	}
	s.editors[host] = s.newEditor()
	for _, submitted := range e.waiting {
		s.recordAnswer(submitted.Token, registerOutput{err: err})
	}
}

// newEditor returns an editor with the settings of this run.
func (s *simulation) newEditor() *Editor {
	e := NewEditor(EditorConfig{HeadBytes: s.headBytes})
	e.compressor = testCompressor
	return e
}

// firstBody is the first patch of a simulation, with one data centre.
var firstBody = func() []byte {
	d := sampleDocument(1, 1)
	d.DataCentres = d.DataCentres[:1]
	return canonical(d)
}()

// submit sends a patch to a random editor.
func (s *simulation) submit(caller int, id string, base uint64, onAnswer func(registerOutput)) {
	s.order++
	token := fmt.Sprint(s.order)
	s.pending[token] = &porcupine.Operation{ClientId: caller, Input: registerInput{id, base}, Call: s.now.UnixNano()}
	s.onAnswer[token] = onAnswer
	host := s.rng.IntN(len(s.editors))
	p := setOut(id, 0, false)
	if base == 0 {
		p = Patch{ID: id, Type: MergePatch, Body: firstBody}
	}
	p.Base = base
	deadline := s.now.Add(time.Duration(10+s.rng.IntN(300)) * time.Millisecond)
	e := s.editors[host]
	s.perform(host, e, e.Submit(s.now, Submission{Token: token, Patch: p, Deadline: deadline}))
}

// read records one read of the register and passes the number to then.
func (s *simulation) read(caller int, then func(uint64)) {
	call := s.now.UnixNano()
	s.get(ObjectName, func(o objectstore.Object, err error) {
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			s.after(10*time.Millisecond, func() { s.read(caller, then) })
			return
		}
		out := registerOutput{}
		if o.Version > 0 {
			h, _ := decodeHead(o)
			out = registerOutput{number: h.Number, lastID: h.Patches[len(h.Patches)-1].ID}
		}
		s.history = append(s.history, porcupine.Operation{
			ClientId: caller, Input: registerInput{}, Call: call, Output: out, Return: s.now.UnixNano(),
		})
		then(out.number)
	})
}

// checkCheckpoint counts a head that names a checkpoint that is not stored.
func (s *simulation) checkCheckpoint() {
	if !s.stored.hasCheckpoint(s.storedName) {
		s.missingCheckpoints++
	}
}

// hasCheckpoint reports whether the slot that the head names holds the named
// version.
func (o objects) hasCheckpoint(slot func(string) string) bool {
	h, _ := decodeHead(o[ObjectName])
	if h.Checkpoint.Number == 0 {
		return true
	}
	c, err := openValue(o[slot(h.Checkpoint.name())].Value)
	return err == nil && c.Number == h.Checkpoint.Number && c.Digest == h.Checkpoint.Digest
}

// caller repeats some rounds: it reads the number, sends a patch based on it and
// sometimes sends the patch again.
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
		resend := errors.IsAny(out.err, ErrUnknownOutcome, ErrUnavailable) || s.rng.IntN(5) == 0
		if resend && s.rng.IntN(4) > 0 {
			s.after(50*time.Millisecond, func() { s.patch(caller, id, base, then) })
			return
		}
		s.after(20*time.Millisecond, then)
	})
}

// simulate executes one run with a seed. Depending on the seed, a checkpoint is
// written before every patch, before some or before none.
func simulate(v variant, seed uint64) *simulation {
	const hosts, callers, rounds, restarts = 3, 4, 4, 3
	s := &simulation{
		variant: v, headBytes: []int{1, 500, DefaultHeadBytes}[seed%3],
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, stored: objects{},
		pending: map[string]*porcupine.Operation{}, onAnswer: map[string]func(registerOutput){},
	}
	for range hosts {
		s.editors = append(s.editors, s.newEditor())
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
	return s
}

// Guards against a patch that is applied twice or lost, against wrong answers, and
// against a head whose checkpoint is absent or overwritten, while several editors
// write concurrently and the store loses requests and responses. If a mechanism is
// switched off, the same check must find incorrect runs.
func TestRegisterIsLinearizable(t *testing.T) {
	for _, tt := range []struct {
		name    string
		variant variant
		seeds   uint64
	}{
		{"unmodified", unmodified, 40},
		{"no read-back after a lost response", noReadBack, 10},
		{"no look-up of the patch id", noIDLookUp, 10},
		{"no unknown outcome after a lost response", noUnknownOutcome, 30},
		{"unconditional writes", unconditionalPuts, 10},
		{"head before checkpoint", headFirst, 10},
		{"no read-back of a checkpoint", noCheckpointReadBack, 10},
		{"unconditional checkpoints", unconditionalCheckpoints, 40},
		{"one slot", oneSlot, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var illegal, missingCheckpoints []uint64
			operations := 0
			for seed := range tt.seeds {
				s := simulate(tt.variant, seed)
				operations += len(s.history)
				if s.missingCheckpoints > 0 {
					missingCheckpoints = append(missingCheckpoints, seed)
				}
				if tt.variant >= headFirst {
					continue // these variants affect only readers of checkpoints
				}
				switch porcupine.CheckOperationsTimeout(registerModel(), s.history, 20*time.Second) {
				case porcupine.Unknown:
					t.Fatalf("seed %d: the check of %d operations timed out", seed, len(s.history))
				case porcupine.Illegal:
					illegal = append(illegal, seed)
				}
			}
			t.Logf("of %d runs %d are not linearizable and %d have a head without its checkpoint, %d operations", tt.seeds, len(illegal), len(missingCheckpoints), operations)
			if tt.variant == unmodified && len(illegal)+len(missingCheckpoints) > 0 {
				t.Errorf("not linearizable with seeds %v, head without its checkpoint with seeds %v", illegal, missingCheckpoints)
			}
			if tt.variant >= headFirst && len(missingCheckpoints) == 0 || tt.variant > unmodified && tt.variant < headFirst && len(illegal) == 0 {
				t.Error("the check does not detect that the mechanism is off")
			}
		})
	}
}
