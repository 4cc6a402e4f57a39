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

// Process is one process of the program. Its log is read as it comes.
type Process struct {
	Name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	news *sync.Cond
	log  []map[string]any
	text []string
	done bool
	err  error
}

// Start starts a program. Its standard error is read as lines of JSON.
func Start(name, program string, args, env []string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...)}
	p.news = sync.NewCond(&p.mu)
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
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event map[string]any
		_ = json.Unmarshal(lines.Bytes(), &event)
		p.mu.Lock()
		p.text = append(p.text, lines.Text())
		if event != nil {
			p.log = append(p.log, event)
		}
		p.news.Broadcast()
		p.mu.Unlock()
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done, p.err = true, err
	p.news.Broadcast()
}

// Event waits for the first line of the log with a message, from a place in the log on, and gives it with the place after
// it. It fails if the process ends before, or when the time is over.
func (p *Process) Event(message string, from int, within time.Duration) (event map[string]any, next int, err error) {
	timer := time.AfterFunc(within, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.news.Broadcast()
	})
	defer timer.Stop()
	end := time.Now().Add(within)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := from; ; i++ {
		for i >= len(p.log) {
			if p.done {
				return nil, i, fmt.Errorf("%s ended (%v) without %s", p.Name, p.err, message)
			}
			if !time.Now().Before(end) {
				return nil, i, fmt.Errorf("%s: no %s within %v", p.Name, message, within)
			}
			p.news.Wait()
		}
		if p.log[i]["msg"] == message {
			return p.log[i], i + 1, nil
		}
	}
}

// Lines is how many lines the log has so far.
func (p *Process) Lines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.log)
}

// Count is how many lines of the log have a message.
func (p *Process) Count(message string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.log {
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
	return append([]string(nil), p.text...)
}

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(time.Minute)
}

// Leave has the process end in order.
func (p *Process) Leave(within time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(within)
}

// Wait waits for the end of the process; the error is how it ended.
func (p *Process) Wait(within time.Duration) error {
	timer := time.AfterFunc(within, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.news.Broadcast()
	})
	defer timer.Stop()
	end := time.Now().Add(within)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.done {
		if !time.Now().Before(end) {
			return fmt.Errorf("%s did not end within %v", p.Name, within)
		}
		p.news.Wait()
	}
	return p.err
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.done
}

// LimitFiles lets no file that the process writes grow beyond a length: what a full disk does, without a privilege. A
// negative length takes the limit away.
func (p *Process) LimitFiles(length int64) error {
	limit := unix.Rlimit{Cur: uint64(length), Max: unix.RLIM_INFINITY}
	if length < 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil)
}

// CopyFolder copies the files of a folder: an image of a machine's disk.
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
