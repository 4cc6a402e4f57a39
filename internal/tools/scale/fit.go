package scale

import (
	"errors"
	"math"
)

const (
	linearShare       = 0.05 // largest residual of the line for a linear shape, as a share of the largest value
	quadraticShare    = 0.5  // largest residual of the parabola for a quadratic shape, as a share of the line's
	minQuadraticSizes = 4    // for a quadratic shape; a parabola passes through any three points
)

// Shape classifies a law by its residuals.
type Shape string

// Shapes. They hold only up to the largest size that was measured.
const (
	Linear    Shape = "linear"    // the line's residual is at most a twentieth of the largest value
	Quadratic Shape = "quadratic" // the line's residual is larger; a positive square term at least halves it, over at least four sizes
	Unclear   Shape = "unclear"   // neither
)

// ErrTooFewSizes is returned by Fit if the points have fewer than three different sizes.
var ErrTooFewSizes = errors.New("scale: a law needs points of at least three different sizes")

// Point is a value measured with a number of directors.
type Point struct {
	Directors float64 `json:"directors"`
	Value     float64 `json:"value"`
}

// Law holds two least-squares fits to points, where n is the number of directors: the line Constant + Slope x n, and the parabola
// QuadraticConstant + QuadraticSlope x n + Square x n^2. The residuals are the root mean squares of the differences between the
// points and the curve, in the unit of the values.
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

// Fit fits a line and a parabola to points by least squares. With three points the parabola passes through all of them, so its
// residual carries no information.
func Fit(points []Point) (Law, error) {
	sizes := map[float64]bool{}
	largest, scale := 0.0, 0.0
	for _, p := range points {
		sizes[p.Directors] = true
		largest = max(largest, math.Abs(p.Value))
		scale = max(scale, math.Abs(p.Directors))
	}
	if len(sizes) < 3 {
		return Law{}, ErrTooFewSizes
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
	case len(sizes) >= minQuadraticSizes && law.Square > 0 && law.QuadraticResidual <= quadraticShare*law.Residual:
		law.Shape = Quadratic
	default:
		law.Shape = Unclear
	}
	return law, nil
}

// leastSquares returns the coefficients of the least-squares polynomial of a degree, lowest power first. It divides the sizes by
// scale during the computation, so that their powers stay near 1.
func leastSquares(points []Point, degree int, scale float64) []float64 {
	n := degree + 1
	matrix := make([][]float64, n) // normal equations, with the right-hand side in the last column
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
	solveLinearSystem(matrix)
	coefficients := make([]float64, n)
	for i := range coefficients {
		coefficients[i] = matrix[i][n] / math.Pow(scale, float64(i))
	}
	return coefficients
}

// solveLinearSystem solves a linear system in place, by Gauss-Jordan elimination with partial pivoting. rows is the augmented matrix; its
// last column becomes the solution.
func solveLinearSystem(rows [][]float64) {
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
