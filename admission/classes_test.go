package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/admission"
)

// sender is a stream of requests of one class.
type sender struct {
	class  admission.Class
	perS   float64
	weight float64
}

// play sends the requests of all senders for some seconds, refuses a share of them all, and
// returns the share of each sender's requests that is admitted.
func play(senders []sender, seconds int, total float64) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	d := admission.NewDemand()
	asked, admitted := make([]float64, len(senders)), make([]float64, len(senders))
	const step = 5 * time.Millisecond
	for i := range seconds * int(time.Second/step) {
		now := start.Add(time.Duration(i) * step)
		for j, s := range senders {
			if rng.Float64() >= s.perS*step.Seconds() {
				continue
			}
			d.Record(now, s.class, s.weight)
			asked[j]++
			if rng.Float64() >= d.RefusalShare(now, s.class, total) {
				admitted[j]++
			}
		}
	}
	for j := range asked {
		admitted[j] /= asked[j]
	}
	return admitted
}

func priority(p int) admission.Class { return admission.Class{Priority: p} }

// Guards against urgent requests that are refused in an overload while less urgent ones run,
// and against a priority that is refused altogether.
func TestLowestPriorityIsRefusedFirst(t *testing.T) {
	senders := []sender{{priority(0), 20, 1}, {priority(1), 40, 1}, {priority(2), 40, 1}}
	for _, c := range []struct {
		total float64
		want  [3]float64 // admitted share
	}{
		{0, [3]float64{1, 1, 1}},
		{0.2, [3]float64{1, 1, 0.5}},
		{0.5, [3]float64{1, 0.45, 0.3}},
		{0.8, [3]float64{0.3, 0.3, 0.3}},
	} {
		got := play(senders, 60, c.total)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 0.06 {
				t.Errorf("refusing %v of all: priority %d is admitted %.2f, want %.2f", c.total, i, got[i], c.want[i])
			}
		}
	}
}

// Guards against an account that sends seven times its usual and takes the room of others with
// the same priority.
func TestAccountBeyondItsShareIsRefusedFirst(t *testing.T) {
	var senders []sender
	for i := range 9 {
		senders = append(senders, sender{admission.Class{Priority: 1, Account: fmt.Sprint("usual-", i)}, 5, 5})
	}
	senders = append(senders, sender{admission.Class{Priority: 1, Account: "hot"}, 35, 5})
	// 30 of 80 requests a second are too many.
	got := play(senders, 60, 30.0/80)
	for i, s := range senders[:9] {
		if got[i] < 0.85 {
			t.Errorf("%s is admitted %.2f, want 0.85 at least", s.class.Account, got[i])
		}
	}
	if hot := got[9]; hot < 0.1 || hot > 0.35 {
		t.Errorf("the account beyond its share is admitted %.2f, want between 0.1 and 0.35", hot)
	}
}

// Guards against an account that pays for more and is refused like one that pays for less.
func TestFairShareFollowsWeight(t *testing.T) {
	senders := []sender{
		{admission.Class{Priority: 1, Account: "large"}, 40, 40},
		{admission.Class{Priority: 1, Account: "small"}, 40, 10},
	}
	got := play(senders, 60, 0.5)
	if got[0] < 0.72 || got[0] > 0.88 || got[1] < 0.12 || got[1] > 0.28 {
		t.Errorf("admitted are %.2f, want 0.80 and 0.20", got)
	}
}

// Guards against shares that don't add up to what must be refused, that are no shares, or that
// refuse an urgent class before a less urgent one has given what it may.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := admission.NewDemand()
		counts := map[admission.Class]int{}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			class := admission.Class{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Account: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account")}
			d.Record(start, class, rapid.Float64Range(0.1, 50).Draw(t, "weight"))
			counts[class]++
		}
		total := rapid.Float64Range(0, 0.7).Draw(t, "total")
		sum, refused := 0.0, 0.0
		asked, refusedOf := map[int]float64{}, map[int]float64{}
		for class, n := range counts {
			share := d.RefusalShare(start, class, total)
			if !(share >= 0 && share <= 0.9+1e-9) {
				t.Fatalf("share of %+v is %v", class, share)
			}
			sum += float64(n)
			asked[class.Priority] += float64(n)
			refused += share * float64(n)
			refusedOf[class.Priority] += share * float64(n)
		}
		if refused > total*sum+1e-6 {
			t.Fatalf("%v of %v are refused, want %v at most", refused, sum, total*sum)
		}
		// The bound on the share of an account leaves a tenth at most of what must be refused.
		const leastOfShare = 0.9
		if refused < leastOfShare*total*sum-1e-6 {
			t.Fatalf("%v of %v are refused, want %v at least", refused, sum, leastOfShare*total*sum)
		}
		const maxPriorityShare = 0.7
		for urgent, n := range refusedOf {
			for other := range asked {
				if n > 1e-6 && other > urgent && refusedOf[other] < leastOfShare*maxPriorityShare*asked[other]-1e-6 {
					t.Fatalf("priority %d is refused %v while %d is refused only %v of %v", urgent, n, other, refusedOf[other], asked[other])
				}
			}
		}
	})
}

// Guards against memory that grows with the accounts that ever sent a request.
func TestClassesAreForgotten(t *testing.T) {
	d := admission.NewDemand()
	for i := range 10_000 {
		d.Record(start, admission.Class{Account: fmt.Sprint(i)}, 1)
	}
	d.Prune(at(60_000))
	if !d.Empty() {
		t.Error("classes are kept a minute after their last request")
	}
}

func BenchmarkRefusalShare(b *testing.B) {
	d := admission.NewDemand()
	for i := range 1000 {
		d.Record(start, admission.Class{Priority: i % 3, Account: fmt.Sprint(i)}, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		d.RefusalShare(start, admission.Class{Priority: 1, Account: "400"}, 0.4)
	}
}
