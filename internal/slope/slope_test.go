package slope

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
)

// points returns y = f(x) at several unsorted sizes.
func points(f func(x float64) float64) []Point {
	var out []Point
	for _, x := range []float64{300, 10, 2800, 100, 1000} {
		out = append(out, Point{x, f(x)})
	}
	return out
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

func TestFitOfALineIsExact(t *testing.T) {
	f, err := FitPoints(points(func(x float64) float64 { return 2 + 0.5*x }))
	if err != nil || !near(f.Slope, 0.5) || !near(f.Intercept, 2) || !near(f.R2, 1) {
		t.Errorf("fit %+v, error %v", f, err)
	}
	if !(f.Exponent < 1) || !(f.TailExponent > f.Exponent) || f.TailExponent > 1 {
		t.Errorf("%+v: want the exponents in the order Exponent < TailExponent <= 1, as a constant part lowers both", f)
	}
}

func TestFitOfAPowerLawIsExact(t *testing.T) {
	for _, e := range []float64{0.5, 1, 2, 3} {
		f, err := FitPoints(points(func(x float64) float64 { return 3 * math.Pow(x, e) }))
		if err != nil || !near(f.Exponent, e) || !near(f.TailExponent, e) || !near(f.LogR2, 1) || f.LogPoints != 5 {
			t.Errorf("exponent %v: fit %+v, error %v", e, f, err)
		}
	}
}

// The first data set of Anscombe's quartet has slope 0.500, intercept 3.00 and r² 0.667.
func TestFitOfScatteredPoints(t *testing.T) {
	f, err := FitPoints([]Point{{10, 8.04}, {8, 6.95}, {13, 7.58}, {9, 8.81}, {11, 8.33}, {14, 9.96}, {6, 7.24}, {4, 4.26},
		{12, 10.84}, {7, 4.82}, {5, 5.68}})
	if err != nil || math.Abs(f.Slope-0.5001) > 1e-4 || math.Abs(f.Intercept-3.0001) > 1e-4 || math.Abs(f.R2-0.6665) > 1e-4 {
		t.Errorf("fit %+v, error %v", f, err)
	}
}

func TestConstantCostHasNoSlope(t *testing.T) {
	f, err := FitPoints(points(func(float64) float64 { return 7 }))
	if err != nil || !near(f.Slope, 0) || !near(f.Intercept, 7) || f.R2 != 1 || !near(f.Exponent, 0) {
		t.Errorf("fit %+v, error %v", f, err)
	}
}

func TestExponentOmitsZeroAndNegativePoints(t *testing.T) {
	f, err := FitPoints([]Point{{0, 1}, {1, 3}, {2, 6}, {3, -1}})
	if err != nil || f.LogPoints != 2 || !near(f.Exponent, 1) {
		t.Errorf("fit %+v, error %v", f, err)
	}
	f, err = FitPoints([]Point{{0, 1}, {1, 3}})
	if err != nil || f.LogPoints != 0 || f.Exponent != 0 || f.Slope != 2 {
		t.Errorf("one positive size: fit %+v, error %v", f, err)
	}
}

func TestTooFewSizesAndNonFinitePointsAreErrors(t *testing.T) {
	for _, few := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		if _, err := FitPoints(few); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("%v: error %v", few, err)
		}
	}
	for _, bad := range []float64{math.NaN(), math.Inf(1)} {
		if _, err := FitPoints([]Point{{1, 2}, {2, bad}}); err == nil || !strings.Contains(err.Error(), "not finite") {
			t.Errorf("%v: error %v", bad, err)
		}
	}
}

func TestSeriesAreWrittenWithTheirFit(t *testing.T) {
	s := Series{Name: "call", X: "servers", Y: "µs"}
	s.Add(1, 3)
	s.Add(2, 5)
	s.Add(4, 9)
	text, err := json.Marshal([]Series{s, {Name: "none"}})
	if err != nil || !strings.Contains(string(text), `"slope":2,"intercept":1`) || strings.Count(string(text), `"fit"`) != 1 {
		t.Errorf("%s, %v", text, err)
	}
	var table strings.Builder
	two := Series{Name: "two", X: "servers", Y: "µs", Points: s.Points[:2]}
	zero := Series{Name: "zero", X: "servers", Y: "µs", Points: []Point{{0, 1}, {1, 3}}}
	err = WriteMarkdown(&table, []Series{s, {Name: "none"}, two, zero})
	lines := strings.Split(table.String(), "\n")
	if err != nil || len(lines) != 7 || !strings.HasPrefix(lines[2], "| call | servers | µs | 2 | 1 | 1.000 | 0.79") ||
		!strings.HasSuffix(lines[2], "| 1: 3, 2: 5, 4: 9 |") || lines[4] != "| two | servers | µs | 2 | 1 | - | - | 0.74 | 1: 3, 2: 5 |" ||
		lines[5] != "| zero | servers | µs | 2 | 1 | - | - | - | 0: 1, 1: 3 |" {
		t.Errorf("%q, %v", lines, err)
	}
	for i, l := range lines[:6] {
		if strings.Count(l, "|") != 10 {
			t.Errorf("line %d has %d column separators: %q", i, strings.Count(l, "|"), l)
		}
	}
}
