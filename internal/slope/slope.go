// Package slope fits what something costs against its size: a straight line by least squares, and the exponent of a
// power law by the same on logarithms.
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

// Point is one measured figure.
type Point struct {
	X float64 `json:"x"` // size
	Y float64 `json:"y"` // cost at that size
}

// Fit tells how cost follows size. Over a wide range of sizes a constant part hides in the exponent; End, that of the
// two largest sizes alone, tells best what happens beyond them.
type Fit struct {
	Slope     float64 `json:"slope"`     // of y = Intercept + Slope*x
	Intercept float64 `json:"intercept"` // the part that does not follow size
	R2        float64 `json:"r2"`        // share of the variance of y that the line explains
	Exponent  float64 `json:"exponent"`  // of y = c * x^Exponent, fitted to the points with x > 0 and y > 0
	LogR2     float64 `json:"log_r2"`    // the same share, of log y
	End       float64 `json:"end"`       // exponent between the two largest of those sizes
	LogPoints int     `json:"log_points"`
	Sizes     int     `json:"sizes"` // different x: through two of them a line always goes, with an r² that tells nothing
}

// ErrPoints says that there are too few sizes to tell a slope.
var ErrPoints = errors.New("slope: under two different sizes")

// Of fits points, in any order. Exponent, LogR2 and End are 0 where fewer than two sizes have x > 0 and y > 0.
func Of(points []Point) (Fit, error) {
	var f Fit
	var xs, ys, logXs, logYs []float64
	last, before := Point{X: math.Inf(-1)}, Point{X: math.Inf(-1)}
	for _, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X, 0) || math.IsInf(p.Y, 0) {
			return f, fmt.Errorf("slope: the point (%v, %v) is no number", p.X, p.Y)
		}
		xs, ys = append(xs, p.X), append(ys, p.Y)
		if p.X <= 0 || p.Y <= 0 {
			continue
		}
		logXs, logYs = append(logXs, math.Log(p.X)), append(logYs, math.Log(p.Y))
		if p.X > last.X {
			last, before = p, last
		} else if p.X > before.X && p.X < last.X {
			before = p
		}
	}
	if !differ(xs) {
		return f, ErrPoints
	}
	f.Sizes = count(xs)
	f.Intercept, f.Slope, f.R2 = line(xs, ys)
	if differ(logXs) {
		f.LogPoints = len(logXs)
		_, f.Exponent, f.LogR2 = line(logXs, logYs)
		f.End = math.Log(last.Y/before.Y) / math.Log(last.X/before.X)
	}
	return f, nil
}

// line is a least-squares fit. One that leaves nothing unexplained, as of constant costs, has r² = 1.
func line(xs, ys []float64) (intercept, slope, r2 float64) {
	intercept, slope = stat.LinearRegression(xs, ys, nil, false)
	if !differ(ys) {
		return intercept, slope, 1
	}
	return intercept, slope, stat.RSquared(xs, ys, nil, intercept, slope)
}

func count(values []float64) int {
	seen := map[float64]bool{}
	for _, v := range values {
		seen[v] = true
	}
	return len(seen)
}

func differ(values []float64) bool {
	for _, v := range values {
		if v != values[0] {
			return true
		}
	}
	return false
}

// Series is the points of one cost against one size.
type Series struct {
	Name   string  `json:"name"`
	X      string  `json:"x"` // what the size is, with its unit
	Y      string  `json:"y"` // what the cost is, with its unit
	Points []Point `json:"points"`
}

// Add appends a point.
func (s *Series) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// MarshalJSON adds the fit, where there is one.
func (s Series) MarshalJSON() ([]byte, error) {
	type plain Series
	out := struct {
		plain
		Fit *Fit `json:"fit,omitempty"`
	}{plain: plain(s)}
	if f, err := Of(s.Points); err == nil {
		out.Fit = &f
	}
	return json.Marshal(out)
}

// Markdown writes one table of all series, a line each. Of two sizes it leaves out what only more can tell.
func Markdown(w io.Writer, all []Series) error {
	text := "| measure | size x | cost y | slope | at 0 | r² | exponent (r²) | at the end | points x: y |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, s := range all {
		text += fmt.Sprintf("| %s | %s | %s | ", s.Name, s.X, s.Y)
		switch f, err := Of(s.Points); {
		case err != nil:
			text += "- | - | - | - | - | "
		case f.Sizes == 2 && f.LogPoints == 0:
			text += fmt.Sprintf("%s | %s | - | - | - | ", short(f.Slope), short(f.Intercept))
		case f.Sizes == 2:
			text += fmt.Sprintf("%s | %s | - | - | %.2f | ", short(f.Slope), short(f.Intercept), f.End)
		case f.LogPoints == 0:
			text += fmt.Sprintf("%s | %s | %.3f | - | - | ", short(f.Slope), short(f.Intercept), f.R2)
		default:
			text += fmt.Sprintf("%s | %s | %.3f | %.2f (%.3f) | %.2f | ",
				short(f.Slope), short(f.Intercept), f.R2, f.Exponent, f.LogR2, f.End)
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, short(p.X)+": "+short(p.Y))
		}
		text += strings.Join(points, ", ") + " |\n"
	}
	_, err := io.WriteString(w, text)
	return err
}

// short writes a figure with three digits that count; large ones whole.
func short(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
