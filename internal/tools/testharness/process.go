package testharness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxLogLine is the length limit of a log line, in bytes.
const maxLogLine = 1 << 20

// Process is a child process whose log is read continuously. All methods are safe for concurrent use.
type Process struct {
	Name string
	cmd  *exec.Cmd

	mu      sync.Mutex
	cond    *sync.Cond       // signals a change of the fields below
	events  []map[string]any // the log lines that are JSON objects
	lines   []string
	exited  bool
	exitErr error // how it exited; nil means status 0
}

// Start starts a program and reads its standard error as JSON lines.
func Start(name, program string, args, env []string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...)}
	p.cond = sync.NewCond(&p.mu)
	p.cmd.Env = append(append(os.Environ(), "LB_LOG=json"), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go p.readLog(out)
	return p, nil
}

func (p *Process) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var event map[string]any
		_ = json.Unmarshal(lines.Bytes(), &event) // a line that is not JSON, such as one of a panic, is kept as text only
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		if event != nil {
			p.events = append(p.events, event)
		}
		p.cond.Broadcast()
		p.mu.Unlock()
	}
	exitErr := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exited = true
	p.exitErr = exitErr
	p.cond.Broadcast()
}

// Event waits for the first event with a message at or after an index in the events. It returns the event and the index after it. It
// fails if the process exits first, or if no such event is logged within the given time.
func (p *Process) Event(message string, from int, within time.Duration) (event map[string]any, next int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waitUntil := p.waiterUntil(within)
	for i := from; ; i++ {
		for i >= len(p.events) {
			if p.exited {
				return nil, i, fmt.Errorf("%s exited without event %s: %w", p.Name, message, p.exitReason())
			}
			if !waitUntil() {
				return nil, i, fmt.Errorf("%s: no event %s within %v", p.Name, message, within)
			}
		}
		if p.events[i]["msg"] == message {
			return p.events[i], i + 1, nil
		}
	}
}

// waiterUntil returns a function that waits for the next change, and returns false once the time is over. The caller holds p.mu in both
// calls.
func (p *Process) waiterUntil(within time.Duration) (wait func() bool) {
	end := time.Now().Add(within)
	return func() bool {
		remaining := time.Until(end)
		if remaining <= 0 {
			return false
		}
		timer := time.AfterFunc(remaining, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.cond.Broadcast()
		})
		defer timer.Stop()
		p.cond.Wait()
		return true
	}
}

// EventCount returns the number of events logged so far.
func (p *Process) EventCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.events)
}

// CountEvents returns the number of events with a message.
func (p *Process) CountEvents(message string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e["msg"] == message {
			n++
		}
	}
	return n
}

// Log returns all log lines so far.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // the process may have exited

// Kill sends SIGKILL to the process and waits until it has exited, at most a minute.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(time.Minute) // the error is that it was killed
}

// Terminate sends SIGTERM to the process and waits until it has exited. It returns the error of Wait.
func (p *Process) Terminate(within time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(within)
}

// exitReason returns how the process exited, never nil. The caller holds p.mu.
func (p *Process) exitReason() error {
	if p.exitErr == nil {
		return errors.New("exit status 0")
	}
	return p.exitErr
}

// Wait waits until the process has exited and returns the error of exec.Cmd.Wait. It returns another error if the process still runs after
// the given time.
func (p *Process) Wait(within time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	waitUntil := p.waiterUntil(within)
	for !p.exited {
		if !waitUntil() {
			return fmt.Errorf("%s did not exit within %v", p.Name, within)
		}
	}
	return p.exitErr
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.exited
}

// LimitFiles limits the length in bytes of the files that the process writes, to simulate a full disk. A negative length removes the
// limit.
func (p *Process) LimitFiles(length int64) error {
	limit := unix.Rlimit{Cur: uint64(length), Max: unix.RLIM_INFINITY}
	if length < 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil)
}

// CopyFolder copies the regular files of a folder, as an image of a machine's disk. It ignores files that are removed during the copy.
func CopyFolder(from, to string) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	all, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	for _, e := range all {
		if !e.Type().IsRegular() {
			continue
		}
		b, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, e.Name()), b, 0o600)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}
