package capacity

import "testing"

func TestQuantity(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  Unit
		want  string
	}{
		{1_234_567, Bytes, "1.23 MB"},
		{9000, BytesPerSecond, "9 kB/s"},
		{0.039, Cores, "0.039 cores"},
		{1.5e-6, Seconds, "1.5 us"},
		{5.3, Seconds, "5.3 s"},
		{-12, Bytes, "-12 B"},
		{0, Bytes, "0 B"},
	} {
		if got := formatQuantity(c.value, c.unit); got != c.want {
			t.Errorf("%v %s is %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}
