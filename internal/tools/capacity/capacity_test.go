package capacity

import (
	"bytes"
	"errors"
	"math"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"testing"
	"time"
)

const root = "../../../"

func TestFit(t *testing.T) {
	source := Source{Command: "c", At: time.Unix(1, 0)}
	points := []Point{{1, 13}, {2, 15}, {3, 17}, {4, 19}, {5, 26}}
	l, err := NewLaw("l", "", "x", Bytes, points, source)
	if err != nil {
		t.Fatal(err)
	}
	// By hand: the means are 3 and 18, the sum of products 30, that of squares 10; the last point is 2 over its line.
	if l.Slope != 3 || math.Abs(l.Constant-9) > 1e-9 || math.Abs(l.Residual-2) > 1e-9 {
		t.Errorf("constant %v, slope %v, residual %v", l.Constant, l.Slope, l.Residual)
	}
	if _, err := NewLaw("l", "", "x", Bytes, points[:4], source); !errors.Is(err, ErrPoints) {
		t.Errorf("four points: %v", err)
	}
	if _, err := NewLaw("l", "", "x", Bytes, append(points[:4:4], points[0]), source); !errors.Is(err, ErrPoints) {
		t.Errorf("four sizes: %v", err)
	}
}

func TestReadRefusesWhatPointsDoNotGive(t *testing.T) {
	law, err := NewLaw("l", "", "x", Bytes, []Point{{1, 3}, {2, 5}, {3, 7}, {4, 9}, {5, 11}}, Source{Command: "c", At: time.Unix(1, 0).UTC()})
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Law){
		"as it is": func(*Law) {},
		"slope":    func(l *Law) { l.Slope *= 0.99 },
		"constant": func(l *Law) { l.Constant += 0.1 },
		"residual": func(l *Law) { l.Residual = 1 },
		"points":   func(l *Law) { l.Points = l.Points[:4] },
		"source":   func(l *Law) { l.Source.Command = "" },
		"unnamed":  func(l *Law) { l.Name = "" },
	} {
		changed := law
		change(&changed)
		var text bytes.Buffer
		if err := (Measured{Laws: Laws{"l": changed}}).Write(&text); err != nil {
			t.Fatal(err)
		}
		again := bytes.NewReader(text.Bytes())
		if _, err := Read(&text); (err == nil) != (name == "as it is") {
			t.Errorf("%s: %v", name, err)
		}
		fitted, err := ReadPoints(again) // which takes anything but points and source from the points
		if same := err == nil && reflect.DeepEqual(fitted.Laws["l"], law); same == (name == "points" || name == "source" || name == "unnamed") {
			t.Errorf("%s, fitted anew: %+v, %v", name, fitted, err)
		}
	}
}

// Each verdict comes out, and a law that is read beyond its points is marked.
func TestVerdicts(t *testing.T) {
	law, err := NewLaw("process.director.cores.without_relays", "", "director", Cores, []Point{{100, 0.01}, {200, 0.02}, {300, 0.03}, {400, 0.04}, {500, 0.05}},
		Source{Command: "c", At: time.Unix(1, 0)})
	if err != nil {
		t.Fatal(err)
	}
	find := func(size Size, laws Laws, rows ...Row) Figure {
		for _, f := range Table(size, Current(), Measured{Laws: laws, Rows: rows}) {
			if f.Name == "processor time of control, whole process, without relays, no cold cache" {
				return f
			}
		}
		t.Fatal("the figure is not there")
		return Figure{}
	}
	small, large := Operators(), Operators()
	small.Directors, large.Directors = 250, 1000
	if f := find(small, Laws{law.Name: law}); f.Verdict != Kept || f.Terms[0].Beyond != 0 {
		t.Errorf("250 directors: %+v", f)
	}
	f := find(large, Laws{law.Name: law})
	if f.Verdict != Broken || f.Terms[0].Beyond != 2 || math.Abs(f.Times()-0.1/0.039) > 1e-9 {
		t.Errorf("1,000 directors: %+v", f)
	}
	fell := Row{Directors: 600, Collapsed: []string{"directors lost their leases"}}
	if f := find(large, Laws{law.Name: law}, fell); f.Verdict != Collapsed || f.CollapsedAt != 600 || f.Times() != 0 {
		t.Errorf("1,000 directors, where 600 collapsed: %+v", f)
	}
	held := Row{Directors: 1002}
	if f := find(large, Laws{law.Name: law}, fell, held); f.Verdict != Broken {
		t.Errorf("1,000 directors, where 1,002 held: %+v", f)
	}
	if held.Directors = 900; find(large, Laws{law.Name: law}, held, fell).Verdict != Collapsed {
		t.Error("1,000 directors, where 600 collapsed and 900 held")
	}
	relayed, cold, faulty := fell, fell, fell
	relayed.Relays, cold.ColdCaches, faulty.Fault = 9, 8, "kill-leader"
	if f := find(large, Laws{law.Name: law}, relayed, cold, faulty); f.Verdict != Broken {
		t.Errorf("where 600 with relays, with cold caches or with a fault collapsed: %+v", f)
	}
	if f := find(small, Laws{law.Name: law}, fell); f.Verdict != Kept {
		t.Errorf("250 directors, where 600 collapsed: %+v", f)
	}
	if f := find(small, Laws{law.Name: law}); f.Terms[0].Measured != 0 {
		t.Errorf("250 directors were not measured: %+v", f)
	}
	alone := Row{File: "run.json", Replicas: 3, Directors: 1002, DirectorCores: 0.02}
	if f := find(large, Laws{}, alone); f.Verdict != Kept || f.Value != 0.02 || f.Terms[0].Row != "run.json" {
		t.Errorf("1,000 directors as measured at 1,002, without a law: %+v", f)
	}
	if f := find(small, Laws{}, alone); f.Verdict != NotMeasured {
		t.Errorf("250 directors, where 1,002 were measured, without a law: %+v", f)
	}
	measured := Operators()
	measured.Directors = 301
	if f := find(measured, Laws{law.Name: law}); f.Terms[0].Measured != 0.03 {
		t.Errorf("301 directors are 300 as they were measured: %+v", f)
	}
	if f := find(large, Laws{}); f.Verdict != NotMeasured || f.Value != 0 || len(BrokenFirst([]Figure{f})) != 0 {
		t.Errorf("without a law: %+v", f)
	}
}

// The design's values are those of the program's constants.
func TestDesignIsTheProgram(t *testing.T) {
	d := Current()
	milliseconds := func(t time.Duration) string { return strconv.FormatInt(t.Milliseconds(), 10) }
	for _, x := range []struct{ file, pattern, value string }{
		{"internal/operatorconfig/relay.go", `Gather: +(\d+) \* time.Millisecond`, milliseconds(d.RelayGather)},
		{"internal/director/timing.go", `announcedPatience = (\d+) \* time.Millisecond`, milliseconds(d.WatchPatience)},
		{"internal/director/timing.go", `RetryMax: +(\d+) \* time.Millisecond, // while`, milliseconds(d.ReconnectRetry)},
		{"internal/director/timing.go", `watchRetrySpread = (\d+) \* time.Microsecond`, strconv.FormatInt(d.ReconnectSpread.Microseconds(), 10)},
		{"internal/director/timing.go", `SpreadMax: (\d+) \* time.Millisecond`, milliseconds(d.ReconnectSpreadMax)},
		{"internal/operatorconfig/control_plane.go", `defaultKeepEvents += (\d+)_000`, strconv.Itoa(d.HistoryKept / 1000)},
		{"internal/operatorconfig/control_plane.go", `defaultReplicaLease += (\d+) \* time.Millisecond`, milliseconds(d.ReplicaLease)},
		{"internal/controlplane/membership.go", `adoptionKept = (\d+)`, strconv.Itoa(d.AdoptionKept)},
		{"internal/controlplane/membership.go", `rollEvery += (\d+) \* time.Millisecond`, milliseconds(d.TickEvery)},
		{"internal/controlplane/membership.go", `rollGather += (\d+) \* time.Millisecond`, milliseconds(d.GatherEvery)},
		{"internal/health/tell.go", `evidenceEvery = (\d+) \* time.Millisecond`, milliseconds(d.HealthEvery)},
		{"internal/health/signals.go", `foundFor += (\d+) \* time.Millisecond`, milliseconds(d.HealthFoundEvery)},
		{"internal/health/signals.go", `foundEach = (\d+) \* time.Microsecond`, strconv.FormatInt(d.HealthFoundEach.Microseconds(), 10)},
		{"internal/fleet/event.go", `PurgeKeepMS = (\d+) \* 60 \* 1000`, strconv.Itoa(int(d.PurgeKept.Minutes()))},
		{"internal/protocol/discovery/bulletin.go", `maxBody = (\d+) << 20`, strconv.Itoa(int(d.LargestAnswer) >> 20)},
	} {
		text, err := os.ReadFile(root + x.file)
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(x.pattern).FindStringSubmatch(string(text))
		if found == nil || found[1] != x.value {
			t.Errorf("%s: %s is %v, the design has %s", x.file, x.pattern, found, x.value)
		}
	}
}

// A relay that gathers for as long as a call lasts has each director call once in that time; one that does not gather, with each event.
func TestCallsPerSecond(t *testing.T) {
	c := &calculation{Size: Operators(), Design: Current()}
	events := c.eventsPerSecond()
	patience := c.WatchPatience.Seconds()
	for gather, want := range map[time.Duration]float64{
		0:                      events / (1 - math.Exp(-events*patience)),
		100 * time.Millisecond: 10,
		200 * time.Millisecond: 10,
	} {
		if got := c.callsPerSecond(gather); math.Abs(got-want) > 1e-9 {
			t.Errorf("gathering for %v: %v calls a second, not %v", gather, got, want)
		}
	}
	if some := c.callsPerSecond(50 * time.Millisecond); some <= 10 || some >= c.callsPerSecond(0) {
		t.Errorf("gathering for 50 ms: %v calls a second", some)
	}
}

func TestSet(t *testing.T) {
	size, design := Operators(), Current()
	for _, err := range []error{size.Set("directors", "10"), size.Set("purge-within", "2s"), size.Set("purges-per-second", "0.5"), design.Set("relays", "4")} {
		if err != nil {
			t.Error(err)
		}
	}
	if size.Directors != 10 || size.PurgeWithin != 2*time.Second || size.PurgesPerSecond != 0.5 || design.Relays != 4 {
		t.Errorf("%+v, %+v", size, design)
	}
	for _, x := range [][2]string{{"directors", "0"}, {"directors", "x"}, {"purge-within", "3"}, {"nothing", "1"}} {
		if size.Set(x[0], x[1]) == nil {
			t.Errorf("%v is taken", x)
		}
	}
}

func TestQuantity(t *testing.T) {
	for want, got := range map[string]string{
		"1.23 MB": quantity(1_234_567, Bytes), "9 kB/s": quantity(9000, BytesPerSecond), "0.039 cores": quantity(0.039, Cores),
		"1.5 us": quantity(1.5e-6, Seconds), "5.3 s": quantity(5.3, Seconds), "-12 B": quantity(-12, Bytes), "0 B": quantity(0, Bytes),
	} {
		if got != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
}
