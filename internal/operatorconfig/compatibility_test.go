package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/sexpr"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the compatibility of the operator's files: every key keeps its spelling and its meaning.
func TestGoldenEncoding(t *testing.T) {
	programs := []string{"../../deploy/stairvane.scm", "testdata/every-program-key.scm"}
	fleets := []string{"testdata/every-fleet-key.scm"}
	quickstart, err := filepath.Glob("../../deploy/quickstart/*.scm")
	if err != nil || len(quickstart) == 0 {
		t.Fatalf("found %d files of the quick start, %v", len(quickstart), err)
	}
	for _, path := range quickstart {
		switch name := filepath.Base(path); {
		case strings.HasPrefix(name, "fleet"):
			fleets = append(fleets, path)
		case name != "kinds.scm": // the fleet files include it
			programs = append(programs, path)
		}
	}
	for _, path := range programs {
		program, errors := ReadProgram(path, os.ReadFile)
		checkRead(t, path, errors, program)
	}
	for _, path := range fleets {
		desired, errors := ReadFleet(path, os.ReadFile)
		checkRead(t, path, errors, desired)
	}
}

func checkRead(t *testing.T, path string, errors sexpr.FileErrors, read any) {
	t.Helper()
	if len(errors) > 0 {
		t.Errorf("%s: %v", path, errors)
	}
	name := filepath.Base(filepath.Dir(path)) + "-" + strings.TrimSuffix(filepath.Base(path), ".scm")
	golden.Text(t, name+".txt", golden.Values(read))
}
