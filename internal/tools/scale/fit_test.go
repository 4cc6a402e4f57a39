package scale

import (
	"errors"
	"math"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(a), math.Abs(b)) }

func TestFitRecoversCoefficients(t *testing.T) {
	for _, square := range []float64{0, 3e-7, 2e-6} {
		var points []Point
		for _, n := range []float64{100, 200, 400, 800, 1600} {
			points = append(points, Point{Directors: n, Value: 0.04 + 0.001*n + square*n*n})
		}
		law, err := Fit(points)
		if err != nil {
			t.Fatal(err)
		}
		found := almostEqual(law.QuadraticConstant, 0.04) && almostEqual(law.QuadraticSlope, 0.001) && almostEqual(law.Square, square)
		if !found || law.QuadraticResidual > 1e-9 {
			t.Errorf("square %g: %+v", square, law)
		}
		if straight := almostEqual(law.Constant, 0.04) && almostEqual(law.Slope, 0.001) && law.Residual < 1e-9; straight != (square == 0) {
			t.Errorf("square %g: line %+v", square, law)
		}
		want := Linear
		if square > 1e-6 {
			want = Quadratic
		}
		if law.Shape != want {
			t.Errorf("square %g: %s with residuals of %g and %g", square, law.Shape, law.Residual, law.QuadraticResidual)
		}
	}
}

func TestFitReportsUnclearShapes(t *testing.T) {
	for name, points := range map[string][]Point{
		"three sizes": {{100, 1}, {200, 4}, {300, 9}},
		"noise":       {{100, 1}, {200, 3}, {300, 1}, {400, 3}, {500, 1}},
		"falling":     {{100, 25}, {200, 24}, {300, 19}, {400, 10}, {500, -3}},
	} {
		if law, err := Fit(points); err != nil || law.Shape != Unclear {
			t.Errorf("%s: %+v, %v", name, law, err)
		}
	}
}

func TestFitRejectsTooFewSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{100, 1}, {200, 2}}, {{100, 1}, {200, 2}, {200, 3}}} {
		if _, err := Fit(points); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("%v: %v", points, err)
		}
	}
}
