package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Shape is what kind of curve the points lie on.
type Shape string

// The shapes.
const (
	Single Shape = "one size" // nothing can be said of others
	Flat   Shape = "flat"     // no growth beyond the spread of the runs
	Linear Shape = "linear"
	Power  Shape = "power" // cost = intercept + slope * size^exponent
)

// A curve counts as linear while the exponent that fits best is within exponentTolerance of 1, leaves more than muchNearer of the line's squared distances, or the line is nearEnough.
const (
	exponentTolerance = 0.15
	muchNearer        = 0.5
	nearEnough        = 0.01 // of a line: no other curve is looked for
	lowestExponent    = 0.1
	highestExponent   = 3.0
	exponentStep      = 0.01
	leastShare        = 1e-3
)

// Fit is a curve through the points of a series.
type Fit struct {
	Shape     Shape
	Intercept float64
	Slope     float64
	SlopeLow  float64 // of the seeds' own lines, the least steep
	SlopeHigh float64 // the steepest
	Seeds     int     // that have a line of their own
	Exponent  float64 // 1 for all but a power
	Residual  float64 // the largest distance of a run from the curve, as a share of the curve there

	seedLines         []line
	straight          line    // that a power was taken for
	smallest, largest float64 // sizes
	sizes             int
}

// line is a straight one.
type line struct{ intercept, slope float64 }

// FitSeries fits the points of a series. A run counts by its relative distance from the curve, so that small sizes count as much as large ones.
func FitSeries(points []Point) (*Fit, error) {
	if len(points) == 0 {
		return nil, fmt.Errorf("no points")
	}
	means := meansBySize(points)
	f := &Fit{Shape: Single, Intercept: means[0].Y, Exponent: 1, smallest: means[0].X, largest: means[len(means)-1].X, sizes: len(means)}
	if f.sizes > 1 {
		f.Shape = Linear
		f.Intercept, f.Slope = regression(points, 1)
		f.spreadOverSeeds(points)
		if isFlat(points, means) {
			f.Shape, f.Intercept, f.Slope = Flat, regressionMean(points), 0
		}
	}
	if f.Shape == Linear && f.sizes >= 3 && f.largestResidual(points) > nearEnough {
		f.checkExponent(points)
	}
	f.Residual = f.largestResidual(points)
	return f, nil
}

// At is the curve at a size, and never below 0.
func (f *Fit) At(x float64) float64 { return max(0, f.Intercept+f.Slope*math.Pow(x, f.Exponent)) }

// HighestAt is the highest of the curve and of the seeds' own lines at a size: a flat curve may hide a slope that shows further out.
func (f *Fit) HighestAt(x float64) float64 {
	highest := f.At(x)
	for _, l := range f.seedLines {
		highest = max(highest, l.intercept+l.slope*x)
	}
	return highest
}

// SizeAt is the size at which the curve reaches a cost; infinite where it never does, 0 where it is there from the start.
func (f *Fit) SizeAt(y float64) float64 {
	switch {
	case y <= f.At(0):
		return 0
	case f.Slope <= 0:
		return math.Inf(1)
	}
	return math.Pow((y-f.Intercept)/f.Slope, 1/f.Exponent)
}

// LineAt is the line that a power was taken for, at a size.
func (f *Fit) LineAt(x float64) float64 { return max(0, f.straight.intercept+f.straight.slope*x) }

// Covers tells whether the size was measured, rather than beyond those that were.
func (f *Fit) Covers(x float64) bool { return x >= f.smallest && x <= f.largest }

// meansBySize has a point for each size, with the mean of its runs.
func meansBySize(points []Point) (means []Point) {
	bySize := map[float64][]float64{}
	for _, p := range points {
		bySize[p.X] = append(bySize[p.X], p.Y)
	}
	for x, ys := range bySize {
		means = append(means, Point{X: x, Y: stat.Mean(ys, nil)})
	}
	slices.SortFunc(means, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	return means
}

func columns(points []Point) (xs, ys []float64) {
	for _, p := range points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
	}
	return xs, ys
}

// spreadOverSeeds fits a line to the runs of each seed.
func (f *Fit) spreadOverSeeds(points []Point) {
	bySeed := map[uint64][]Point{}
	for _, p := range points {
		bySeed[p.Seed] = append(bySeed[p.Seed], p)
	}
	f.SlopeLow, f.SlopeHigh = f.Slope, f.Slope
	for _, own := range bySeed {
		if len(meansBySize(own)) < 2 {
			continue
		}
		intercept, slope := regression(own, 1)
		f.SlopeLow, f.SlopeHigh = min(f.SlopeLow, slope), max(f.SlopeHigh, slope)
		f.seedLines = append(f.seedLines, line{intercept, slope})
		f.Seeds++
	}
}

// isFlat tells whether the growth over all sizes is no more than what runs of one size differ by.
func isFlat(points, means []Point) bool {
	spread := 0.0
	for _, m := range means {
		for _, p := range points {
			if p.X == m.X {
				spread = max(spread, math.Abs(p.Y-m.Y))
			}
		}
	}
	return math.Abs(means[len(means)-1].Y-means[0].Y) <= spread
}

// checkExponent takes the power that lies nearest to the points for the line, where its exponent is not near 1 and it is nearer by far.
func (f *Fit) checkExponent(points []Point) {
	linear := *f
	best, nearest := linear, linear.squares(points)
	for exponent := lowestExponent; exponent <= highestExponent; exponent += exponentStep {
		power := linear
		power.Shape, power.Exponent = Power, exponent
		power.Intercept, power.Slope = regression(points, exponent)
		if squares := power.squares(points); squares < nearest {
			best, nearest = power, squares
		}
	}
	if math.Abs(best.Exponent-1) > exponentTolerance && nearest < muchNearer*linear.squares(points) {
		*f = best
		f.straight = line{linear.Intercept, linear.Slope}
		f.seedLines = nil // their slopes are of lines
	}
}

// squares sums the squares of the runs' relative distances from the curve.
func (f *Fit) squares(points []Point) (sum float64) {
	for i, w := range weights(points) {
		distance := points[i].Y - f.At(points[i].X)
		sum += w * distance * distance
	}
	return sum
}

// regression fits y = intercept + slope * x^exponent.
func regression(points []Point, exponent float64) (intercept, slope float64) {
	xs, ys := columns(points)
	for i := range xs {
		xs[i] = math.Pow(xs[i], exponent)
	}
	return stat.LinearRegression(xs, ys, weights(points), false)
}

func regressionMean(points []Point) float64 {
	_, ys := columns(points)
	return stat.Mean(ys, nil)
}

// weights make distances relative; a cost far below the largest counts no more than one of leastShare.
func weights(points []Point) (list []float64) {
	largest := 0.0
	for _, p := range points {
		largest = max(largest, p.Y)
	}
	for _, p := range points {
		y := max(p.Y, leastShare*largest, math.SmallestNonzeroFloat32)
		list = append(list, 1/(y*y))
	}
	return list
}

// largestResidual is relative to the curve; runs where the curve is at 0 are left out.
func (f *Fit) largestResidual(points []Point) (largest float64) {
	for _, p := range points {
		if at := f.At(p.X); at > 0 {
			largest = max(largest, math.Abs(p.Y-at)/at)
		}
	}
	return largest
}
