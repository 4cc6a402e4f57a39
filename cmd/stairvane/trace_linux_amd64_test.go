package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// systemCall is a system call of the traced process, recorded at its entry.
type systemCall struct {
	number uint64
	args   [3]uint64
	path   string // of openat
	flags  uint64 // of clone and clone3
}

// forbiddenCalls are the system calls that the platform forbids. clone is not among them: its flags decide whether it creates a
// process or a thread.
var forbiddenCalls = map[uint64]string{
	unix.SYS_FORK:              "fork",
	unix.SYS_VFORK:             "vfork",
	unix.SYS_EXECVE:            "execve",
	unix.SYS_EXECVEAT:          "execveat",
	unix.SYS_IO_URING_SETUP:    "io_uring_setup",
	unix.SYS_IO_URING_ENTER:    "io_uring_enter",
	unix.SYS_IO_URING_REGISTER: "io_uring_register",
	unix.SYS_SPLICE:            "splice",
	unix.SYS_TEE:               "tee",
	unix.SYS_VMSPLICE:          "vmsplice",
	unix.SYS_SENDFILE:          "sendfile",
	unix.SYS_COPY_FILE_RANGE:   "copy_file_range",
}

// violation describes what the platform forbids about a call. It returns "" if the call is allowed.
func (c systemCall) violation() string {
	switch c.number {
	case unix.SYS_CLONE, unix.SYS_CLONE3:
		if c.flags&unix.CLONE_THREAD == 0 {
			return "clone of a process"
		}
	case unix.SYS_SOCKET, unix.SYS_SOCKETPAIR:
		kind := c.args[1] &^ (unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC)
		isIPv4 := c.args[0] == unix.AF_INET && (kind == unix.SOCK_STREAM || kind == unix.SOCK_DGRAM)
		if c.number == unix.SYS_SOCKETPAIR || !isIPv4 {
			return fmt.Sprintf("socket of family %d, type %d", c.args[0], kind)
		}
	case unix.SYS_OPENAT:
		if c.args[2]&(unix.O_WRONLY|unix.O_RDWR|unix.O_CREAT) != 0 {
			return "opens " + c.path + " to write"
		}
	}
	return forbiddenCalls[c.number]
}

// trace runs a command under ptrace until it exits. It returns the system calls of all its threads since its last exec, and the
// number of programs that it executed. It locks the goroutine to its thread, since only the tracing thread may use ptrace.
func trace(cmd *exec.Cmd) (calls []systemCall, programs int, err error) {
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
	inside := map[int]bool{} // threads between the entry and the exit of a call
	programs = 1
	for {
		pid, err := unix.Wait4(-1, &status, unix.WALL, nil)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return calls, programs, err
		}
		if status.Exited() || status.Signaled() {
			delete(inside, pid)
			if pid == first {
				if status.ExitStatus() != 0 {
					err = fmt.Errorf("exit status %d", status.ExitStatus())
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
				break // the thread was killed in the meantime
			}
			c := systemCall{number: regs.Orig_rax, args: [3]uint64{regs.Rdi, regs.Rsi, regs.Rdx}}
			switch memory := make([]byte, 256); c.number {
			case unix.SYS_OPENAT:
				n, _ := unix.PtracePeekData(pid, uintptr(regs.Rsi), memory)
				c.path, _, _ = strings.Cut(string(memory[:n]), "\x00")
			case unix.SYS_CLONE:
				c.flags = regs.Rdi
			case unix.SYS_CLONE3: // the flags are the first word of the struct that its argument points to
				_, _ = unix.PtracePeekData(pid, uintptr(regs.Rdi), memory[:8])
				c.flags = binary.LittleEndian.Uint64(memory)
			}
			calls = append(calls, c)
		case sig == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
			// The previous calls belong to another program. The exit of this execve follows.
			calls = nil
			programs++
			inside = map[int]bool{pid: true}
		case sig == syscall.SIGTRAP, sig == syscall.SIGSTOP: // a new thread, or another ptrace event
		default:
			pass = int(sig)
		}
		_ = unix.PtraceSyscall(pid, pass) // fails for a thread that was killed in the meantime; its exit status follows
	}
}

// Guards against a trace that detects nothing: it must report the forks of a shell.
func TestTraceDetectsForks(t *testing.T) {
	calls, programs, err := trace(exec.Command("bash", "-c", "(:); (:); exit 0"))
	if err != nil || programs != 1 {
		t.Fatal(programs, err)
	}
	forks := 0
	for _, c := range calls {
		if c.violation() == "clone of a process" {
			forks++
		}
	}
	if forks != 2 {
		t.Errorf("%d forks were detected, want 2", forks)
	}
}
