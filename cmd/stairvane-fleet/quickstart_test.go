package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestQuickStart runs the commands of the quick start in the README, unchanged and in order.
func TestQuickStart(t *testing.T) {
	out := quickStart(t, "quick start")
	for _, want := range []string{
		"apply 1 is done: 7 steps", "drain cache c-2 in west", "apply 2 is done: 5 steps",
		"this plan was carried out by apply 2; nothing changes", " 0 failed, 0 doubled, 0 lost", "c-5",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("the output does not contain %q\n%s", want, out)
		}
	}
}

// TestQuickStartOfReplicas runs the quick start with three replicas, one of which is killed.
func TestQuickStartOfReplicas(t *testing.T) {
	out := quickStart(t, "quick start of replicas")
	for _, want := range []string{
		"apply 1 is done: 7 steps", "3 replicas vote, all are up to date", "purged by event 8", "silent for ",
		"the group tolerates the loss of 1", " 0 failed, 0 doubled, 0 lost",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("the output does not contain %q\n%s", want, out)
		}
	}
}

// quickStart runs the commands in the README after a marker comment, and returns their standard output.
func quickStart(t *testing.T, mark string) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), "<!-- "+mark+" -->\n")
	block, _, ended := strings.Cut(rest, "<!-- end -->")
	if !found || !ended || strings.Count(block, "bin/stairvane") < 10 {
		t.Fatalf("README.md has no %s", mark)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bash", "-e", "-c", block)
	cmd.Dir = root
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	cmd.WaitDelay = 10 * time.Second
	if err := cmd.Run(); err != nil {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		t.Fatalf("%v\n%s\n%s", err, out.String(), log.String())
	}
	return out.String()
}
