package replicas_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// A director is paused for longer than its news may be old, and wakes with requests in its sockets. Meanwhile a box was
// drained. Without the bound it sends to the box what it finds before the news; with it nothing, and its clients are told to
// come again. The audit names it while it is behind.
func TestPausedDirectorSendsNothingOnOldNews(t *testing.T) {
	late := map[string]int{}
	for _, forms := range []string{"", "(stragglers (behind-most 500ms))"} {
		s := group(t, 3, 0)
		boxes := startBoxes(t, 5)
		now, next := depot(boxes)
		applied(t, s, carryOut(t, s, now))
		d, err := s.StartDirector("d-0", "west", 0, forms)
		check(t, err)
		t.Cleanup(d.Kill)
		served(t, d)
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		d.Signal(syscall.SIGSTOP)
		carryOut(t, s, next)
		client, err := s.Client()
		check(t, err)
		var drained time.Time
		for end := time.Now().Add(patience); drained.IsZero() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			w, err := client.State()
			if err != nil {
				continue
			}
			for _, m := range w.Fleet.Hosts {
				if m.Name == "c-1" && m.State == fleet.Terminating {
					drained = time.Now()
				}
			}
		}
		if drained.IsZero() {
			t.Fatal("the box is not drained")
		}
		for range 20 { // fewer than one connection may have open
			check(t, c.Send(200, 5*time.Second))
		}
		time.Sleep(1500 * time.Millisecond)
		w, err := client.State()
		check(t, err)
		last := fmt.Sprint(w.Fleet.Revision)
		if out, err := exec.Command(program, "audit", "event", last, "--board", s.Addresses()).CombinedOutput(); err == nil || !strings.Contains(string(out), "not heard of since") {
			t.Errorf("the paused director is said to have taken event %s: %v\n%s", last, err, out)
		}
		var seen struct {
			Odd []struct{ Director, Why string }
		}
		out, err := exec.Command(program, "audit", "versions", "--within", "500ms", "-o", "json", "--board", s.Addresses()).Output()
		if err == nil || json.Unmarshal(out, &seen) != nil {
			t.Errorf("a director that is behind is not told: %s", out)
		}
		d.Signal(syscall.SIGCONT)
		tally := c.Finish(patience)
		time.Sleep(300 * time.Millisecond)
		var e adoption.Event
		out, err = exec.Command(program, "audit", "event", last, "-o", "json", "--board", s.Addresses()).Output()
		if err != nil || json.Unmarshal(out, &e) != nil || len(e.Taken) != 1 || e.LastMS < 500 {
			t.Errorf("the director that woke took event %s: %v\n%s", last, err, out)
		}
		if out, err := exec.Command(program, "audit", "event", "99999", "--board", s.Addresses()).CombinedOutput(); err == nil || !strings.Contains(string(out), "is not recorded") {
			t.Errorf("an event that there is not: %v\n%s", err, out)
		}
		for _, o := range boxes[1].Attempts() {
			if o.At.After(drained.Add(500 * time.Millisecond)) {
				late[forms]++
			}
		}
		t.Logf("%q: %d attempts at the drained box after it woke; its requests: %+v; the audit said %v", forms, late[forms], tally, seen.Odd)
		if tally.Lost+tally.Doubled > 0 || tally.Served+tally.Refused+tally.Failed != tally.Sent {
			t.Errorf("not one answer for each: %+v", tally)
		}
		if forms != "" && (tally.Refused == 0 || !strings.Contains(strings.Join(d.Log(), " "), "straggler.shut")) {
			t.Errorf("it did not shut itself out: %+v", tally)
		}
		s.Close()
	}
	if late[""] == 0 {
		t.Error("without the bound nothing came to the drained box: the test shows nothing")
	}
	if n := late["(stragglers (behind-most 500ms))"]; n > 0 {
		t.Error(fmt.Sprint(n), "attempts came to the drained box on news that were too old")
	}
}
