package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// maxMin divides a limit of 1 among demands, with a floor for each. Other tests compare granted shares with its result.
func maxMin(demands []float64, floor float64) []float64 {
	groups := make([]Group, len(demands))
	for i, demand := range demands {
		groups[i] = Group{demand, 1}
	}
	d := divide(groups, 1, floor)
	shares := make([]float64, len(demands))
	for i, demand := range demands {
		shares[i] = d.shareOf([]Group{{demand, 1}})
	}
	return shares
}

// TestDivideIsMaxMinFair checks that no holder gets less than its demand while another gets more than both that share and its own demand,
// and that the shares add up to the limit.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 30).Draw(t, "demands")
		floor := 0.1 / float64(len(demands))
		shares := maxMin(demands, floor)
		sum, wants := 0.0, 0
		for i, p := range shares {
			sum += p
			if demands[i] > 0 {
				wants++
			} else if p != 0 {
				t.Fatalf("%v: a holder without demand gets %v", demands, p)
			}
			for j := range shares {
				if demands[i] > p+1e-9 && shares[j] > p+1e-9 && demands[j] > 0 && shares[j] > max(demands[j], floor)+1e-9 {
					t.Fatalf("%v: a demand of %v gets only %v, while a demand of %v gets %v", demands, demands[i], p, demands[j], shares[j])
				}
			}
		}
		if wants > 0 && (sum > 1+1e-9 || sum < 1-1e-9) {
			t.Fatalf("%v: %v adds up to %v", demands, shares, sum)
		}
	})
}
