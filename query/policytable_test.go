package query_test

import (
	"flag"
	"math"
	"math/big"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
)

var trialQueries = flag.Int("trial-queries", 4000, "queries of each policy trial")

// trialRate returns the queries per second at which the upstreams are busy for
// the given share of time.
func trialRate(load, sigma float64) float64 {
	usual := trialMedian.Seconds() * math.Exp(sigma*sigma/2)
	straggler := trialStraggler * trialMedian.Seconds()
	return load * trialReplicas * trialSlots / ((1-trialShare)*usual + trialShare*straggler)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type policy struct {
	name   string
	oracle bool
	tuning query.Tuning
}

// tables reports whether complete tables are wanted, not only the checks.
func tables() bool { return *trialQueries >= 10_000 }

// policies lists the oracle first and the default last.
func policies() []policy {
	const fixed = 4 * trialMedian
	return []policy{
		{"oracle", true, tuned(query.TwoChoices, query.HedgeOff, 0, 0)},
		{"random, no hedge", false, tuned(query.Random, query.HedgeOff, 0, 0)},
		{"round robin, no hedge", false, tuned(query.RoundRobin, query.HedgeOff, 0, 0)},
		{"two choices, no hedge", false, tuned(query.TwoChoices, query.HedgeOff, 0, 0)},
		{"random, fixed 20 ms", false, tuned(query.Random, query.HedgeFixed, 0, fixed)},
		{"two choices, fixed 20 ms", false, tuned(query.TwoChoices, query.HedgeFixed, 0, fixed)},
		{"random, quantile 0.975", false, tuned(query.Random, query.HedgeQuantile, 0.975, fixed)},
		{"two choices, quantile 0.95", false, tuned(query.TwoChoices, query.HedgeQuantile, 0.95, fixed)},
		{"two choices, quantile 0.99", false, tuned(query.TwoChoices, query.HedgeQuantile, 0.99, fixed)},
		{"two choices, quantile 0.975", false, query.DefaultTuning()},
	}
}

// compare prints a table of the policies and returns the ratio to the oracle and
// the extra load in percent of the default policy.
func compare(t *testing.T, sigma, load float64, limited, handBack bool) (ratio, extra float64) {
	t.Logf("| sigma %.1f, load %.0f %%, slots limited %t, hand back %t | p50 ms | p99 ms | to oracle | extra %% |", sigma, 100*load, limited, handBack)
	oracle := time.Duration(0)
	all := policies()
	if !tables() {
		all = []policy{all[0], all[len(all)-1]}
	}
	for _, p := range all {
		tr := &trial{
			tuning: p.tuning, oracle: p.oracle, sigma: sigma, limited: limited, handBack: handBack,
			rate: trialRate(load, sigma), queries: *trialQueries, minimum: big.NewRat(1, 1),
		}
		tr.play()
		p99 := tr.quantile(0.99)
		if p.oracle {
			oracle = p99
		}
		r := float64(p99) / float64(oracle)
		t.Logf("| %s | %.1f | %.1f | %.2f | %.2f |", p.name, milliseconds(tr.quantile(0.5)), milliseconds(p99), r, tr.extraPercent())
		ratio, extra = r, tr.extraPercent()
	}
	return ratio, extra
}

// Guards against a hedging rule that lets stragglers determine the latency or
// spends more than its budget.
func TestTailAgainstOracle(t *testing.T) {
	ratio, extra := compare(t, 0.5, 0.3, false, false)
	if ratio == 0 || ratio > 1.3 || extra > 3 {
		t.Fatalf("p99 is %.2f times the oracle's with %.2f %% extra load", ratio, extra)
	}
	if !tables() {
		return
	}
	for _, sigma := range []float64{0.3, 0.4, 0.8} {
		compare(t, sigma, 0.3, false, false)
	}
	for _, load := range []float64{0.1, 0.3, 0.5} {
		compare(t, 0.5, load, true, false)
		compare(t, 0.5, load, true, true)
	}
}

// Guards against a tier that does less useful work when it is offered more than
// the upstreams can bear.
func TestGoodputUnderOverload(t *testing.T) {
	const sigma = 0.5
	loads, minimums := []float64{1, 1.2}, []*big.Rat{big.NewRat(1, 1)}
	queries := *trialQueries / 2 // at this load each takes twice the time
	if tables() {
		queries = *trialQueries
		loads = []float64{0.8, 1, 1.2, 1.5}
		minimums = append(minimums, big.NewRat(9, 10), big.NewRat(3, 4))
	}
	for _, minimum := range minimums {
		goodput := map[float64]float64{}
		for _, load := range loads {
			tr := &trial{
				tuning: query.DefaultTuning(), sigma: sigma, limited: true, handBack: true,
				rate: trialRate(load, sigma), queries: queries, minimum: minimum,
			}
			tr.play()
			goodput[load] = float64(tr.good) / float64(tr.good+tr.refused) * tr.rate
			t.Logf("| %s | %.0f %% | %.0f | %.0f | %.1f | %.1f | %.2f |", minimum, 100*load, tr.rate, goodput[load],
				milliseconds(tr.quantile(0.5)), milliseconds(tr.quantile(0.99)), tr.extraPercent())
		}
		if goodput[1.2] < 0.95*goodput[1] {
			t.Fatalf("minimum %s: goodput %.0f/s at 120 %% of the load, %.0f/s at 100 %%", minimum, goodput[1.2], goodput[1])
		}
	}
}
