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

// TestPausedDirectorSendsNothingByAStaleEndpointList guards against a director that routes by a
// stale endpoint list. A director is paused for longer than the maximum age of its endpoint list,
// and resumes with requests in its sockets. During the pause a cache was drained. Without a
// maximum age, the director sends these requests to the cache before it reads the watch events.
// With one, it must reject them with a Retry-After. The audit must report the director while it is
// behind.
func TestPausedDirectorSendsNothingByAStaleEndpointList(t *testing.T) {
	late := map[string]int{} // attempts at the drained cache more than 500 ms after the drain, by setting
	for _, forms := range []string{"", "(stragglers (behind-most 500ms))"} {
		cluster := startGroup(t, 3, 0)
		caches := startCaches(t, 5)
		before, after := desiredStates(caches)
		awaitApply(t, cluster, submitPlan(t, cluster, before))
		d, err := cluster.StartDirector("d-0", "west", 0, forms)
		check(t, err)
		t.Cleanup(d.Kill)
		awaitServing(t, d)
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		d.Signal(syscall.SIGSTOP)
		submitPlan(t, cluster, after)
		client, err := cluster.Client()
		check(t, err)
		var drained time.Time
		for end := time.Now().Add(waitTimeout); drained.IsZero() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			state, err := client.State()
			if err != nil {
				continue
			}
			for _, host := range state.Fleet.Hosts {
				if host.Name == "c-1" && host.State == fleet.Terminating {
					drained = time.Now()
				}
			}
		}
		if drained.IsZero() {
			t.Fatal("the cache is not drained")
		}
		for range 20 { // fewer than the maximum in flight on a connection
			check(t, c.SendRandom(200, 5*time.Second))
		}
		time.Sleep(1500 * time.Millisecond)
		state, err := client.State()
		check(t, err)
		last := fmt.Sprint(state.Fleet.Revision)
		audit := func(arguments ...string) *exec.Cmd {
			return exec.Command(fleetBinary, append(append([]string{"audit"}, arguments...), "--board", cluster.Addresses())...)
		}
		if out, err := audit("event", last).CombinedOutput(); err == nil || !strings.Contains(string(out), "not heard of since") {
			t.Errorf("the audit does not report the paused director for event %s: %v\n%s", last, err, out)
		}
		var reported struct {
			Odd []struct{ Director, Why string }
		}
		out, err := audit("versions", "--within", "500ms", "-o", "json").Output()
		if err == nil || json.Unmarshal(out, &reported) != nil {
			t.Errorf("the audit does not report a director that is behind: %s", out)
		}
		d.Signal(syscall.SIGCONT)
		tally := c.Finish(waitTimeout)
		time.Sleep(300 * time.Millisecond)
		var event adoption.Event
		out, err = audit("event", last, "-o", "json").Output()
		if err != nil || json.Unmarshal(out, &event) != nil || len(event.Applied) != 1 || event.LastMS < 500 {
			t.Errorf("the audit of event %s after the director resumed: %v\n%s", last, err, out)
		}
		if out, err := audit("event", "99999").CombinedOutput(); err == nil || !strings.Contains(string(out), "is not recorded") {
			t.Errorf("the audit of an event that does not exist: %v\n%s", err, out)
		}
		for _, attempt := range caches[1].Attempts() {
			if attempt.At.After(drained.Add(500 * time.Millisecond)) {
				late[forms]++
			}
		}
		t.Logf("%q: %d attempts at the drained cache after the director resumed; its requests: %+v; the audit reported %v",
			forms, late[forms], tally, reported.Odd)
		if tally.Lost+tally.Duplicated > 0 || tally.Served+tally.Rejected+tally.Failed != tally.Sent {
			t.Errorf("not every request got exactly one response: %+v", tally)
		}
		if forms != "" && (tally.Rejected == 0 || !strings.Contains(strings.Join(d.Log(), " "), "director.stale")) {
			t.Errorf("the director did not reject requests: %+v", tally)
		}
		cluster.Close()
	}
	if late[""] == 0 {
		t.Error("without a maximum age the drained cache got no attempts: the test can't detect the fault")
	}
	if n := late["(stragglers (behind-most 500ms))"]; n > 0 {
		t.Error(fmt.Sprint(n), "attempts were sent to the drained cache by a stale endpoint list")
	}
}
