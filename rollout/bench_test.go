package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

// benchReport returns a report with results on three routes.
func benchReport(host int) Report {
	r := Report{Order: testOrder("v2", 7).OrderID, Host: fmt.Sprint("front-", host), Run: 1, Sequence: 1, Requests: 300, Fence: 1, Phase: PhaseTrial, Tally: Tally{}}
	for _, name := range []string{"r-s8c3ksc", "r-ya6trmw", "r-zabt6ik"} {
		route := r.Tally.route(name)
		for i := range 100 {
			route.Old.record(Answered, time.Duration(10+i)*time.Millisecond)
			route.New.record(Answered, time.Duration(10+i/4)*time.Millisecond)
		}
	}
	return r
}

func BenchmarkHandleReport(b *testing.B) {
	l := newTestLeader(testStart)
	reports := make([]Report, 73)
	for i := range reports {
		reports[i] = benchReport(i)
	}
	encoded, err := json.Marshal(reports[0])
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		r := &reports[i%len(reports)]
		r.Sequence++
		l.HandleReport(testStart.Add(time.Second), *r)
	}
	b.ReportMetric(float64(len(encoded)), "bytes/report")
}

func BenchmarkChooseAndAdmit(b *testing.B) {
	for _, ordered := range []bool{false, true} {
		b.Run(fmt.Sprintf("ordered=%t", ordered), func(b *testing.B) {
			h := newTestHost()
			candidates := make([]replicas.Candidate, 3)
			for i := range candidates {
				candidates[i] = replicas.Candidate{Replica: replicas.Replica{ID: fmt.Sprint("i-", i), Service: "s", Version: "v1"}}
			}
			if ordered {
				h.PutOrder(testStart, testOrder("v2", 7))
			}
			for b.Loop() {
				h.Choose(testStart, "s", candidates)
				pass, _ := h.Admit(testStart, "s", "v1", func() bool { return true })
				h.Finish(pass, "route", Answered, 10*time.Millisecond)
			}
		})
	}
}
