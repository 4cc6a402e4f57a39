package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Guards against lines that a machine cannot parse, and a wrong variable that is ignored.
func TestForms(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "", "", false)
	if err != nil {
		t.Fatal(err)
	}
	l.Debug("not.shown")
	l.Info("watch.lost", "after", 7)
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil || line["msg"] != "watch.lost" || line["after"] != 7.0 {
		t.Errorf("%v: %s", err, b.String())
	}
	b.Reset()
	if l, err = New(&b, "", "debug", true); err != nil {
		t.Fatal(err)
	}
	l.Debug("attempt.withheld")
	if s := b.String(); !strings.Contains(s, "attempt.withheld") || strings.HasPrefix(s, "{") {
		t.Errorf("%q", s)
	}
	if _, err = New(&b, "xml", "", false); err == nil || !strings.Contains(err.Error(), FormVar) {
		t.Error(err)
	}
	if _, err = New(&b, "", "loud", false); err == nil || !strings.Contains(err.Error(), LevelVar) {
		t.Error(err)
	}
}
