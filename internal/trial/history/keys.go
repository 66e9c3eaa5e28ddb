package history

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// Submission is one submission of a non-idempotent request with its outcome. A run
// of the request in a stand-in upstream returns a slip, a receipt with a unique
// number.
type Submission struct {
	Span
	Key    string
	Value  string // unique value of the request, which the upstream echoes
	Number int    // Submission-Number, or 0 if none was sent
	Run    api.Run
	Slip   string // number of the slip, if Run is api.Ran
	Echo   string // value in the result, if Run is api.Ran
}

// RunsByKey returns the runs that the upstreams recorded, by key.
func RunsByKey(records []upstreamstandin.ReplicaRecord) map[string][]upstreamstandin.Run {
	runs := make(map[string][]upstreamstandin.Run)
	for _, r := range records {
		for _, run := range r.Runs {
			runs[run.Key] = append(runs[run.Key], run)
		}
	}
	return runs
}

// ReadSlip returns the slip number and the request's value from the result of an
// execute request. Both are empty if the result is malformed.
func ReadSlip(result json.RawMessage) (number, value string) {
	var slip upstreamstandin.Slip
	if json.Unmarshal(result, &slip) != nil {
		return "", ""
	}
	return slip.Number, RequestValue(slip.Request)
}

// RequestBody returns a request body with a unique value.
func RequestBody(value string) json.RawMessage {
	body, err := json.Marshal(map[string]string{"value": value})
	if err != nil {
		panic(err) // a map of strings always encodes
	}
	return body
}

// RequestValue returns the value in a body that RequestBody made, or "" if the body
// is malformed.
func RequestValue(body json.RawMessage) string {
	var request map[string]string
	if json.Unmarshal(body, &request) != nil {
		return ""
	}
	return request["value"]
}

// CheckKeys checks R7 (at most one run per key), R6 (an answer of ran or not_run is
// true) and R5 (a result is that of the caller's own request). A not_run answer covers
// only the submissions that were answered by then: a run that another submission may
// have caused is no violation.
func CheckKeys(submissions []Submission, runs map[string][]upstreamstandin.Run) []Violation {
	var found []Violation
	for key, list := range runs {
		if len(list) > 1 {
			found = append(found, Violation{"R7", fmt.Sprintf("key %s ran %d times: %+v", key, len(list), list)})
		}
	}
	byKey := make(map[string][]Submission)
	for _, s := range submissions {
		byKey[s.Key] = append(byKey[s.Key], s)
	}
	for key, list := range byKey {
		for _, s := range list {
			found = append(found, checkOutcome(s, list, runs[key])...)
		}
	}
	return found
}

func checkOutcome(s Submission, all []Submission, runs []upstreamstandin.Run) []Violation {
	switch s.Run {
	case api.Ran:
		return checkRan(s, runs)
	case api.NotRun:
		return checkNotRun(s, all, runs)
	}
	return nil
}

func checkRan(s Submission, runs []upstreamstandin.Run) []Violation {
	if s.Echo != s.Value {
		return []Violation{{"R5", fmt.Sprintf("key %s: requested %q, but the result is for %q", s.Key, s.Value, s.Echo)}}
	}
	for _, run := range runs {
		if run.Slip == s.Slip {
			return nil
		}
	}
	return []Violation{{"R6", fmt.Sprintf("key %s: ran was answered with slip %q, but the upstreams recorded %+v", s.Key, s.Slip, runs)}}
}

func checkNotRun(s Submission, all []Submission, runs []upstreamstandin.Run) []Violation {
	for _, run := range runs {
		if !mayComeFromOther(s, all, run.Time) {
			return []Violation{{"R6", fmt.Sprintf("key %s: not_run was answered at %s, but it ran at %s: %+v",
				s.Key, s.End.Format(time.RFC3339Nano), run.Time.Format(time.RFC3339Nano), run)}}
		}
	}
	return nil
}

// mayComeFromOther reports whether a run at the given time may come from another
// submission, which the answer to s does not cover: one that began before the run
// and was answered after s.
func mayComeFromOther(s Submission, all []Submission, run time.Time) bool {
	for _, other := range all {
		if other.End.After(s.End) && !other.Start.After(run) && other != s {
			return true
		}
	}
	return false
}

// keyState is the state of one key in the linearizability model. The slip is "" if
// the key has not run or its slip is unknown.
type keyState struct {
	ran  bool
	slip string
}

// keyModel is the model of one key: not_run may be answered only before the run, and
// every ran answer has the same slip.
func keyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{keyState{}} },
		Step: func(state, _, output interface{}) []interface{} {
			return stepKey(state.(keyState), output.(Submission))
		},
	}
	return model.ToModel()
}

func stepKey(state keyState, s Submission) []interface{} {
	switch s.Run {
	case api.NotRun:
		if state.ran {
			return nil
		}
		return []interface{}{state}
	case api.Ran:
		if state.ran && state.slip != "" && state.slip != s.Slip {
			return nil
		}
		return []interface{}{keyState{true, s.Slip}}
	default:
		if state.ran {
			return []interface{}{state}
		}
		return []interface{}{state, keyState{ran: true}}
	}
}

// CheckKeyLinearizability checks R7 with porcupine: the answers to each key must be
// linearizable.
func CheckKeyLinearizability(submissions []Submission) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	for i, s := range submissions {
		end := s.End.UnixNano()
		if s.Run == api.MayHaveRun {
			// The request may still run after its caller received the answer.
			end = int64(1) << 62
		}
		byKey[s.Key] = append(byKey[s.Key], porcupine.Operation{ClientId: i, Call: s.Start.UnixNano(), Output: s, Return: end})
	}
	var found []Violation
	for key, operations := range byKey {
		if !porcupine.CheckOperations(keyModel(), operations) {
			found = append(found, Violation{"R7", fmt.Sprintf("answers to key %s are not linearizable: %+v", key, operations)})
		}
	}
	return found
}
