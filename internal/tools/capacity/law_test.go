package capacity

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"
)

func newTestLaw(t *testing.T, name string, unit Unit, points []Point) Law {
	t.Helper()
	law, err := NewLaw(name, "", "x", unit, points, Source{Command: "c", At: time.Unix(1, 0).UTC()})
	if err != nil {
		t.Fatal(err)
	}
	return law
}

func TestFit(t *testing.T) {
	points := []Point{{1, 13}, {2, 15}, {3, 17}, {4, 19}, {5, 26}}
	law := newTestLaw(t, "l", Bytes, points)
	// The means are 3 and 18, the sum of products is 30 and the sum of squares 10. The last point is 2 above the line.
	if law.Slope != 3 || math.Abs(law.Constant-9) > 1e-9 || math.Abs(law.Residual-2) > 1e-9 {
		t.Errorf("constant %v, slope %v, residual %v", law.Constant, law.Slope, law.Residual)
	}
	if _, err := NewLaw("l", "", "x", Bytes, points[:4], Source{}); !errors.Is(err, ErrTooFewPoints) {
		t.Errorf("four points: %v", err)
	}
	if _, err := NewLaw("l", "", "x", Bytes, append(points[:4:4], points[0]), Source{}); !errors.Is(err, ErrTooFewPoints) {
		t.Errorf("four sizes: %v", err)
	}
}

// TestReadRejectsLawsThatDoNotMatchTheirPoints guards against a file whose laws were edited by hand: Read rejects a law that does
// not match its points, and ReadPoints fits it again.
func TestReadRejectsLawsThatDoNotMatchTheirPoints(t *testing.T) {
	law := newTestLaw(t, "l", Bytes, []Point{{1, 3}, {2, 5}, {3, 7}, {4, 9}, {5, 11}})
	for _, c := range []struct {
		name        string
		change      func(*Law)
		want        error // returned by Read; nil if it accepts the law
		isCorrected bool  // whether ReadPoints restores the original law
	}{
		{name: "unchanged", change: func(*Law) {}, isCorrected: true},
		{name: "slope", change: func(l *Law) { l.Slope *= 0.99 }, want: ErrNotFitted, isCorrected: true},
		{name: "constant", change: func(l *Law) { l.Constant += 0.1 }, want: ErrNotFitted, isCorrected: true},
		{name: "residual", change: func(l *Law) { l.Residual = 1 }, want: ErrNotFitted, isCorrected: true},
		{name: "points", change: func(l *Law) { l.Points = l.Points[:4] }, want: ErrTooFewPoints},
		{name: "source", change: func(l *Law) { l.Source.Command = "" }, want: ErrNoSource},
		{name: "no name", change: func(l *Law) { l.Name = "" }, want: ErrDuplicateLaw},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := law
			c.change(&changed)
			var text bytes.Buffer
			if err := (Measured{Laws: Laws{"l": changed}}).Write(&text); err != nil {
				t.Fatal(err)
			}
			if _, err := Read(bytes.NewReader(text.Bytes())); !errors.Is(err, c.want) {
				t.Errorf("Read: %v, want %v", err, c.want)
			}
			fitted, err := ReadPoints(bytes.NewReader(text.Bytes()))
			if isCorrected := err == nil && reflect.DeepEqual(fitted.Laws["l"], law); isCorrected != c.isCorrected {
				t.Errorf("ReadPoints: %+v, %v", fitted, err)
			}
		})
	}
}
