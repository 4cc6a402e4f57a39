package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/controlplane"
	"stairvane.org/stairvane/internal/operatorconfig"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// call runs a command line, and returns its exit status and its output with that to standard error.
func call(args ...string) (status int, out string) {
	var o, e bytes.Buffer
	status = runCommand(args, &o, &e)
	return status, o.String() + e.String()
}

const desiredFleet = `(rules (cold (warm 0s)) (drain-settle 0s) (told-within 0s) (width 1))
(template box (class std) (share 4) (running))
(origin store (at 127.0.0.1:9) (site hub) (class origin) (share 40))
(location west (floor 4) (sources store)
  (cache c-1 (like box) (at 127.0.0.1:11))
  (cache c-2 (like box) (at 127.0.0.1:12))
  (cache c-3 (like box) (at 127.0.0.1:13)))
`

// TestStatusesAndRejections guards the exit statuses and the one-line message of each rejection, which are part of the interface of the
// commands.
func TestStatusesAndRejections(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	put := func(name, text string) string {
		t.Helper()
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path(name)
	}
	want := func(status int, line string, args ...string) {
		t.Helper()
		if got, out := call(args...); got != status || !strings.Contains(out, line) {
			t.Errorf("%v: %d, want %d and %q:\n%s", args, got, status, line, out)
		}
	}
	program := put("stairvane.scm", "(board (listen 127.0.0.1:0) (store board.db) (write (unix s)))")
	set, faults := operatorconfig.ReadProgram(program, os.ReadFile)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	t.Setenv("STAIRVANE_BOARD", "unix:"+path("s"))
	fleet := put("fleet.scm", desiredFleet)
	want(exitFailed, "board", "plan", fleet) // no control plane is running
	b, err := controlplane.New(set.ControlPlane, controlplane.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- b.Run() }()
	defer func() {
		b.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	want(exitChanges, "7 steps", "plan", "--wait", "10s", fleet, "--out", path("a.plan"))
	want(exitDone, "add cache c-1", "show", path("a.plan"))
	want(exitDone, `"kind": "add"`, "show", "-o", "json", path("a.plan"))
	want(exitDone, "apply 1 is done", "apply", path("a.plan"))
	want(exitDone, "carried out by apply 1; nothing changes", "apply", path("a.plan"))
	want(exitDone, "nothing to change", "plan", fleet)

	// The file is edited between plan and apply. Changes of comments and formatting alone do not make a plan stale.
	drained := strings.Replace(desiredFleet, "  (cache c-2 (like box) (at 127.0.0.1:12))\n", "", 1)
	put("fleet.scm", drained)
	want(exitChanges, "drain cache c-2", "plan", fleet, "--out", path("b.plan"))
	put("fleet.scm", desiredFleet)
	want(exitStale, "edited since", "apply", path("b.plan"))
	put("fleet.scm", "; a remark\n"+drained)

	// Another plan changes the observed state, which makes the older plan stale. The error names the change.
	put("other.scm", strings.Replace(drained, "(floor 4)", "(floor 3)", 1))
	want(exitChanges, "locate west: floor 3", "plan", path("other.scm"), "--out", path("c.plan"))
	want(exitDone, "is done", "apply", path("c.plan"))
	want(exitStale, "location west was floor 4", "apply", path("b.plan"))
	want(exitStale, `"thing": "location west"`, "apply", "-o", "json", path("b.plan"))

	// Orders to an apply that waits for a long step, and attempts to start another apply before it ends.
	slower := strings.Replace(drained, "(drain-settle 0s)", "(drain-settle 1h) (give-up 2h)", 1)
	put("slower.scm", strings.Replace(slower, "(floor 4)", "(floor 3)", 1))
	want(exitChanges, "set the rules", "plan", path("slower.scm"), "--out", path("d.plan"))
	want(exitDone, "is done", "apply", path("d.plan"))
	held := strings.Replace(strings.Replace(drained, "(drain-settle 0s)", "(drain-settle 1h) (give-up 2h)", 1), "(floor 4)", "(floor 0)", 1)
	put("held.scm", strings.Replace(held, "  (cache c-3 (like box) (at 127.0.0.1:13))", "", 1))
	want(exitChanges, "drain cache c-3", "plan", path("held.scm"), "--out", path("e.plan"))
	want(exitDone, "apply 4 is under way", "apply", "--detach", path("e.plan"))
	want(exitBusy, "apply 4 of this same plan by", "apply", path("e.plan"))
	want(exitBusy, "another apply is under way: apply 4 by", "apply", path("d.plan"))
	want(exitFailed, "not paused", "applies", "resume", "4")
	want(exitDone, "paused", "applies", "pause", "4")
	want(exitStopped, "apply 4 is paused", "applies", "show", "--follow", "4")
	want(exitBusy, "paused", "apply", path("d.plan"))
	want(exitDone, "running", "applies", "resume", "4")
	want(exitDone, "cancelled", "applies", "cancel", "4")
	want(exitFailed, "the apply has ended", "applies", "cancel", "4")
	want(exitFailed, "no such apply", "applies", "show", "77")
	want(exitChanges, "reverts to the state before apply 4", "revert", "4", "--out", path("f.plan"))
	want(exitDone, "is done", "apply", path("f.plan"))
	want(exitDone, "in_service  127.0.0.1:13", "world")
	want(exitDone, "no health reports on any cache", "signals")
	want(exitFailed, "no health reports on c-9", "signals", "c-9")

	// Damaged and newer plan files, impossible plans, and files that are malformed or not formatted.
	file, err := os.ReadFile(path("a.plan"))
	if err != nil {
		t.Fatal(err)
	}
	file[len(file)/2] ^= 1
	want(exitDamaged, "damaged", "apply", put("damaged.plan", string(file)))
	want(exitDamaged, "newer version", "show", put("newer.plan", "stairvane-plan 9 1 x\n"))
	put("low.scm", strings.Replace(desiredFleet, "(floor 4)", "(floor 9)", 1))
	want(exitFailed, "floor 9 can't be kept", "plan", path("low.scm"))
	put("swap.scm", strings.NewReplacer("(floor 4)", "(floor 5)", "c-1", "n-1", "c-2", "n-2", "c-3", "n-3").Replace(desiredFleet))
	want(exitFailed, "no order of steps keeps the constraints", "plan", path("swap.scm"))
	want(exitFailed, "unknown word", "validate", put("bad.scm", "(locatoin x)"))
	want(exitFailed, `did you mean "location"?`, "validate", path("bad.scm"))
	want(exitDone, path("fleet.scm"), "fmt", path("fleet.scm"))
	want(exitDone, "", "fmt", "--check", path("fleet.scm"))
	want(exitFailed, "(relay ...) is missing", "relay", program)
	withoutUpstream := put("relay.scm", "(relay (name r) (machine m) (site s) (region n) (listen 127.0.0.1:0))")
	want(exitFailed, "relay.upstream: missing", "validate", "--program", withoutUpstream)
	want(exitFailed, "unexpected", "aply")
	want(exitDone, "purged by event", "purge", "--group", "7")
	want(exitFailed, "not within 0 to 255", "purge", "--group", "700")
	if status, out := call("version"); status != 0 || !strings.Contains(out, "plan files of version 1") {
		t.Error(status, out)
	}
}

// TestEarlierSubCommandsAreAliases guards scripts that use the earlier names of the sub-commands.
func TestEarlierSubCommandsAreAliases(t *testing.T) {
	for earlier, name := range map[string]string{
		"board": "control-plane", "copies": "replicas", "roll": "members", "turns": "quotas", "signals": "health", "standin": "fake",
		"world": "state", "scale hollow": "scale simulated",
	} {
		status, help := call(append(strings.Fields(earlier), "--help")...)
		wantStatus, wantHelp := call(append(strings.Fields(name), "--help")...)
		if status != exitDone || status != wantStatus || help != wantHelp {
			t.Errorf("%s is not an alias of %s: status %d, %s", earlier, name, status, help)
		}
	}
}
