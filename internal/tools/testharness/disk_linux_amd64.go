package testharness

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// FailDisk has the process's writes at places of files, and its syncs, end with an error (EIO of a disk that breaks, EROFS of one
// that was made read-only) for a time, as its kernel would answer them: the calls are held under ptrace, not made, and answered
// with the error. With syncs alone, writes are made and only fdatasync and fsync fail, which is what a disk does that takes bytes
// into its memory. It needs no privilege, since the process is a child. It returns once all threads run freely again, with how
// many calls failed.
func (p *Process) FailDisk(with syscall.Errno, syncs bool, length time.Duration) (failed int, err error) {
	done := make(chan struct{})
	go func() { // one thread alone may trace
		defer close(done)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		t := tracer{pid: p.Pid(), with: with, syncs: syncs, end: time.Now().Add(length), threads: map[int]*traced{}}
		err = t.run()
		failed = t.failed
	}()
	<-done
	return failed, err
}

type tracer struct {
	pid     int
	with    syscall.Errno
	syncs   bool
	end     time.Time
	ending  bool
	threads map[int]*traced
	failed  int
}

// traced is a thread: whether it is between the entry and the end of a call, and whether that one is to fail.
type traced struct{ inside, fail, asked bool }

func (t *tracer) run() error {
	for grown := true; grown; { // threads may come while others are seized
		grown = false
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", t.pid))
		if err != nil {
			return err
		}
		for _, e := range all {
			tid, err := strconv.Atoi(e.Name())
			if err != nil || t.threads[tid] != nil {
				continue
			}
			if err := unix.PtraceSeize(tid); err != nil {
				if err == unix.ESRCH {
					continue
				}
				return fmt.Errorf("ptrace of %d: %w", tid, err)
			}
			t.threads[tid], grown = &traced{}, true
			_ = unix.PtraceInterrupt(tid)
		}
	}
	var status unix.WaitStatus
	for len(t.threads) > 0 {
		tid, err := unix.Wait4(-1, &status, unix.WALL|unix.WNOTHREAD, nil) // of those that this thread traces
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return err
		}
		if status.Exited() || status.Signaled() {
			delete(t.threads, tid)
			continue
		}
		if t.threads[tid] == nil {
			t.threads[tid] = &traced{} // a new thread, which came while this one's maker is traced
		}
		t.stopped(tid, t.threads[tid], status)
		if !t.ending && time.Now().After(t.end) {
			t.ending = true
			for id, th := range t.threads {
				if !th.asked {
					th.asked = true
					_ = unix.PtraceInterrupt(id)
				}
			}
		}
	}
	return nil
}

// stopped lets a thread go on, at the entry of a call that is to fail without making it, and at its end with the error.
func (t *tracer) stopped(tid int, th *traced, status unix.WaitStatus) {
	pass, call := 0, status.StopSignal() == syscall.SIGTRAP|0x80
	switch sig := status.StopSignal(); {
	case call:
		th.inside = !th.inside
		var regs unix.PtraceRegs
		if unix.PtraceGetRegs(tid, &regs) != nil {
			break // it was killed meanwhile
		}
		switch {
		case !th.inside && th.fail:
			th.fail = false
			regs.Rax = uint64(-int64(t.with))
			_ = unix.PtraceSetRegs(tid, &regs)
		case th.inside && !t.ending && t.hits(regs.Orig_rax):
			th.fail = true
			t.failed++
			regs.Orig_rax = ^uint64(0) // no call at all
			_ = unix.PtraceSetRegs(tid, &regs)
		}
	case sig != syscall.SIGTRAP && status.TrapCause() != unix.PTRACE_EVENT_STOP:
		pass = int(sig)
	}
	if t.ending && !th.fail {
		_ = unix.PtraceDetach(tid)
		delete(t.threads, tid)
		return
	}
	_ = unix.PtraceSetOptions(tid, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE)
	_ = unix.PtraceSyscall(tid, pass)
}

func (t *tracer) hits(call uint64) bool {
	switch call {
	case unix.SYS_FDATASYNC, unix.SYS_FSYNC:
		return true
	case unix.SYS_PWRITE64, unix.SYS_FTRUNCATE, unix.SYS_FALLOCATE:
		return !t.syncs
	}
	return false
}
