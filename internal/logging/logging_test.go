package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
)

// Guards against log lines that a collector can't parse: each line must be one JSON object whose msg is the event name alone.
func TestJSONFormat(t *testing.T) {
	var output bytes.Buffer
	logger, err := New(&output, "", "", false)
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug("not.shown")
	logger.Info("watch.lost", "after", 7)
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, output.String())
	}
	if line["msg"] != "watch.lost" || line["after"] != 7.0 {
		t.Errorf("line is %s", output.String())
	}
}

func TestTextFormat(t *testing.T) {
	var output bytes.Buffer
	logger, err := New(&output, "", "debug", true)
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug("attempt.withheld")
	if line := output.String(); !strings.Contains(line, "attempt.withheld") || strings.HasPrefix(line, "{") {
		t.Errorf("line is %q", line)
	}
}

func TestErrorNamesVariable(t *testing.T) {
	for _, c := range []struct {
		name     string
		format   string
		level    string
		variable string
	}{
		{name: "form", format: "xml", variable: FormatVar},
		{name: "level", level: "loud", variable: LevelVar},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(io.Discard, c.format, c.level, false)
			if err == nil || !strings.Contains(err.Error(), c.variable) {
				t.Errorf("error is %v, want one that names %s", err, c.variable)
			}
		})
	}
}
