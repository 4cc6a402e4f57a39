package main

import (
	"bufio"
	"debug/elf"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// Guards against system calls and file accesses that the platform forbids: executing other programs, forks, io_uring, splice
// and sendfile, sockets other than TCP and UDP over IPv4. The director is built and started with the commands of the deploy file
// and traced while it serves, reloads its configuration, and shuts down.
func TestRunsWithinThePlatformsLimits(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	bin := t.TempDir() // other tests may build into bin/ at the same time
	line := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(deploy)
		if m == nil {
			t.Fatalf("deploy/balancer.toml has no %s", key)
		}
		return strings.ReplaceAll(string(m[1]), "bin/", bin+"/")
	}
	build := exec.Command("bash", "-c", line("build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	program, err := elf.Open(filepath.Join(bin, "stairvane"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Close() }() // opened for reading only
	isLibc := func(library string) bool { return strings.HasPrefix(library, "libc.so") }
	if libs, err := program.ImportedLibraries(); err != nil || !slices.ContainsFunc(libs, isLibc) {
		t.Fatalf("not linked against the C library: %v %v", libs, err)
	}

	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	text, err := os.ReadFile(filepath.Join(root, "deploy/quickstart/director.json"))
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["listen"] = "127.0.0.1:0"
	config["bulletin"] = "127.0.0.1:1"
	host := func(name, site, class, address string) map[string]any {
		return map[string]any{"host": name, "dial": address, "site": site, "class": class, "health": "in_service", "share": 4}
	}
	config["known"] = map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": map[string]any{
		"seq": 1, "whole": true,
		"hosts": []any{host("c-1", "west", "std", cache.Addr()), host("store", "hub", "origin", cache.Addr())},
	}}}}
	path := filepath.Join(t.TempDir(), "config.json")
	if text, err = json.Marshal(config); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}

	run := exec.Command("bash", "-c", line("run"))
	run.Dir = root
	run.Env = append(os.Environ(), "LB_CONFIG="+path)
	log, logIn, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	run.Stderr = logIn
	type result struct {
		calls    []systemCall
		programs int
		err      error
	}
	ended := make(chan result, 1)
	go func() {
		var r result
		r.calls, r.programs, r.err = trace(run)
		if err := logIn.Close(); err != nil {
			r.err = errors.Join(r.err, err)
		}
		ended <- r
	}()
	stop := time.AfterFunc(time.Minute, func() { _ = run.Process.Kill() })
	defer stop.Stop()
	var tally fakes.Tally
	reloaded := false
	serving := regexp.MustCompile(`"director.started".*"addr":"([^"]+)"`)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			if tally, err = fakes.Load(m[1], 100, 300*time.Millisecond); err != nil {
				t.Error(err)
			}
			_ = run.Process.Signal(syscall.SIGHUP)
		}
		if strings.Contains(lines.Text(), `"reload.applied"`) {
			reloaded = true
			_ = run.Process.Signal(syscall.SIGTERM)
		}
	}
	r := <-ended
	if r.err != nil || !reloaded {
		t.Fatalf("the trace ended with %v, reloaded %v", r.err, reloaded)
	}
	if tally.Served == 0 || tally.Served != tally.Sent {
		t.Errorf("requests: %+v", tally)
	}
	if r.programs != 2 {
		t.Errorf("%d programs were executed, want 2: the shell and the director", r.programs)
	}
	seen := map[string]int{}
	sockets := 0
	for _, c := range r.calls {
		if f := c.violation(); f != "" {
			seen[f]++
		}
		if c.number == unix.SYS_SOCKET {
			sockets++
		}
	}
	if len(seen) > 0 {
		t.Errorf("forbidden by the platform: %v", seen)
	}
	if sockets < 3 {
		t.Errorf("the trace shows %d sockets, want at least 3: a listener, a connection to a cache and one to the control plane", sockets)
	}
	var opened []string
	for _, c := range r.calls {
		if c.number == unix.SYS_OPENAT {
			opened = append(opened, c.path)
		}
	}
	t.Logf("%d calls, %d sockets, %+v; opened: %q", len(r.calls), sockets, tally, opened)
}
