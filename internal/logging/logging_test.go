package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// A machine reads one JSON object a line; the event's name stands alone in msg.
func TestForms(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "", "", false)
	if err != nil {
		t.Fatal(err)
	}
	l.Debug("not.shown")
	l.Info("bulletin.lost", "after", 7)
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil || line["msg"] != "bulletin.lost" || line["after"] != 7.0 {
		t.Errorf("%v: %s", err, b.String())
	}
	b.Reset()
	if l, err = New(&b, "", "debug", true); err != nil {
		t.Fatal(err)
	}
	l.Debug("attempt.not_sent")
	if s := b.String(); !strings.Contains(s, "attempt.not_sent") || strings.HasPrefix(s, "{") {
		t.Errorf("%q", s)
	}
	if _, err = New(&b, "xml", "", false); err == nil || !strings.Contains(err.Error(), FormVar) {
		t.Error(err)
	}
	if _, err = New(&b, "", "loud", false); err == nil || !strings.Contains(err.Error(), LevelVar) {
		t.Error(err)
	}
}
