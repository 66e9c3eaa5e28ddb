package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
)

// Outcome is what the author of a patch was told.
type Outcome string

// Outcomes of patches.
const (
	Accepted Outcome = "accepted"
	Stale    Outcome = "stale"   // the base is not the current number
	Refused  Outcome = "refused" // surely not applied, for another reason
	Unknown  Outcome = "unknown" // may have been applied
)

// Patch is one sending of a configuration patch and what its author got.
type Patch struct {
	Span
	ID      string
	Base    uint64
	Outcome Outcome
	Number  uint64 // number made, with Accepted
}

type registerState struct {
	number uint64
	last   string // id of the patch that made the number
}

// registerModel is the configuration's register: a patch is accepted once, on
// its base only, and makes the next number.
func registerModel(first uint64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{registerState{number: first}} },
		Step: func(state, input, _ interface{}) []interface{} {
			return stepRegister(state.(registerState), input.(Patch))
		},
	}
	return model.ToModel()
}

func stepRegister(state registerState, p Patch) []interface{} {
	applied := registerState{p.Base + 1, p.ID}
	switch {
	case p.Outcome == Accepted && state.number == p.Base && p.Number == p.Base+1:
		return []interface{}{applied}
	case p.Outcome == Accepted && state.number >= p.Number && p.Number == p.Base+1:
		// A resend of a patch whose first answer was lost. CheckPatches checks that
		// the number was made by this patch.
		return []interface{}{state}
	case p.Outcome == Stale && state.number != p.Base:
		return []interface{}{state}
	case p.Outcome == Unknown && state.number == p.Base:
		return []interface{}{state, applied}
	case p.Outcome == Refused, p.Outcome == Unknown:
		return []interface{}{state}
	}
	return nil
}

// CheckPatches checks R10 for the authors: porcupine must find an order of the
// patches that agrees with what their authors were told, and no two patches may
// have made the same number.
func CheckPatches(first uint64, patches []Patch) []Violation {
	var found []Violation
	author := make(map[uint64]string)
	operations := make([]porcupine.Operation, len(patches))
	for i, p := range patches {
		end := p.End.UnixNano()
		if p.Outcome == Unknown {
			end = int64(1) << 62 // it may take effect after the answer
		}
		operations[i] = porcupine.Operation{ClientId: i, Input: p, Call: p.Start.UnixNano(), Return: end}
		if p.Outcome != Accepted {
			continue
		}
		if other, ok := author[p.Number]; ok && other != p.ID {
			found = append(found, Violation{"R10", fmt.Sprintf("patches %s and %s were both accepted as number %d", other, p.ID, p.Number)})
		}
		author[p.Number] = p.ID
	}
	if !porcupine.CheckOperations(registerModel(first), operations) {
		found = append(found, Violation{"R10", fmt.Sprintf("no order explains the patches: %+v", patches)})
	}
	return found
}

// ObservedNumber is a configuration number that a host stated.
type ObservedNumber struct {
	Host   string // with the incarnation, if a host was started again
	At     time.Time
	Number uint64
	Digest string
}

// CheckConfigurationNumbers checks R10 for the hosts: numbers of a host never decrease and
// one number is the same document everywhere.
func CheckConfigurationNumbers(seen []ObservedNumber) []Violation {
	var found []Violation
	last := make(map[string]uint64)
	digests := make(map[uint64]string)
	for _, s := range seen {
		if s.Number < last[s.Host] {
			found = append(found, Violation{"R10", fmt.Sprintf("host %s went back from %d to %d", s.Host, last[s.Host], s.Number)})
		}
		last[s.Host] = s.Number
		if known, ok := digests[s.Number]; ok && known != s.Digest {
			found = append(found, Violation{"R10", fmt.Sprintf("number %d is two documents, one of them on host %s", s.Number, s.Host)})
		}
		digests[s.Number] = s.Digest
	}
	return found
}

// CheckInForce checks that each accepted write of the configuration is in force
// within the bound on a host that could be reached all the time: after the bound
// it states no lower number.
func CheckInForce(writes []platformstandin.Write, seen []ObservedNumber, bound time.Duration) []Violation {
	var found []Violation
	for _, w := range writes {
		for _, s := range seen {
			if late := s.At.Sub(w.Time); s.Number < w.Version && late > bound {
				found = append(found, Violation{"R10", fmt.Sprintf("number %d is not in force on host %s %s after it was accepted, but %d",
					w.Version, s.Host, late, s.Number)})
			}
		}
	}
	return found
}
