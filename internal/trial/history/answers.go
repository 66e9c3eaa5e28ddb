package history

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// shareTolerance allows for the rounding of a reported coverage to six digits.
const shareTolerance = 2e-6

// AnsweredQuery is a query with the answer that its caller received.
type AnsweredQuery struct {
	Value  string // unique value of the query, which the upstreams echo
	Answer api.Answer
	// GroupByService maps each service to its group.
	GroupByService map[string]string
}

// CheckAnswer checks R1 (all parts come from one snapshot), R2 (the reported
// coverage is that of the parts) and R5 (every part is a complete reply to this
// query).
func CheckAnswer(a AnsweredQuery) []Violation {
	var found []Violation
	ranges := make(map[string][]upstream.HashRange)
	for _, part := range a.Answer.Parts {
		found = append(found, checkPart(a, part)...)
		group := a.GroupByService[part.Service]
		ranges[group] = append(ranges[group], part.Partition)
	}
	return append(found, checkCoverage(a.Answer, ranges)...)
}

func checkPart(a AnsweredQuery, part api.Part) []Violation {
	var read upstreamstandin.ReadResult
	if err := json.Unmarshal(part.Records, &read); err != nil {
		return []Violation{{"R5", fmt.Sprintf("query %s: malformed records from %s: %v", a.Value, part.Service, err)}}
	}
	var found []Violation
	if read.Snapshot != a.Answer.Snapshot {
		found = append(found, Violation{"R1", fmt.Sprintf("query %s: the answer states snapshot %d but has records of snapshot %d from %s",
			a.Value, a.Answer.Snapshot, read.Snapshot, read.Replica)})
	}
	if read.Partition != part.Partition {
		found = append(found, Violation{"R2", fmt.Sprintf("query %s: part %v of %s has records of partition %v",
			a.Value, part.Partition, part.Service, read.Partition)})
	}
	if value := RequestValue(read.Request); value != a.Value || read.Service != part.Service {
		found = append(found, Violation{"R5", fmt.Sprintf("query %s: the part of %s is a reply to query %q from %s",
			a.Value, part.Service, value, read.Service)})
	}
	return found
}

func checkCoverage(answer api.Answer, ranges map[string][]upstream.HashRange) []Violation {
	var found []Violation
	allComplete := true
	sum := 0.0
	for _, g := range answer.Coverage.Groups {
		if anyOverlap(ranges[g.Group]) {
			found = append(found, Violation{"R2", fmt.Sprintf("parts of group %s overlap: %v", g.Group, ranges[g.Group])})
		}
		share := coveredShare(ranges[g.Group])
		exact, _ := share.Float64()
		sum += exact
		if math.Abs(exact-g.Share) > shareTolerance {
			found = append(found, Violation{"R2", fmt.Sprintf("group %s: reported coverage %v, parts cover %v", g.Group, g.Share, exact)})
		}
		complete := share.Cmp(big.NewRat(1, 1)) == 0
		allComplete = allComplete && complete
		if complete != (len(g.Missing) == 0) {
			found = append(found, Violation{"R2", fmt.Sprintf("group %s: parts cover %v, but the reported missing parts are %+v", g.Group, exact, g.Missing)})
		}
	}
	if answer.Coverage.Complete != allComplete {
		found = append(found, Violation{"R2", fmt.Sprintf("complete is reported as %t, but is %t by the parts", answer.Coverage.Complete, allComplete)})
	}
	if n := len(answer.Coverage.Groups); n > 0 && math.Abs(sum/float64(n)-answer.Coverage.Share) > shareTolerance {
		found = append(found, Violation{"R2", fmt.Sprintf("reported coverage %v, parts cover %v", answer.Coverage.Share, sum/float64(n))})
	}
	return found
}

func anyOverlap(ranges []upstream.HashRange) bool {
	for i, a := range ranges {
		for _, b := range ranges[:i] {
			if a.Overlaps(b) {
				return true
			}
		}
	}
	return false
}

// coveredShare returns the share of the hash space that the ranges cover. They must
// not overlap.
func coveredShare(ranges []upstream.HashRange) *big.Rat {
	space := new(big.Int).Lsh(big.NewInt(1), 64)
	sum := new(big.Int)
	for _, r := range ranges {
		end := new(big.Int).SetUint64(r.End)
		if r.End == 0 {
			end = space
		}
		sum.Add(sum, new(big.Int).Sub(end, new(big.Int).SetUint64(r.Start)))
	}
	return new(big.Rat).SetFrac(sum, space)
}
