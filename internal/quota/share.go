// Package quota divides limits that directors share: leased parts of a rate, and turns that only so many may have at a time.
// The granter is the board's leader; holders are directors. A part counts for its holder from before it was asked for, and for
// the granter until after it was given, with a bound on how far clocks run apart, so that the sum of what is in force keeps
// the limit at each moment without agreeing clocks. The package is pure: beats, grants and the time come in.
package quota

import (
	"cmp"
	"slices"
)

// MaxMin divides a limit of 1 among demands (in parts of the limit): whoever wants less than an even part of what is left
// gets that, the others the same each; progressive filling. Each that wants anything gets the floor at least, as far as the
// limit goes. What nobody wants is divided evenly among those who want something, so that a demand that rises finds room.
func MaxMin(demands []float64, floor float64) []float64 {
	parts := make([]float64, len(demands))
	var order []int
	for i, d := range demands {
		if d > 0 {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return parts
	}
	floor = min(floor, 1/float64(len(order)))
	slices.SortFunc(order, func(a, b int) int {
		if c := cmp.Compare(demands[a], demands[b]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	left := 1.0
	for k, i := range order {
		even := left / float64(len(order)-k)
		parts[i] = min(max(demands[i], floor), even)
		left -= parts[i]
	}
	for _, i := range order {
		parts[i] += left / float64(len(order))
	}
	return parts
}
