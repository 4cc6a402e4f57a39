package testharness

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// FailDisk makes the process's writes at places of files, and its syncs, fail for a time with an error: EIO of a disk that breaks,
// EROFS of one that was made read-only. With syncs alone, writes are made and only fdatasync and fsync fail, as of a disk that accepts
// bytes into its memory. The calls are held under ptrace, not made, and answered with the error; the process is a child, so this needs no
// privilege. FailDisk returns how many calls failed once all threads run freely again.
func (p *Process) FailDisk(with syscall.Errno, syncs bool, length time.Duration) (failed int, err error) {
	done := make(chan struct{})
	go func() { // a tracer is a thread, not a process
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

// tracer makes the system calls of one process fail. It is used by one locked thread.
type tracer struct {
	pid     int
	with    syscall.Errno
	syncs   bool            // syncs alone fail
	end     time.Time       // when threads are released
	ending  bool            // threads are being released
	threads map[int]*traced // by thread ID
	failed  int             // calls
}

// traced is a thread.
type traced struct {
	inCall      bool // it is between the entry and the end of a system call
	failCall    bool // the call is to fail
	interrupted bool // it was interrupted in order to be released
}

func (t *tracer) run() error {
	if err := t.seizeAll(); err != nil {
		return err
	}
	var status unix.WaitStatus
	for len(t.threads) > 0 {
		tid, err := unix.Wait4(-1, &status, unix.WALL|unix.WNOTHREAD, nil) // of those that this thread traces
		if errors.Is(err, unix.EINTR) {
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
			t.threads[tid] = &traced{} // a new thread, whose maker is traced
		}
		t.stopped(tid, t.threads[tid], status)
		if !t.ending && time.Now().After(t.end) {
			t.interruptAll()
		}
	}
	return nil
}

// seizeAll begins to trace all threads. Threads may be made while others are seized.
func (t *tracer) seizeAll() error {
	for grown := true; grown; {
		grown = false
		tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", t.pid))
		if err != nil {
			return err
		}
		for _, task := range tasks {
			tid, err := strconv.Atoi(task.Name())
			if err != nil || t.threads[tid] != nil {
				continue
			}
			err = unix.PtraceSeize(tid)
			if errors.Is(err, unix.ESRCH) {
				continue // the thread has ended
			}
			if err != nil {
				return fmt.Errorf("ptrace of %d: %w", tid, err)
			}
			t.threads[tid] = &traced{}
			grown = true
			_ = unix.PtraceInterrupt(tid) // it may have ended
		}
	}
	return nil
}

// interruptAll stops every thread once more, so that it can be released.
func (t *tracer) interruptAll() {
	t.ending = true
	for tid, thread := range t.threads {
		if !thread.interrupted {
			thread.interrupted = true
			_ = unix.PtraceInterrupt(tid) // it may have ended
		}
	}
}

// syscallStop is set in the stop signal of a thread that stopped at a system call (PTRACE_O_TRACESYSGOOD).
const syscallStop = 0x80

// stopped lets a thread go on. At the entry of a call that is to fail, the call is not made; at its end it gets the error. Errors of
// ptrace mean that the thread was killed meanwhile.
func (t *tracer) stopped(tid int, thread *traced, status unix.WaitStatus) {
	deliver := 0 // signal
	switch signal := status.StopSignal(); {
	case signal == syscall.SIGTRAP|syscallStop:
		thread.inCall = !thread.inCall
		var regs unix.PtraceRegs
		if unix.PtraceGetRegs(tid, &regs) != nil {
			break // it was killed meanwhile
		}
		switch {
		case !thread.inCall && thread.failCall:
			thread.failCall = false
			regs.Rax = uint64(-int64(t.with))
			_ = unix.PtraceSetRegs(tid, &regs)
		case thread.inCall && !t.ending && t.hits(regs.Orig_rax):
			thread.failCall = true
			t.failed++
			regs.Orig_rax = ^uint64(0) // no call
			_ = unix.PtraceSetRegs(tid, &regs)
		}
	case signal != syscall.SIGTRAP && status.TrapCause() != unix.PTRACE_EVENT_STOP:
		deliver = int(signal)
	}
	if t.ending && !thread.failCall {
		_ = unix.PtraceDetach(tid)
		delete(t.threads, tid)
		return
	}
	_ = unix.PtraceSetOptions(tid, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE)
	_ = unix.PtraceSyscall(tid, deliver)
}

// hits reports whether a system call is to fail.
func (t *tracer) hits(call uint64) bool {
	switch call {
	case unix.SYS_FDATASYNC, unix.SYS_FSYNC:
		return true
	case unix.SYS_PWRITE64, unix.SYS_FTRUNCATE, unix.SYS_FALLOCATE:
		return !t.syncs
	}
	return false
}
