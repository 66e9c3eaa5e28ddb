package contract_test

import (
	"fmt"

	"github.com/marigoldlever/marigoldlever/contract"
)

func Example() {
	units := []contract.Unit{
		{Name: "pal", Dimension: contract.Time, Factor: "1/60 ghari"},
		{Name: "ghari", Dimension: contract.Time, Factor: "3"},
		{Name: "percent", Dimension: contract.Share, Factor: "0.01"},
	}
	limits, err := contract.Compile(units, []contract.Contract{{
		Name:            "licence-check",
		Groups:          []string{"licence-desk"},
		AnswerTime:      "3 pal",
		MinimumCoverage: "99.5 percent",
		UpstreamLoad:    "5/2 slot",
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	l := limits["licence-check"]
	fmt.Println(l.AnswerTime, l.MinimumCoverage, l.UpstreamLoad, l.MinimumParts(20))

	_, err = contract.Compile(units, []contract.Contract{{
		Name:            "licence-check",
		Groups:          []string{"licence-desk"},
		AnswerTime:      "3 percent",
		MinimumCoverage: "101 percent",
		UpstreamLoad:    "2 slot",
	}})
	fmt.Println(err)
	// Output:
	// 150ms 199/200 2 20
	// contract "licence-check", unit "percent", field answer_time: wrong dimension: "percent" is a unit of share, time is needed
	// contract "licence-check", field minimum_coverage: share above 1: "101 percent" is more than the whole
}
