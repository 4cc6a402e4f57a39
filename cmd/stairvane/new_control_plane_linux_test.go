package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// freeAddress returns an address on which nothing listens at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}

// standaloneControlPlane starts a control plane with a store of its own at an address. stop ends it.
func standaloneControlPlane(t *testing.T, address string) (purge func(group int), stop func()) {
	t.Helper()
	folder := t.TempDir()
	settings := filepath.Join(folder, "board.scm")
	text := fmt.Sprintf("(board (listen %s) (store board.db) (write (unix board.sock)))\n", address)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program := directorBinary(t)
	cmd := exec.Command(program, "control-plane", settings)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop = func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()         // its error is that it was killed
	}
	t.Cleanup(stop)
	purge = func(group int) {
		t.Helper()
		command := exec.Command(program, "purge", "--group", fmt.Sprint(group))
		command.Env = append(os.Environ(), "STAIRVANE_BOARD=unix:"+filepath.Join(folder, "board.sock"))
		var out []byte
		var err error
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if out, err = command.CombinedOutput(); err == nil {
				return
			}
			command = exec.Command(command.Path, command.Args[1:]...)
			command.Env = append(os.Environ(), "STAIRVANE_BOARD=unix:"+filepath.Join(folder, "board.sock"))
		}
		t.Fatalf("%v\n%s", err, out)
	}
	return purge, stop
}

// Guards against a control plane that begins anew at the address of an earlier one and is taken for it: its events have numbers that the
// director has passed, and are never applied.
func TestPurgesOfNewControlPlaneAtTheAddressAreApplied(t *testing.T) {
	const earlierPurges, laterPurges = 6, 3
	const told = 7 * time.Second // by then, whatever the bulletin has to tell counts as told
	t.Setenv("LB_LOG_LEVEL", "debug")
	address := freeAddress(t)
	purge, stop := standaloneControlPlane(t, address)
	p := startDirector(t, quickstartConfig(t, address, 256), 256)
	p.waitServing()
	for i := range earlierPurges {
		purge(i)
	}
	waitApplied := func(want int, within time.Duration) (applied int) {
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if applied = strings.Count(p.logged(), `"purge.applied"`); applied >= want {
				break
			}
		}
		return applied
	}
	if n := waitApplied(earlierPurges, 20*time.Second); n != earlierPurges {
		t.Fatalf("%d purges were applied, want %d", n, earlierPurges)
	}
	stop()
	purge, _ = standaloneControlPlane(t, address)
	for i := range laterPurges {
		purge(i)
	}
	if n := waitApplied(earlierPurges+laterPurges, told) - earlierPurges; n != laterPurges {
		t.Errorf("%d of %d purges of the new control plane were applied", n, laterPurges)
	}
}
