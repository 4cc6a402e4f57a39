package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
)

// Environment variables of a child process: its mode, its folder, and the number of the kill point at which it kills itself.
const (
	childMode      = "STAIRVANE_TEST_CHILD"
	childFolder    = "STAIRVANE_TEST_FOLDER"
	childKillPoint = "STAIRVANE_TEST_KILL"
)

// runChildProcess runs a child process instead of the tests, and returns the exit status.
func runChildProcess(mode string) int {
	folder := os.Getenv(childFolder)
	kill, _ := strconv.Atoi(os.Getenv(childKillPoint))
	if mode == "fill" {
		return fillStoreAndDie(folder, kill)
	}
	passed := 0
	set := settingsIn(folder)
	options := Options{KillPoint: func(string) {
		if passed++; passed == kill {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}}
	var s *Server
	if mode == "apply" {
		set.SnapshotEvery, set.KeepEvents = 3, 2
		// The clock depends only on the revision, so that the event logs of two runs can be compared byte for byte.
		options.Clock = func() int64 {
			if s == nil {
				return 1_000_000
			}
			return 1_000_000 + s.store.Fleet().Revision
		}
	}
	var err error
	if s, err = New(set, options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	if mode != "serve" { // a child that serves is killed by its parent
		if err := applyInChild(s, folder); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		s.Stop()
	}
	if err := <-ended; err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("%x %d\n", s.store.Chain(), s.store.Fleet().Revision)
	return 0
}

// applyInChild applies two plans in sequence. A plan that was submitted before the kill is not submitted again.
func applyInChild(s *Server, folder string) error {
	c, err := api.NewClient("unix:"+filepath.Join(folder, "s"), "", api.Credentials{})
	if err != nil {
		return err
	}
	desired := []fleet.DesiredState{
		desiredState(rulesWithoutWaits(), cacheSpec(0, true), cacheSpec(1, true), cacheSpec(2, true)),
		desiredState(rulesWithoutWaits(), cacheSpec(0, true), cacheSpec(3, false), cacheSpec(4, false)),
	}
	for i, to := range desired {
		all, err := c.Applies()
		if err != nil {
			return err
		}
		if len(all) <= i {
			file, err := makePlan(c, to)
			if err != nil {
				return err
			}
			if _, err := c.Submit(file); err != nil {
				return err
			}
		}
		if err := waitUntilDone(c, int64(i+1)); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilDone waits until an apply is done. It returns an error if the apply stops with another status or does not stop within
// testTimeout.
func waitUntilDone(c *api.Client, id int64) error {
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		a, err := c.Apply(id)
		if err != nil || a.Status == apply.Done {
			return err
		}
		if a.Status != apply.Running || time.Now().After(end) {
			return notDone(a)
		}
	}
}

// childProcess returns the command for a child process that is killed when the test ends.
func childProcess(t *testing.T, mode, folder string, kill int) *exec.Cmd {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), childMode+"="+mode, childFolder+"="+folder, childKillPoint+"="+strconv.Itoa(kill))
	return cmd
}

// TestRecoveryAfterKillAtEveryWrite kills the server at each point where it is about to write, or has written and not yet answered.
// After a restart it must end with the same event log, byte for byte: no event is duplicated and none is missing.
func TestRecoveryAfterKillAtEveryWrite(t *testing.T) {
	run := func(folder string, kill int) (out []byte, killed bool) {
		t.Helper()
		cmd := childProcess(t, "apply", folder, kill)
		var errText bytes.Buffer
		cmd.Stderr = &errText
		out, err := cmd.Output()
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
			return nil, true
		}
		if err != nil {
			t.Fatalf("kill %d: %v: %s", kill, err, errText.String())
		}
		return out, false
	}
	want, _ := run(t.TempDir(), 0)
	kills := 0
	var wg sync.WaitGroup
	next := make(chan int)
	over := make(chan struct{})
	var once sync.Once
	for range 4 {
		wg.Go(func() {
			for kill := range next {
				folder, err := os.MkdirTemp("", "board")
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = os.RemoveAll(folder) }() // leftovers are in the system's temporary folder
				got, killed := run(folder, kill)
				if !killed {
					once.Do(func() { close(over) })
				} else if got, killed = run(folder, 0); killed {
					t.Error("the process was killed without a kill point")
				}
				if !bytes.Equal(got, want) {
					t.Errorf("killed at point %d: %s, not %s", kill, got, want)
				}
			}
		})
	}
	for kill := 1; ; kill++ {
		select {
		case next <- kill:
			kills = kill
			continue
		case <-over:
		}
		break
	}
	close(next)
	wg.Wait()
	t.Logf("%d kill points, event log %s", kills, want)
	if kills < 60 {
		t.Errorf("only %d kill points", kills)
	}
}
