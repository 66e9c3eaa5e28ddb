package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
)

// Outcome is the outcome of a patch as its author knows it.
type Outcome string

// Outcomes of patches.
const (
	Accepted Outcome = "accepted"
	Stale    Outcome = "stale"   // the base was not the current number
	Refused  Outcome = "refused" // not applied for another reason
	Unknown  Outcome = "unknown" // may have been applied
)

// Patch is one submission of a configuration patch with its outcome. A patch that
// is sent again keeps its id.
type Patch struct {
	Span
	ID      string
	Base    uint64
	Outcome Outcome
	Number  uint64 // number of the new configuration, if Outcome is Accepted
}

// registerState is the state of the configuration in the linearizability model.
type registerState struct {
	number    uint64
	lastPatch string // id of the patch that created the number
}

// registerModel models the configuration as a register: a patch is applied at most
// once and only to its base, and creates the next number.
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
		// The patch was sent again because its first answer was lost. CheckPatches
		// checks that this patch created the number.
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

// CheckPatches checks R10 for the authors of patches: the outcomes must be
// linearizable, which porcupine checks, and no two patches may have created the same
// number. first is the number in force before the patches.
func CheckPatches(first uint64, patches []Patch) []Violation {
	var found []Violation
	acceptedBy := make(map[uint64]string)
	operations := make([]porcupine.Operation, len(patches))
	for i, p := range patches {
		end := p.End.UnixNano()
		if p.Outcome == Unknown {
			end = int64(1) << 62 // the patch may take effect after the call ended
		}
		operations[i] = porcupine.Operation{ClientId: i, Input: p, Call: p.Start.UnixNano(), Return: end}
		if p.Outcome != Accepted {
			continue
		}
		if other, ok := acceptedBy[p.Number]; ok && other != p.ID {
			found = append(found, Violation{"R10", fmt.Sprintf("patches %s and %s were both accepted as number %d", other, p.ID, p.Number)})
		}
		acceptedBy[p.Number] = p.ID
	}
	if !porcupine.CheckOperations(registerModel(first), operations) {
		found = append(found, Violation{"R10", fmt.Sprintf("outcomes of the patches are not linearizable: %+v", patches)})
	}
	return found
}

// ObservedNumber is a configuration number that a host reported.
type ObservedNumber struct {
	Host   string // id of the host; stays the same when the host restarts
	At     time.Time
	Number uint64
	Digest string
}

// CheckConfigurationNumbers checks R10 for the hosts: the number that a host reports
// never decreases, and a number stands for the same document on every host.
func CheckConfigurationNumbers(observed []ObservedNumber) []Violation {
	var found []Violation
	lastByHost := make(map[string]uint64)
	digests := make(map[uint64]string)
	for _, s := range observed {
		if s.Number < lastByHost[s.Host] {
			found = append(found, Violation{"R10", fmt.Sprintf("host %s went back from number %d to %d", s.Host, lastByHost[s.Host], s.Number)})
		}
		lastByHost[s.Host] = s.Number
		if known, ok := digests[s.Number]; ok && known != s.Digest {
			found = append(found, Violation{"R10", fmt.Sprintf("number %d has two digests, one of them on host %s", s.Number, s.Host)})
		}
		digests[s.Number] = s.Digest
	}
	return found
}

// CheckInForce checks R10 for hosts that were reachable all the time: each accepted
// write of the configuration is in force on the host within the bound, so the host
// reports no lower number after that.
func CheckInForce(writes []platformstandin.Write, observed []ObservedNumber, bound time.Duration) []Violation {
	var found []Violation
	for _, w := range writes {
		for _, s := range observed {
			if late := s.At.Sub(w.Time); s.Number < w.Version && late > bound {
				found = append(found, Violation{"R10", fmt.Sprintf("number %d is not in force on host %s %s after it was accepted; the host reports %d",
					w.Version, s.Host, late, s.Number)})
			}
		}
	}
	return found
}
