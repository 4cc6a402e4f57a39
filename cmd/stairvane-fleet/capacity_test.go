package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/tools/capacity"
)

const slopes = "--slopes=../../docs/design/capacity-slopes.json"

// Guards against --size and --design values that do not reach the figures, and against accepting unknown names.
func TestCapacity(t *testing.T) {
	run := func(args ...string) (out string, status int) {
		var text, faults bytes.Buffer
		status = runCommand(append([]string{"capacity", slopes}, args...), &text, &faults)
		return text.String() + faults.String(), status
	}
	out, status := run("-o", "json", "--size", "directors=1000", "--design", "relays=11;replicas=5")
	var report capacityReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || status != exitDone {
		t.Fatalf("status %d, %v: %.200s", status, err, out)
	}
	machines := report.Figures[0]
	for _, f := range report.Figures {
		if f.Name == "machines of control" {
			machines = f
		}
	}
	if report.Size.Directors != 1000 || machines.Value != 16 || machines.Verdict != capacity.OverBudget {
		t.Errorf("%+v, %+v", report.Size, machines)
	}
	if out, status := run(); status != exitDone || !strings.Contains(out, "quota renewals with 8 limits") {
		t.Errorf("status %d: %.200s", status, out)
	}
	if out, status := run("--size", "boats=3"); status != exitFailed || !strings.Contains(out, "boats") {
		t.Errorf("status %d: %.200s", status, out)
	}
}

// Checks that --add merges a law of whole processes into the file of laws, and that its figure is then computed from the law.
func TestCapacityAddsLaws(t *testing.T) {
	folder := t.TempDir()
	laws, more := filepath.Join(folder, "laws.json"), filepath.Join(folder, "more.json")
	text, err := os.ReadFile("../../docs/design/capacity-slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	points := `{"laws":[{"name":"process.director.cores.with_relays","about":"a","x_unit":"director","unit":"cores",
		"points":[{"x":1,"y":2},{"x":2,"y":4},{"x":3,"y":6},{"x":4,"y":8},{"x":5,"y":10}],
		"source":{"command":"stairvane scale","at":"2026-12-02T05:00:00Z","machine":"m"}}]}`
	if err := errors.Join(os.WriteFile(laws, text, 0o600), os.WriteFile(more, []byte(points), 0o600)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if status := runCommand([]string{"capacity", "--slopes", laws, "--add", more}, &out, &out); status != exitDone || out.Len() > 0 {
		t.Fatalf("status %d: %s", status, out.String())
	}
	command := []string{"capacity", "--slopes", laws, "-o", "json", "--size", "directors=10"}
	if status := runCommand(command, &out, &out); status != exitDone {
		t.Fatalf("status %d: %s", status, out.String())
	}
	var report capacityReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Figures {
		if f.Name == "processor time of control, whole process, with relays, no cold cache" && f.Role == capacity.Director {
			if math.Abs(f.Value-20) > 1e-9 || f.Verdict != capacity.OverBudget || f.Terms[0].Beyond != 2 {
				t.Errorf("%+v", f)
			}
			return
		}
	}
	t.Error("the figure is missing")
}

// Checks that --write fills a page with empty tables so that it equals the committed page.
func TestCapacityWritesThePage(t *testing.T) {
	want, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var empty strings.Builder
	inside := false
	for line := range strings.Lines(string(want)) {
		if inside = inside && !strings.HasPrefix(line, "<!-- capacity end"); !inside {
			empty.WriteString(line)
		}
		inside = inside || strings.HasPrefix(line, "<!-- capacity: ")
	}
	path := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte(empty.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if status := runCommand([]string{"capacity", slopes, "--write", path}, &out, &out); status != exitDone {
		t.Fatalf("status %d: %s", status, out.String())
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if empty.Len() >= len(want) || !bytes.Equal(got, want) {
		t.Errorf("wrote %d bytes from a page of %d, want the %d bytes of the committed page", len(got), empty.Len(), len(want))
	}
}
