// Package slope fits measured costs against sizes: a straight line by least squares, and the exponent of a power law
// by least squares on the logarithms.
package slope

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"` // size
	Y float64 `json:"y"` // cost at that size
}

// Fit describes how cost grows with size. Over a wide range of sizes a constant part of the cost lowers Exponent, so
// TailExponent, taken from the two largest sizes alone, is the better guide to larger sizes.
type Fit struct {
	Slope        float64 `json:"slope"`      // slope of y = Intercept + Slope*x
	Intercept    float64 `json:"intercept"`  // cost that does not depend on size
	R2           float64 `json:"r2"`         // share of the variance of y that the line explains
	Exponent     float64 `json:"exponent"`   // exponent of y = c * x^Exponent, fitted to the points with x > 0 and y > 0
	LogR2        float64 `json:"log_r2"`     // share of the variance of log y that the power law explains
	TailExponent float64 `json:"end"`        // exponent between the two largest sizes with x > 0 and y > 0
	LogPoints    int     `json:"log_points"` // number of points with x > 0 and y > 0
	Sizes        int     `json:"sizes"`      // number of distinct x; with two, the line is exact and R2 means nothing
}

// ErrTooFewSizes is returned for points with fewer than two distinct sizes, which determine no slope.
var ErrTooFewSizes = errors.New("slope: fewer than two different sizes")

// FitPoints fits points, which may be in any order. Exponent, LogR2, TailExponent and LogPoints are 0 where fewer than
// two sizes have x > 0 and y > 0.
func FitPoints(points []Point) (Fit, error) {
	var f Fit
	var xs, ys, logXs, logYs []float64
	largest, second := Point{X: math.Inf(-1)}, Point{X: math.Inf(-1)}
	for _, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X, 0) || math.IsInf(p.Y, 0) {
			return f, fmt.Errorf("slope: the point (%v, %v) is not finite", p.X, p.Y)
		}
		xs, ys = append(xs, p.X), append(ys, p.Y)
		if p.X <= 0 || p.Y <= 0 {
			continue
		}
		logXs, logYs = append(logXs, math.Log(p.X)), append(logYs, math.Log(p.Y))
		if p.X > largest.X {
			largest, second = p, largest
		} else if p.X > second.X && p.X < largest.X {
			second = p
		}
	}
	if !varies(xs) {
		return f, ErrTooFewSizes
	}
	f.Sizes = countDistinct(xs)
	f.Intercept, f.Slope, f.R2 = linearFit(xs, ys)
	if varies(logXs) {
		f.LogPoints = len(logXs)
		_, f.Exponent, f.LogR2 = linearFit(logXs, logYs)
		f.TailExponent = math.Log(largest.Y/second.Y) / math.Log(largest.X/second.X)
	}
	return f, nil
}

// linearFit returns a least-squares fit. r² is 1 for constant ys, whose variance is zero.
func linearFit(xs, ys []float64) (intercept, slope, r2 float64) {
	intercept, slope = stat.LinearRegression(xs, ys, nil, false)
	if !varies(ys) {
		return intercept, slope, 1
	}
	return intercept, slope, stat.RSquared(xs, ys, nil, intercept, slope)
}

// countDistinct returns the number of distinct values.
func countDistinct(values []float64) int {
	seen := map[float64]bool{}
	for _, v := range values {
		seen[v] = true
	}
	return len(seen)
}

// varies reports whether the values are not all equal.
func varies(values []float64) bool {
	for _, v := range values {
		if v != values[0] {
			return true
		}
	}
	return false
}

// Series holds the points of one cost against one size.
type Series struct {
	Name   string  `json:"name"`
	X      string  `json:"x"` // meaning of the size, with its unit
	Y      string  `json:"y"` // meaning of the cost, with its unit
	Points []Point `json:"points"`
}

// Add appends a point.
func (s *Series) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// MarshalJSON writes the series with its fit, if it has one.
func (s Series) MarshalJSON() ([]byte, error) {
	type plain Series
	out := struct {
		plain
		Fit *Fit `json:"fit,omitempty"`
	}{plain: plain(s)}
	if f, err := FitPoints(s.Points); err == nil {
		out.Fit = &f
	}
	return json.Marshal(out)
}

// WriteMarkdown writes one table with a row for each series. Rows of two sizes omit r² and the fitted exponent, which
// need more sizes to mean anything.
func WriteMarkdown(w io.Writer, all []Series) error {
	text := "| measure | size x | cost y | slope | at 0 | r² | exponent (r²) | at the end | points x: y |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, s := range all {
		text += fmt.Sprintf("| %s | %s | %s | ", s.Name, s.X, s.Y)
		switch f, err := FitPoints(s.Points); {
		case err != nil:
			text += "- | - | - | - | - | "
		case f.Sizes == 2 && f.LogPoints == 0:
			text += fmt.Sprintf("%s | %s | - | - | - | ", formatFigure(f.Slope), formatFigure(f.Intercept))
		case f.Sizes == 2:
			text += fmt.Sprintf("%s | %s | - | - | %.2f | ", formatFigure(f.Slope), formatFigure(f.Intercept), f.TailExponent)
		case f.LogPoints == 0:
			text += fmt.Sprintf("%s | %s | %.3f | - | - | ", formatFigure(f.Slope), formatFigure(f.Intercept), f.R2)
		default:
			text += fmt.Sprintf("%s | %s | %.3f | %.2f (%.3f) | %.2f | ",
				formatFigure(f.Slope), formatFigure(f.Intercept), f.R2, f.Exponent, f.LogR2, f.TailExponent)
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, formatFigure(p.X)+": "+formatFigure(p.Y))
		}
		text += strings.Join(points, ", ") + " |\n"
	}
	_, err := io.WriteString(w, text)
	return err
}

// formatFigure formats v with three significant digits, and without decimals from 1000 on.
func formatFigure(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
