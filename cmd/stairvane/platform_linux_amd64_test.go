package main

import (
	"bufio"
	"debug/elf"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// call is one system call of the traced process, as it was entered.
type call struct {
	no    uint64
	args  [3]uint64
	path  string // of openat
	flags uint64 // of clone and clone3
}

// refused are the calls that the platform refuses. Forks are told apart from threads by the flags of clone.
var refused = map[uint64]string{
	unix.SYS_FORK: "fork", unix.SYS_VFORK: "vfork", unix.SYS_EXECVE: "execve", unix.SYS_EXECVEAT: "execveat",
	unix.SYS_IO_URING_SETUP: "io_uring_setup", unix.SYS_IO_URING_ENTER: "io_uring_enter", unix.SYS_IO_URING_REGISTER: "io_uring_register",
	unix.SYS_SPLICE: "splice", unix.SYS_TEE: "tee", unix.SYS_VMSPLICE: "vmsplice", unix.SYS_SENDFILE: "sendfile", unix.SYS_COPY_FILE_RANGE: "copy_file_range",
}

// fault says what the platform would refuse of a call; empty if nothing.
func (c call) fault() string {
	switch c.no {
	case unix.SYS_CLONE, unix.SYS_CLONE3:
		if c.flags&unix.CLONE_THREAD == 0 {
			return "clone of a process"
		}
	case unix.SYS_SOCKET, unix.SYS_SOCKETPAIR:
		if kind := c.args[1] &^ (unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC); c.no == unix.SYS_SOCKETPAIR || c.args[0] != unix.AF_INET || kind != unix.SOCK_STREAM && kind != unix.SOCK_DGRAM {
			return fmt.Sprintf("socket of family %d, type %d", c.args[0], kind)
		}
	case unix.SYS_OPENAT:
		if c.args[2]&(unix.O_WRONLY|unix.O_RDWR|unix.O_CREAT) != 0 {
			return "opens " + c.path + " to write"
		}
	}
	return refused[c.no]
}

// traced runs a command under ptrace until it ends and hands back the calls made since its last exec, of all its threads.
// It stays on one thread, which alone may trace.
func traced(cmd *exec.Cmd) (calls []call, programs int, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	if err := cmd.Start(); err != nil {
		return nil, 0, err
	}
	first := cmd.Process.Pid
	var status unix.WaitStatus
	if _, err := unix.Wait4(first, &status, 0, nil); err != nil {
		return nil, 0, err
	}
	const options = unix.PTRACE_O_EXITKILL | unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEFORK |
		unix.PTRACE_O_TRACEVFORK | unix.PTRACE_O_TRACEEXEC
	if err := unix.PtraceSetOptions(first, options); err != nil {
		return nil, 0, err
	}
	if err := unix.PtraceSyscall(first, 0); err != nil {
		return nil, 0, err
	}
	inside := map[int]bool{} // threads between the entry and the end of a call
	programs = 1
	for {
		pid, err := unix.Wait4(-1, &status, unix.WALL, nil)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return calls, programs, err
		}
		if status.Exited() || status.Signaled() {
			delete(inside, pid)
			if pid == first {
				if status.ExitStatus() != 0 {
					err = fmt.Errorf("it ended with %d", status.ExitStatus())
				}
				return calls, programs, err
			}
			continue
		}
		pass := 0
		switch sig := status.StopSignal(); {
		case sig == syscall.SIGTRAP|0x80:
			if inside[pid] = !inside[pid]; !inside[pid] {
				break
			}
			var regs unix.PtraceRegs
			if err := unix.PtraceGetRegs(pid, &regs); err != nil {
				break // it was killed meanwhile
			}
			c := call{no: regs.Orig_rax, args: [3]uint64{regs.Rdi, regs.Rsi, regs.Rdx}}
			switch memory := make([]byte, 256); c.no {
			case unix.SYS_OPENAT:
				n, _ := unix.PtracePeekData(pid, uintptr(regs.Rsi), memory)
				c.path, _, _ = strings.Cut(string(memory[:n]), "\x00")
			case unix.SYS_CLONE:
				c.flags = regs.Rdi
			case unix.SYS_CLONE3: // the first word of what its argument points to
				_, _ = unix.PtracePeekData(pid, uintptr(regs.Rdi), memory[:8])
				c.flags = binary.LittleEndian.Uint64(memory)
			}
			calls = append(calls, c)
		case sig == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
			// What came before was another program's; the end of this execve is still to be seen.
			calls, programs, inside = nil, programs+1, map[int]bool{pid: true}
		case sig == syscall.SIGTRAP, sig == syscall.SIGSTOP: // a new thread, or one of the events
		default:
			pass = int(sig)
		}
		_ = unix.PtraceSyscall(pid, pass) // fails for one that was killed meanwhile; its end is waited for
	}
}

// A shell that forks is seen: the trace and its reading can fail.
func TestTraceSeesForks(t *testing.T) {
	calls, programs, err := traced(exec.Command("bash", "-c", "(:); (:); exit 0"))
	if err != nil || programs != 1 {
		t.Fatal(programs, err)
	}
	forks := 0
	for _, c := range calls {
		if c.fault() == "clone of a process" {
			forks++
		}
	}
	if forks != 2 {
		t.Errorf("%d forks were seen, not 2", forks)
	}
}

// The director is built and started by the very lines of the deploy file (but for the folder), and its calls are traced while it follows a
// bulletin that is not there, serves requests, reads its configuration anew and leaves. The trace holds all calls of all
// its threads, so what it does not show was not called. The platform refuses other programs, forks, io_uring, splice and
// sendfile, has only TCP and UDP over IPv4, and leads what it leads through the C library's loader.
func TestStartsAsThePlatformPlaysIt(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	bin := t.TempDir() // other tests build into bin/ meanwhile, as their texts say
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
	defer program.Close()
	if libs, err := program.ImportedLibraries(); err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Fatalf("it is not linked against the C library: %v %v", libs, err)
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
	config["listen"], config["bulletin"] = "127.0.0.1:0", "127.0.0.1:1"
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
		calls    []call
		programs int
		err      error
	}
	ended := make(chan result, 1)
	go func() {
		var r result
		r.calls, r.programs, r.err = traced(run)
		logIn.Close()
		ended <- r
	}()
	stop := time.AfterFunc(time.Minute, func() { _ = run.Process.Kill() })
	defer stop.Stop()
	var tally fakes.Tally
	reloaded, serves := false, regexp.MustCompile(`"director.serves".*"addr":"([^"]+)"`)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if m := serves.FindStringSubmatch(lines.Text()); m != nil {
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
		t.Fatalf("it did not run through: %v, reloaded %v", r.err, reloaded)
	}
	if tally.Served == 0 || tally.Served != tally.Sent {
		t.Errorf("requests: %+v", tally)
	}
	if r.programs != 2 {
		t.Errorf("%d programs were run; the shell and the director are two", r.programs)
	}
	seen := map[string]int{}
	sockets := 0
	for _, c := range r.calls {
		if f := c.fault(); f != "" {
			seen[f]++
		}
		if c.no == unix.SYS_SOCKET {
			sockets++
		}
	}
	if len(seen) > 0 {
		t.Errorf("the platform refuses: %v", seen)
	}
	if sockets < 3 {
		t.Errorf("the trace shows %d sockets; a listener, a link and the bulletin's are three", sockets)
	}
	var opened []string
	for _, c := range r.calls {
		if c.no == unix.SYS_OPENAT {
			opened = append(opened, c.path)
		}
	}
	t.Logf("%d calls, %d sockets, %+v; opened: %q", len(r.calls), sockets, tally, opened)
}
