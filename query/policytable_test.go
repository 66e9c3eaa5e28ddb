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

// trialRate returns the queries per second at which the upstreams are busy for the
// given share of the time.
func trialRate(load, sigma float64) float64 {
	normalSeconds := trialMedianServiceTime.Seconds() * math.Exp(sigma*sigma/2)
	stragglerSeconds := trialStragglerFactor * trialMedianServiceTime.Seconds()
	return load * trialReplicas * trialSlots / ((1-trialStragglerShare)*normalSeconds + trialStragglerShare*stragglerSeconds)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type policy struct {
	name   string
	oracle bool
	tuning query.Tuning
}

// fullTables reports whether the number of queries is large enough to print complete
// tables, rather than to check only the default policy.
func fullTables() bool { return *trialQueries >= 10_000 }

// policies returns the policies to compare: the oracle first, the default last.
func policies() []policy {
	const fixedDelay = 4 * trialMedianServiceTime
	return []policy{
		{"oracle", true, newTuning(query.TwoChoices, query.HedgeOff, 0, 0)},
		{"random, no hedge", false, newTuning(query.Random, query.HedgeOff, 0, 0)},
		{"round robin, no hedge", false, newTuning(query.RoundRobin, query.HedgeOff, 0, 0)},
		{"two choices, no hedge", false, newTuning(query.TwoChoices, query.HedgeOff, 0, 0)},
		{"random, fixed 20 ms", false, newTuning(query.Random, query.HedgeFixed, 0, fixedDelay)},
		{"two choices, fixed 20 ms", false, newTuning(query.TwoChoices, query.HedgeFixed, 0, fixedDelay)},
		{"random, quantile 0.975", false, newTuning(query.Random, query.HedgeQuantile, 0.975, fixedDelay)},
		{"two choices, quantile 0.95", false, newTuning(query.TwoChoices, query.HedgeQuantile, 0.95, fixedDelay)},
		{"two choices, quantile 0.99", false, newTuning(query.TwoChoices, query.HedgeQuantile, 0.99, fixedDelay)},
		{"two choices, quantile 0.975", false, query.DefaultTuning()},
	}
}

// compare logs a table of the policies. It returns the p99 latency of the default
// policy relative to the oracle's, and its extra load in percent.
func compare(t *testing.T, sigma, load float64, limitSlots, handBack bool) (ratio, extra float64) {
	t.Logf("| sigma %.1f, load %.0f %%, slots limited %t, hand back %t | p50 ms | p99 ms | to oracle | extra %% |", sigma, 100*load, limitSlots, handBack)
	oracle := time.Duration(0)
	compared := policies()
	if !fullTables() {
		compared = []policy{compared[0], compared[len(compared)-1]}
	}
	for _, p := range compared {
		tr := &trial{
			tuning: p.tuning, oracle: p.oracle, sigma: sigma, limitSlots: limitSlots, handBack: handBack,
			rate: trialRate(load, sigma), queries: *trialQueries, minimum: big.NewRat(1, 1),
		}
		tr.simulate()
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

// Guards against a hedging rule that lets stragglers determine the tail latency or
// that exceeds its budget.
func TestTailAgainstOracle(t *testing.T) {
	ratio, extra := compare(t, 0.5, 0.3, false, false)
	if ratio == 0 || ratio > 1.3 || extra > 3 {
		t.Fatalf("p99 is %.2f times the oracle's with %.2f %% extra load", ratio, extra)
	}
	if !fullTables() {
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

// Guards against goodput that drops when the load exceeds the capacity of the
// upstreams.
func TestGoodputUnderOverload(t *testing.T) {
	const sigma = 0.5
	loads, minimums := []float64{1, 1.2}, []*big.Rat{big.NewRat(1, 1)}
	queries := *trialQueries / 2 // at this load a query takes twice as long
	if fullTables() {
		queries = *trialQueries
		loads = []float64{0.8, 1, 1.2, 1.5}
		minimums = append(minimums, big.NewRat(9, 10), big.NewRat(3, 4))
	}
	for _, minimum := range minimums {
		goodput := map[float64]float64{}
		for _, load := range loads {
			tr := &trial{
				tuning: query.DefaultTuning(), sigma: sigma, limitSlots: true, handBack: true,
				rate: trialRate(load, sigma), queries: queries, minimum: minimum,
			}
			tr.simulate()
			goodput[load] = float64(tr.answered) / float64(tr.answered+tr.refused) * tr.rate
			t.Logf("| %s | %.0f %% | %.0f | %.0f | %.1f | %.1f | %.2f |", minimum, 100*load, tr.rate, goodput[load],
				milliseconds(tr.quantile(0.5)), milliseconds(tr.quantile(0.99)), tr.extraPercent())
		}
		if goodput[1.2] < 0.95*goodput[1] {
			t.Fatalf("minimum %s: goodput %.0f/s at 120 %% of the load, %.0f/s at 100 %%", minimum, goodput[1.2], goodput[1])
		}
	}
}
