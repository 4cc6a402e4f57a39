package capacity

import (
	"errors"
	"testing"
	"time"
)

func TestSet(t *testing.T) {
	size, design := ExpectedSize(), CurrentDesign()
	for _, err := range []error{
		size.Set("directors", "10"),
		size.Set("purge-within", "2s"),
		size.Set("purges-per-second", "0.5"),
		design.Set("relays", "4"),
	} {
		if err != nil {
			t.Error(err)
		}
	}
	if size.Directors != 10 || size.PurgeWithin != 2*time.Second || size.PurgesPerSecond != 0.5 || design.Relays != 4 {
		t.Errorf("%+v, %+v", size, design)
	}
	for _, c := range []struct {
		name  string
		value string
		want  error
	}{
		{"directors", "0", ErrInvalidSetting},
		{"directors", "x", ErrInvalidSetting},
		{"purge-within", "3", ErrInvalidSetting},
		{"director-cores", "NaN", ErrInvalidSetting},
		{"nothing", "1", ErrUnknownSetting},
	} {
		if err := size.Set(c.name, c.value); !errors.Is(err, c.want) {
			t.Errorf("%s = %s: %v, want %v", c.name, c.value, err, c.want)
		}
	}
}
