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

// TestMeasureSlopes is a measurement that runs only on demand: with STAIRVANE_MEASURE=1 it measures all laws and writes them to
// docs/design/capacity-slopes.json, which keeps its laws from other sources. STAIRVANE_ONLY limits the measurement to laws whose
// names begin with its value. STAIRVANE_SLOPES is the path of another file to write to.
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
	prefix := os.Getenv("STAIRVANE_ONLY")
	sourceCommand := command
	if prefix != "" {
		sourceCommand = "STAIRVANE_ONLY=" + prefix + " " + command
	}
	for _, m := range All() {
		if !strings.HasPrefix(m.Name, prefix) {
			continue
		}
		start := time.Now()
		source := capacity.Source{
			Command: sourceCommand,
			At:      start.UTC().Truncate(time.Second),
			Machine: machine(),
		}
		law, err := m.Law(source)
		if err != nil {
			t.Error(err)
			continue
		}
		measured.Laws[law.Name] = law
		t.Logf("%-32s %v, in %v", law.Name, law.Points, time.Since(start).Round(time.Millisecond))
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
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return capacity.Measured{Laws: capacity.Laws{}}, nil
	}
	if err != nil {
		return capacity.Measured{}, err
	}
	return capacity.Read(bytes.NewReader(text))
}

// machine describes the machine: the number of cores, the one-minute load average and the Go version.
func machine() string {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	first, _, _ := strings.Cut(string(load), " ")
	return fmt.Sprintf("%d cores, load %s, %s", runtime.NumCPU(), first, runtime.Version())
}
