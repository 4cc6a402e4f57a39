package measure

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/capacity"
)

const (
	slopesFile = "../../../../docs/design/capacity-slopes.json"
	command    = "STAIRVANE_MEASURE=1 go test -run TestMeasureSlopes -v ./internal/tools/capacity/..."
)

// The points of all laws, by command alone: STAIRVANE_MEASURE=1 measures, and writes them to docs/design/capacity-slopes.json, where
// laws of other sources stay. STAIRVANE_ONLY takes laws whose names begin so; STAIRVANE_SLOPES writes to another file.
func TestMeasureSlopes(t *testing.T) {
	if os.Getenv("STAIRVANE_MEASURE") == "" {
		t.Skip("a measurement, by command: STAIRVANE_MEASURE=1")
	}
	path := slopesFile
	if other := os.Getenv("STAIRVANE_SLOPES"); other != "" {
		path = other
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	measured, err := readMeasured(path)
	if err != nil {
		t.Fatal(err)
	}
	only := os.Getenv("STAIRVANE_ONLY")
	source := command
	if only != "" {
		source = "STAIRVANE_ONLY=" + only + " " + command
	}
	for _, m := range All() {
		if !strings.HasPrefix(m.Name, only) {
			continue
		}
		begin := time.Now()
		law, err := m.Law(capacity.Source{Command: source, At: begin.UTC().Truncate(time.Second), Machine: machine()})
		if err != nil {
			t.Error(err)
			continue
		}
		measured.Laws[law.Name] = law
		t.Logf("%-32s %v, in %v", law.Name, law.Points, time.Since(begin).Round(time.Millisecond))
	}
	var out bytes.Buffer
	if err := measured.Write(&out); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readMeasured(path string) (capacity.Measured, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return capacity.Measured{Laws: capacity.Laws{}}, nil
	}
	if err != nil {
		return capacity.Measured{}, err
	}
	defer file.Close()
	return capacity.Read(file)
}

// machine is how many cores there are, and the load of the last minute.
func machine() string {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	first, _, _ := strings.Cut(string(load), " ")
	return fmt.Sprintf("%d cores, load %s, %s", runtime.NumCPU(), first, runtime.Version())
}
