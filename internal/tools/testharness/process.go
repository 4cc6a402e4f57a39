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

// maxLogLine is the longest line of a log, in bytes.
const maxLogLine = 1 << 20

// Process is one process of the program. Its log is read as it comes. All methods may be called concurrently.
type Process struct {
	Name string
	cmd  *exec.Cmd

	mu      sync.Mutex
	changed *sync.Cond       // of the fields below
	events  []map[string]any // the lines of the log that are JSON
	lines   []string
	ended   bool
	err     error // how it ended
}

// Start starts a program. Its standard error is read as lines of JSON.
func Start(name, program string, args, env []string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...)}
	p.changed = sync.NewCond(&p.mu)
	p.cmd.Env = append(append(os.Environ(), "LB_LOG=json"), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go p.read(out)
	return p, nil
}

func (p *Process) read(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var event map[string]any
		_ = json.Unmarshal(lines.Bytes(), &event) // a line that is no JSON, as of a panic, is kept as text
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		if event != nil {
			p.events = append(p.events, event)
		}
		p.changed.Broadcast()
		p.mu.Unlock()
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.err = err
	p.changed.Broadcast()
}

// Event waits for the first event of a message from a place in the log on, and returns it with the place after it. It fails if the
// process ends before, or when the time is over.
func (p *Process) Event(message string, from int, within time.Duration) (event map[string]any, next int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waitUntil := p.deadline(within)
	for i := from; ; i++ {
		for i >= len(p.events) {
			if p.ended {
				return nil, i, fmt.Errorf("%s ended without %s: %w", p.Name, message, p.endError())
			}
			if !waitUntil() {
				return nil, i, fmt.Errorf("%s: no %s within %v", p.Name, message, within)
			}
		}
		if p.events[i]["msg"] == message {
			return p.events[i], i + 1, nil
		}
	}
}

// deadline returns a function that waits for the next change, and reports false once the time is over. p.mu is held for both.
func (p *Process) deadline(within time.Duration) (wait func() bool) {
	end := time.Now().Add(within)
	return func() bool {
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		timer := time.AfterFunc(left, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changed.Broadcast()
		})
		defer timer.Stop()
		p.changed.Wait()
		return true
	}
}

// Lines is how many lines the log has so far.
func (p *Process) EventCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.events)
}

// Count is how many lines of the log have a message.
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

// Log is all that the process has written.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended already

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(time.Minute) // how a killed process ended is known
}

// Leave ends the process with SIGTERM and waits.
func (p *Process) Terminate(within time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(within)
}

// endError is how the process ended. p.mu is held.
func (p *Process) endError() error {
	if p.err == nil {
		return errors.New("exit status 0")
	}
	return p.err
}

// Wait waits for the end of the process; the error is how it ended.
func (p *Process) Wait(within time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	waitUntil := p.deadline(within)
	for !p.ended {
		if !waitUntil() {
			return fmt.Errorf("%s did not end within %v", p.Name, within)
		}
	}
	return p.err
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended
}

// LimitFiles lets no file that the process writes grow beyond a length in bytes, as a full disk does. A negative length removes the
// limit.
func (p *Process) LimitFiles(length int64) error {
	limit := unix.Rlimit{Cur: uint64(length), Max: unix.RLIM_INFINITY}
	if length < 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil)
}

// CopyFolder copies the files of a folder, as an image of a machine's disk.
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
