package entry

import (
	"net/http"
	"testing"
)

// allFacts calls visit with every combination of single facts that can occur. An answer comes
// from a replica that has run the request.
func allFacts(visit func(facts)) {
	for _, kind := range []kindSet{repeatable, atMostOnce, overShards} {
		for _, sent := range []sentSet{notRun, mayHaveRun} {
			for _, came := range []cameSet{nothing, wholeAnswer, ownFailure} {
				for _, cut := range []cutSet{ended, atDeadline, hostStops, callerLeft} {
					if came != nothing && sent == notRun || came == ownFailure && kind != repeatable {
						continue
					}
					visit(facts{kind, sent, came, cut})
				}
			}
		}
	}
}

// Guards against a request without a verdict, one with two, and an answer that promises more
// than is known.
func TestVerdictsPromiseWhatIsKnown(t *testing.T) {
	used := map[*verdict]bool{}
	allFacts(func(f facts) {
		rows := 0
		for _, row := range verdicts {
			if row.facts.contains(f) {
				rows++
			}
		}
		v := f.verdict()
		used[v] = true
		switch {
		case rows != 1:
			t.Errorf("%+v is in %d rows", f, rows)
		case f.cut == callerLeft && v.status != noStatus:
			t.Errorf("%+v: %s is written to a caller that has left", f, v.name)
		case v.promisesNotRun() != (f.sent == notRun && f.cut != callerLeft):
			t.Errorf("%+v: %s promises that the request has not run: %t", f, v.name, v.promisesNotRun())
		case v.status == http.StatusOK && (f.came != wholeAnswer || f.kind != overShards):
			t.Errorf("%+v: %s is a success without enough parts", f, v.name)
		case v.status == statusOfReply && f.came == nothing:
			t.Errorf("%+v: %s passes on a reply that did not come", f, v.name)
		case v.rule == "":
			t.Errorf("%s names no rule", v.name)
		}
	})
	for _, row := range verdicts {
		if !used[row.verdict] {
			t.Errorf("no request gets %s", row.verdict.name)
		}
	}
}
