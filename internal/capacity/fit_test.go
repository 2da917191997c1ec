package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
)

// pointsOn draws three runs at each size from a curve, each off by a share that is drawn.
func pointsOn(curve func(x float64) float64, noise float64, sizes ...float64) (points []Point) {
	random := rand.New(rand.NewPCG(1, 2))
	for seed := uint64(1); seed <= 3; seed++ {
		for _, x := range sizes {
			points = append(points, Point{X: x, Y: curve(x) * (1 + noise*(2*random.Float64()-1)), Seed: seed})
		}
	}
	return points
}

func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) <= tolerance*math.Abs(want)) {
		t.Errorf("%s: %g, want %g within %g", what, got, want, tolerance)
	}
}

func TestFitLine(t *testing.T) {
	f, err := FitSeries(pointsOn(func(x float64) float64 { return 26e6 + 2400*x }, 0.01, 2000, 6000, 20_000, 60_000, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	if f.Shape != Linear || f.Seeds != 3 {
		t.Errorf("shape %s of %d seeds, want a line of 3", f.Shape, f.Seeds)
	}
	near(t, "slope", f.Slope, 2400, 0.03)
	near(t, "at 2.2 million", f.At(2.2e6), 5.306e9, 0.03)
	near(t, "32 MB", f.SizeAt(32e6), 2500, 0.7) // of an intercept that the noise of the largest moves
	if f.SlopeLow > f.Slope || f.SlopeHigh < f.Slope || f.SlopeHigh == f.SlopeLow {
		t.Errorf("slope %g is not between those of the seeds, %g and %g", f.Slope, f.SlopeLow, f.SlopeHigh)
	}
	if f.Residual <= 0 || f.Residual > 0.1 {
		t.Errorf("residual %g, want that of the noise", f.Residual)
	}
	if f.Covers(2.2e6) || !f.Covers(5000) {
		t.Error("only sizes between the smallest and the largest were measured")
	}
}

func TestFitPower(t *testing.T) {
	f, err := FitSeries(pointsOn(func(x float64) float64 { return 500 + 2*x*x }, 0.005, 10, 30, 90, 300))
	if err != nil {
		t.Fatal(err)
	}
	if f.Shape != Power {
		t.Fatalf("shape %s, want a power: a square is no line", f.Shape)
	}
	near(t, "exponent", f.Exponent, 2, 0.1)
	if line := f.LineAt(6800); line <= 0 || line >= f.At(6800) {
		t.Errorf("a line comes to %g at 6,800, and the square to %g", line, f.At(6800))
	}
	near(t, "size and back", f.At(f.SizeAt(1e6)), 1e6, 1e-6)
}

func TestFitFlat(t *testing.T) {
	f, err := FitSeries(pointsOn(func(float64) float64 { return 5e6 }, 0.02, 2000, 20_000, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	if f.Shape != Flat || !math.IsInf(f.SizeAt(32e6), 1) {
		t.Errorf("shape %s, 32 MB at %g: want a flat curve that never comes there", f.Shape, f.SizeAt(32e6))
	}
	near(t, "at any size", f.At(2.2e6), 5e6, 0.02)
	if f.HighestAt(2.2e6) < f.At(2.2e6) {
		t.Error("a seed's own line is above the flat one")
	}
}

func TestFitOneSize(t *testing.T) {
	f, err := FitSeries([]Point{{X: 100, Y: 7, Seed: 1}, {X: 100, Y: 9, Seed: 2}})
	if err != nil {
		t.Fatal(err)
	}
	if f.Shape != Single || f.At(100) != 8 || f.Covers(101) {
		t.Errorf("%+v: of one size there is its mean, and nothing of others", f)
	}
	if _, err := FitSeries(nil); err == nil {
		t.Error("a curve through no points")
	}
}

// TestFitNearEnough: a curve that bends by less than a hundredth counts as a line.
func TestFitNearEnough(t *testing.T) {
	f, err := FitSeries(pointsOn(func(x float64) float64 { return 330 + math.Pow(x, 0.3)/40 }, 0, 200_000, 600_000, 2_200_000))
	if err != nil {
		t.Fatal(err)
	}
	if f.Shape != Linear {
		t.Errorf("shape %s, exponent %g: want a line", f.Shape, f.Exponent)
	}
}
