package query

import (
	"fmt"
	"math/big"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// fanOutPlan has one group of n services with two replicas each.
func fanOutPlan(n int) Plan {
	g := Group{Name: "group"}
	for i, r := range upstream.Split(n) {
		s := Service{Name: fmt.Sprint("service-", i), Partition: r}
		for j := range 2 {
			s.Replicas = append(s.Replicas, Replica{ID: fmt.Sprintf("replica-%d-%d", i, j), Held: []uint64{7, 8}})
		}
		g.Services = append(g.Services, s)
	}
	return Plan{
		ID: "0123456789abcdef", AnswerTime: 170 * time.Millisecond,
		MinimumCoverage: big.NewRat(9, 10), Prefer: PreferCoverage, Groups: []Group{g},
	}
}

// BenchmarkQuery runs one query whose sub-requests are all answered. The metric
// ns/sub is the time per sub-request.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{20, 60, 200, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			plan := fanOutPlan(n)
			stats, budget, rng := NewStats(), NewRatioBudget(0.03, 100), rand.New(rand.NewPCG(1, 2))
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				m := New(plan, stats, budget, rng)
				last := m.Start(now)
				for i, a := range last {
					s := a.(*Send)
					last = m.Reply(now.Add(time.Duration(i)*time.Microsecond), s.Attempt, upstream.Reply{
						Attempt: s.Attempt, Service: s.Service, Snapshot: s.Snapshot, Partition: s.Partition,
						Held: plan.Groups[0].Services[0].Replicas[0].Held,
					})
					m.Next()
				}
				if len(last) != 1 {
					b.Fatalf("the last reply did not finish the query: %v", last)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/sub")
		})
	}
}
