package scale

import (
	"errors"
	"math"
)

const (
	linearShare   = 0.05 // residual of the line, as a share of the largest value, up to which values count as linear
	clearlyBetter = 0.5  // residual of the parabola, as a share of the line's, up to which a square term is seen
	sizesToJudge  = 4    // a parabola goes through any three points
)

// Shape is what the residuals tell of a law.
type Shape string

// Shapes. None says anything of sizes beyond the largest one that was measured.
const (
	Linear    Shape = "linear"    // the line's residual is at most a twentieth of the largest value
	Quadratic Shape = "quadratic" // it is more, and a positive square term halves it at least, over four sizes or more
	Unclear   Shape = "unclear"   // neither
)

// ErrTooFew is returned where there are fewer than three points of different sizes.
var ErrTooFew = errors.New("scale: a law needs three points of different sizes at least")

// Point is one measured value at a number of directors.
type Point struct {
	Directors float64 `json:"directors"`
	Value     float64 `json:"value"`
}

// Law is what least squares make of points: the line Constant + Slope x n, and the parabola
// QuadraticConstant + QuadraticSlope x n + Square x n^2, n being directors. Residuals are the root of the mean square of the
// differences between points and curve, in the unit of the values.
type Law struct {
	Points            []Point `json:"points"`
	Constant          float64 `json:"constant"`
	Slope             float64 `json:"slope"` // per director
	Residual          float64 `json:"residual"`
	QuadraticConstant float64 `json:"quadratic_constant"`
	QuadraticSlope    float64 `json:"quadratic_slope"`
	Square            float64 `json:"square"` // per director squared
	QuadraticResidual float64 `json:"quadratic_residual"`
	Shape             Shape   `json:"shape"`
}

// Fit finds the linear and the quadratic law of points by least squares. With three points the parabola goes through all of them,
// so that its residual says nothing.
func Fit(points []Point) (Law, error) {
	sizes := map[float64]bool{}
	largest, scale := 0.0, 0.0
	for _, p := range points {
		sizes[p.Directors] = true
		largest = max(largest, math.Abs(p.Value))
		scale = max(scale, math.Abs(p.Directors))
	}
	if len(sizes) < 3 {
		return Law{}, ErrTooFew
	}
	line := leastSquares(points, 1, scale)
	parabola := leastSquares(points, 2, scale)
	law := Law{
		Points:            points,
		Constant:          line[0],
		Slope:             line[1],
		Residual:          residual(points, line),
		QuadraticConstant: parabola[0],
		QuadraticSlope:    parabola[1],
		Square:            parabola[2],
		QuadraticResidual: residual(points, parabola),
	}
	switch {
	case law.Residual <= linearShare*largest:
		law.Shape = Linear
	case len(sizes) >= sizesToJudge && law.Square > 0 && law.QuadraticResidual <= clearlyBetter*law.Residual:
		law.Shape = Quadratic
	default:
		law.Shape = Unclear
	}
	return law, nil
}

// leastSquares is the polynomial of a degree that is nearest to the points, lowest coefficient first. Sizes are divided by scale
// while it computes, so that the powers stay near 1.
func leastSquares(points []Point, degree int, scale float64) []float64 {
	n := degree + 1
	matrix := make([][]float64, n) // normal equations, the right side in the last column
	for row := range matrix {
		matrix[row] = make([]float64, n+1)
	}
	for _, p := range points {
		x := p.Directors / scale
		for row := range n {
			for column := range n {
				matrix[row][column] += math.Pow(x, float64(row+column))
			}
			matrix[row][n] += math.Pow(x, float64(row)) * p.Value
		}
	}
	solve(matrix)
	coefficients := make([]float64, n)
	for i := range coefficients {
		coefficients[i] = matrix[i][n] / math.Pow(scale, float64(i))
	}
	return coefficients
}

// solve turns the last column of a system's rows into the solution, by elimination with the largest pivot.
func solve(rows [][]float64) {
	n := len(rows)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(rows[row][column]) > math.Abs(rows[pivot][column]) {
				pivot = row
			}
		}
		rows[column], rows[pivot] = rows[pivot], rows[column]
		for row := range n {
			if row == column {
				continue
			}
			factor := rows[row][column] / rows[column][column]
			for k := column; k <= n; k++ {
				rows[row][k] -= factor * rows[column][k]
			}
		}
	}
	for row := range n {
		rows[row][n] /= rows[row][row]
	}
}

func residual(points []Point, coefficients []float64) float64 {
	sum := 0.0
	for _, p := range points {
		value := 0.0
		for i, c := range coefficients {
			value += c * math.Pow(p.Directors, float64(i))
		}
		sum += (p.Value - value) * (p.Value - value)
	}
	return math.Sqrt(sum / float64(len(points)))
}
