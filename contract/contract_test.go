package contract

import (
	"math/big"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func testUnits() []Unit {
	return []Unit{
		{"pal", Time, "24"},
		{"ghari", Time, "60 pal"},
		{"third", Share, "1/3"},
		{"worker", Load, "0.4 slot"},
	}
}

func testContract() Contract {
	return Contract{
		Name: "gate", Groups: []string{"gate-desk"}, AnswerTime: "1/10 pal",
		MinimumCoverage: "2 third", UpstreamLoad: "9 worker",
	}
}

// Guards against rounding to the unsafe side and against floating-point arithmetic,
// with which all values below are off by one.
func TestCompileRounds(t *testing.T) {
	c := testContract()
	c.AnswerTime, c.LatencyGoal = "0.0000000289 second", "1/3 second"
	if _, err := Compile(testUnits(), []Contract{c}); !errors.Is(err, ErrImpossible) {
		t.Fatalf("latency goal above the answer time: error %v, want ErrImpossible", err)
	}
	c.LatencyGoal, c.ColdStepTime, c.ColdFloor = "", "1/3 second", "5 worker"
	limits, err := Compile(testUnits(), []Contract{c})
	if err != nil {
		t.Fatal(err)
	}
	l := limits["gate"]
	if l.AnswerTime != 28 || l.LatencyGoal != 28 || l.ColdStepTime != 333333334 {
		t.Errorf("answer time %d, latency goal %d, step time %d, want 28, 28 and 333333334", l.AnswerTime, l.LatencyGoal, l.ColdStepTime)
	}
	if l.UpstreamLoad != 3 || l.ColdFloor != 2 || l.ColdStep != DefaultColdStep {
		t.Errorf("load %d, floor %d, step %d, want 3, 2 and DefaultColdStep", l.UpstreamLoad, l.ColdFloor, l.ColdStep)
	}
	if l.MinimumCoverage.Cmp(big.NewRat(2, 3)) != 0 || l.MinimumParts(20) != 14 || l.MinimumParts(3) != 2 {
		t.Errorf("coverage %s, %d of 20 parts, want 2/3 and 14, and 2 of 3 parts", l.MinimumCoverage, l.MinimumParts(20))
	}
	if l.Covered(big.NewRat(13, 20)) || !l.Covered(big.NewRat(2, 3)) {
		t.Error("coverage is compared inexactly")
	}
}

// Guards against invalid input that is accepted, or reported with the wrong kind or
// place.
func TestCompileRefuses(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*Contract)
		units []Unit
		kind  error
		place string
	}{
		{"wrong dimension", func(c *Contract) { c.AnswerTime = "3 worker" }, nil, ErrDimension, `contract "gate", unit "worker", field answer_time`},
		{"undefined unit", func(c *Contract) { c.UpstreamLoad = "3 bricks" }, nil, ErrUndefinedUnit, `contract "gate", unit "bricks", field upstream_load`},
		{"no unit", func(c *Contract) { c.UpstreamLoad = "3" }, nil, ErrSyntax, `contract "gate", field upstream_load`},
		{"missing", func(c *Contract) { c.MinimumCoverage = "" }, nil, ErrMissing, `contract "gate", field minimum_coverage`},
		{"exponent", func(c *Contract) { c.AnswerTime = "1e999999999 second" }, nil, ErrSyntax, `contract "gate", unit "second", field answer_time`},
		{"denominator zero", func(c *Contract) { c.AnswerTime = "1/0 second" }, nil, ErrSyntax, `contract "gate", unit "second", field answer_time`},
		{"zero", func(c *Contract) { c.AnswerTime = "0 second" }, nil, ErrNotPositive, `contract "gate", unit "second", field answer_time`},
		{"negative", func(c *Contract) { c.UpstreamLoad = "-1 slot" }, nil, ErrNotPositive, `contract "gate", unit "slot", field upstream_load`},
		{"zero after rounding", func(c *Contract) { c.UpstreamLoad = "1 worker" }, nil, ErrNotPositive, `contract "gate", field upstream_load`},
		{"overflow of time", func(c *Contract) { c.AnswerTime = "99999999999999999999 ghari" }, nil, ErrOverflow, `contract "gate", field answer_time`},
		{"overflow of load", func(c *Contract) { c.UpstreamLoad = "99999999999999999999 slot" }, nil, ErrOverflow, `contract "gate", field upstream_load`},
		{"long number", func(c *Contract) { c.UpstreamLoad = Quantity(strings.Repeat("9", 65) + " slot") }, nil, ErrOverflow, `contract "gate", unit "slot", field upstream_load`},
		{"share above 1", func(c *Contract) { c.MinimumCoverage = "3.0001 third" }, nil, ErrShareAboveOne, `contract "gate", field minimum_coverage`},
		{"floor above load", func(c *Contract) { c.ColdFloor = "4 slot" }, nil, ErrImpossible, `contract "gate", field cold_floor`},
		{"step above load", func(c *Contract) { c.ColdStep = "4 slot" }, nil, ErrImpossible, `contract "gate", field cold_step`},
		{"goal above answer time", func(c *Contract) { c.LatencyGoal = "1 pal" }, nil, ErrImpossible, `contract "gate", field latency_goal`},
		{"goal missing", func(c *Contract) { c.Prefer = PreferLatency }, nil, ErrMissing, `contract "gate", field latency_goal`},
		{"preference", func(c *Contract) { c.Prefer = "speed" }, nil, ErrUnknownValue, `contract "gate", field prefer`},
		{"no group", func(c *Contract) { c.Groups = nil }, nil, ErrMissing, `contract "gate", field groups`},
		{"group twice", func(c *Contract) { c.Groups = []string{"a", "a"} }, nil, ErrDuplicate, `contract "gate", field groups`},
		{"contract name", func(c *Contract) { c.Name = "a b" }, nil, ErrSyntax, `contract "a b", field name`},
		{"no contract name", func(c *Contract) { c.Name = "" }, nil, ErrSyntax, `contract "#1", field name`},
		{"no unit name", nil, []Unit{{"a", Time, "1"}, {"", Time, "1"}}, ErrSyntax, `unit "#2", field name`},
		{"unit name", nil, []Unit{{"1 x", Time, "1"}}, ErrSyntax, `unit "1 x", field name`},
		{"built-in unit", nil, []Unit{{"slot", Time, "1"}}, ErrDuplicate, `unit "slot", field name`},
		{"unit twice", nil, []Unit{{"a", Time, "1"}, {"a", Time, "2"}}, ErrDuplicate, `unit "a", field name`},
		{"dimension", nil, []Unit{{"a", "mass", "1"}}, ErrUnknownValue, `unit "a", field dimension`},
		{"undefined parent", nil, []Unit{{"a", Time, "2 b"}}, ErrUndefinedUnit, `unit "a", field factor`},
		{"dimension of parent", nil, []Unit{{"a", Time, "2 slot"}}, ErrDimension, `unit "a", field factor`},
		{"own parent", nil, []Unit{{"a", Time, "2 a"}}, ErrCircularUnit, `unit "a", field factor`},
		{"cycle", nil, []Unit{{"x", Time, "2 a"}, {"a", Time, "2 b"}, {"b", Time, "2 a"}}, ErrCircularUnit, `unit "a", field factor`},
		{"zero factor", nil, []Unit{{"a", Time, "0.0"}}, ErrNotPositive, `unit "a", field factor`},
		{"negative factor", nil, []Unit{{"a", Time, "-1/2"}}, ErrNotPositive, `unit "a", field factor`},
		{"overflow of factor", nil, growingUnits(20), ErrOverflow, `unit "u17", field factor`},
		{"number of units", nil, make([]Unit, MaxUnits+1), ErrOverflow, `field units`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := testContract()
			if tt.edit != nil {
				tt.edit(&c)
			}
			units := tt.units
			if units == nil {
				units = testUnits()
			} else {
				c.UpstreamLoad, c.MinimumCoverage, c.AnswerTime = "2 slot", "1 whole", "1 second"
			}
			limits, err := Compile(units, []Contract{c})
			if !errors.Is(err, tt.kind) || limits != nil {
				t.Fatalf("limits %v and error %v, want no limits and %v", limits, err, tt.kind)
			}
			if first, _, _ := strings.Cut(err.Error(), "\n"); !strings.HasPrefix(first, tt.place+": ") {
				t.Fatalf("got %q, want place %q", first, tt.place)
			}
		})
	}
}

// growingUnits returns units that are each 10^18 times the previous one.
func growingUnits(n int) []Unit {
	units := make([]Unit, n)
	parent := BaseTime
	for i := range units {
		name := "u" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		units[i] = Unit{name, Time, "1000000000000000000 " + parent}
		parent = name
	}
	return units
}

// Guards against a check that stops at the first problem, and against a problem of a
// unit that is repeated for every contract that uses the unit.
func TestCompileListsAllProblems(t *testing.T) {
	bad := testContract()
	bad.AnswerTime, bad.MinimumCoverage, bad.UpstreamLoad = "1 broken", "2 whole", "0 slot"
	_, err := Compile([]Unit{{"broken", Time, "x"}}, []Contract{bad, bad})
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v, want an InvalidError", err)
	}
	const want = 1 + 2*2 + 1 // the unit, two fields of each contract, the name
	if len(invalid.Problems) != want {
		t.Errorf("got %d problems, want %d:\n%v", len(invalid.Problems), want, err)
	}
	for _, kind := range []error{ErrSyntax, ErrShareAboveOne, ErrNotPositive, ErrDuplicate} {
		if !errors.Is(err, kind) {
			t.Errorf("%v is missing from:\n%v", kind, err)
		}
	}
}

// Guards against conversions that round a time or a load above the exact value, or a
// number of parts below the exact share, for random chains of units.
func TestConversionIsSafe(t *testing.T) {
	const runs, parts = 2000, 620
	rng := rand.New(rand.NewPCG(1, 1))
	ratio := func() *big.Rat { return big.NewRat(1+rng.Int64N(1000), 1+rng.Int64N(1000)) }
	for range runs {
		a, b, q := ratio(), ratio(), ratio()
		share := big.NewRat(1, 1+rng.Int64N(1000))
		units := []Unit{{"b", Time, b.String() + " a"}, {"a", Time, a.String()}}
		c := Contract{Name: "c", Groups: []string{"g"}, AnswerTime: Quantity(q.String() + " b"),
			MinimumCoverage: Quantity(share.String() + " whole"), UpstreamLoad: Quantity(q.String() + " slot")}
		exact := new(big.Rat).Mul(a, b)
		exact.Mul(exact, q)
		possible := exact.Cmp(big.NewRat(600, 1)) <= 0 && exact.Cmp(big.NewRat(1, 1e9)) >= 0 && q.Cmp(big.NewRat(1, 1)) >= 0
		limits, err := Compile(units, []Contract{c})
		if (err == nil) != possible {
			t.Fatalf("%v with %v: possible is %v, got %v", c, units, possible, err)
		}
		if err != nil {
			continue
		}
		l := limits["c"]
		checkRounding(t, big.NewRat(int64(l.AnswerTime), int64(time.Second)), exact, big.NewRat(1, 1e9))
		checkRounding(t, big.NewRat(int64(l.UpstreamLoad), 1), q, big.NewRat(1, 1))
		checkRounding(t, new(big.Rat).Mul(share, big.NewRat(parts, 1)), big.NewRat(int64(l.MinimumParts(parts)), 1), big.NewRat(1, 1))
	}
}

// checkRounding fails unless low <= high < low + step.
func checkRounding(t *testing.T, low, high, step *big.Rat) {
	t.Helper()
	if low.Cmp(high) > 0 || new(big.Rat).Add(low, step).Cmp(high) <= 0 {
		t.Fatalf("%s is not rounded to %s", high, low)
	}
}
