//go:build amd64 || arm64

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

// FailDisk makes the process's positional writes, truncations, allocations and syncs of files fail with an errno for a time: EIO for a
// broken disk, EROFS for one that was remounted read-only. If syncsOnly is true, only fdatasync and fsync fail and writes succeed, as with
// a disk that accepts bytes into its volatile cache. The system calls are intercepted with ptrace, not executed, and return the errno. The
// process is a child, so this needs no privilege. FailDisk returns the number of failed calls after all threads have been released.
func (p *Process) FailDisk(errno syscall.Errno, syncsOnly bool, length time.Duration) (failedCalls int, err error) {
	done := make(chan struct{})
	go func() { // for ptrace, the tracer is a thread, not a process
		defer close(done)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		t := tracer{pid: p.Pid(), errno: errno, syncsOnly: syncsOnly, releaseAt: time.Now().Add(length), threads: map[int]*tracedThread{}}
		err = t.run()
		failedCalls = t.failedCalls
	}()
	<-done
	return failedCalls, err
}

// tracer makes system calls of one process fail. Only the goroutine that is locked to the tracing thread uses it.
type tracer struct {
	pid         int
	errno       syscall.Errno
	syncsOnly   bool                  // fail only syncs
	releaseAt   time.Time             // when threads are released
	releasing   bool                  // threads are being released
	threads     map[int]*tracedThread // by thread ID
	failedCalls int                   // number of calls made to fail
}

// tracedThread is the state of one thread of the process.
type tracedThread struct {
	inCall      bool // the thread is between the entry and the exit of a system call
	failCall    bool // the current call is to fail
	interrupted bool // the thread was interrupted so that it can be released
}

func (t *tracer) run() error {
	if err := t.seizeAll(); err != nil {
		return err
	}
	var status unix.WaitStatus
	for len(t.threads) > 0 {
		tid, err := unix.Wait4(-1, &status, unix.WALL|unix.WNOTHREAD, nil) // waits only for threads that this thread traces
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
			t.threads[tid] = &tracedThread{} // a new thread, cloned by a traced one
		}
		t.resume(tid, t.threads[tid], status)
		if !t.releasing && time.Now().After(t.releaseAt) {
			t.interruptAll()
		}
	}
	return nil
}

// seizeAll attaches to all threads. It repeats until it finds no new one, because threads may be created while others are seized.
func (t *tracer) seizeAll() error {
	for foundNew := true; foundNew; {
		foundNew = false
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
				continue // the thread has exited
			}
			if err != nil {
				return fmt.Errorf("ptrace of %d: %w", tid, err)
			}
			t.threads[tid] = &tracedThread{}
			foundNew = true
			_ = unix.PtraceInterrupt(tid) // the thread may have exited
		}
	}
	return nil
}

// interruptAll stops every thread so that it can be detached.
func (t *tracer) interruptAll() {
	t.releasing = true
	for tid, thread := range t.threads {
		if !thread.interrupted {
			thread.interrupted = true
			_ = unix.PtraceInterrupt(tid) // the thread may have exited
		}
	}
}

// syscallStop is the bit in the stop signal that marks a stop at a system call (PTRACE_O_TRACESYSGOOD).
const syscallStop = 0x80

// resume continues a stopped thread. At the entry of a call that is to fail, it replaces the call with an invalid one; at the exit of
// that call, it sets the errno as the result. Errors of ptrace mean that the thread was killed after it stopped.
func (t *tracer) resume(tid int, thread *tracedThread, status unix.WaitStatus) {
	deliver := 0 // signal
	switch signal := status.StopSignal(); {
	case signal == syscall.SIGTRAP|syscallStop:
		thread.inCall = !thread.inCall
		call, err := callNumber(tid)
		if err != nil {
			break // the thread was killed
		}
		switch {
		case !thread.inCall && thread.failCall:
			thread.failCall = false
			_ = setCallResult(tid, uint64(-int64(t.errno)))
		case thread.inCall && !t.releasing && t.shouldFail(call):
			thread.failCall = true
			t.failedCalls++
			_ = cancelCall(tid)
		}
	case signal != syscall.SIGTRAP && status.TrapCause() != unix.PTRACE_EVENT_STOP:
		deliver = int(signal)
	}
	if t.releasing && !thread.failCall {
		_ = unix.PtraceDetach(tid)
		delete(t.threads, tid)
		return
	}
	_ = unix.PtraceSetOptions(tid, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE)
	_ = unix.PtraceSyscall(tid, deliver)
}

// shouldFail reports whether a system call is to fail.
func (t *tracer) shouldFail(call uint64) bool {
	switch call {
	case unix.SYS_FDATASYNC, unix.SYS_FSYNC:
		return true
	case unix.SYS_PWRITE64, unix.SYS_FTRUNCATE, unix.SYS_FALLOCATE:
		return !t.syncsOnly
	}
	return false
}
