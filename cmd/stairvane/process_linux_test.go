package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var built struct {
	sync.Once
	dir string
	err error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		if err := os.RemoveAll(built.dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	os.Exit(code)
}

// directorBinary builds the program on the first call and returns its path.
func directorBinary(t *testing.T) string {
	t.Helper()
	built.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "stairvane-test"); built.err != nil {
			return
		}
		build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", built.dir+"/", ".", "../stairvane-fleet")
		build.Env = append(os.Environ(), "CGO_ENABLED=1")
		if out, err := build.CombinedOutput(); err != nil {
			built.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return filepath.Join(built.dir, "stairvane")
}

// directorProcess is a director running as a process of its own, started as on the platform.
type directorProcess struct {
	t       *testing.T
	cmd     *exec.Cmd
	addr    string
	mu      sync.Mutex
	log     strings.Builder
	serving chan string
	exited  chan error
}

// startDirector starts a director with a configuration and a limit of descriptors; 0: the limit of this process.
func startDirector(t *testing.T, config map[string]any, descriptors int, arguments ...string) *directorProcess {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &directorProcess{t: t, serving: make(chan string, 1), exited: make(chan error, 1)}
	command := append([]string{directorBinary(t)}, arguments...)
	p.cmd = exec.Command(command[0], command[1:]...)
	if descriptors > 0 {
		p.cmd = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptors, strings.Join(command, " ")))
	}
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		serving := regexp.MustCompile(`"director.started".*"addr":"([^"]+)"`)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
			if m := serving.FindStringSubmatch(lines.Text()); m != nil {
				select {
				case p.serving <- m[1]:
				default: // the line of another core
				}
			}
		}
	}()
	go func() {
		<-read
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// startDirectorOnCores starts a director as startDirector does, but on a number of cores.
func startDirectorOnCores(t *testing.T, config map[string]any, descriptors, cores int) *directorProcess {
	t.Helper()
	if cores == 1 {
		return startDirector(t, config, descriptors)
	}
	path := filepath.Join(t.TempDir(), "director.scm")
	if err := os.WriteFile(path, fmt.Appendf(nil, "(director (cores %d) (divide connection))\n", cores), 0o600); err != nil {
		t.Fatal(err)
	}
	return startDirector(t, config, descriptors, "director", path)
}

func (p *directorProcess) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// waitServing waits until the director listens and returns its address.
func (p *directorProcess) waitServing() string {
	p.t.Helper()
	select {
	case p.addr = <-p.serving:
	case <-time.After(30 * time.Second):
		p.t.Fatalf("the director did not start serving:\n%s", p.logged())
	}
	return p.addr
}

// shutDown sends SIGTERM and waits for the process to exit.
func (p *directorProcess) shutDown(within time.Duration) {
	p.t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("the director exited with %v:\n%s", err, p.logged())
		}
	case <-time.After(within):
		p.t.Fatalf("the director did not exit within %v:\n%s", within, p.logged())
	}
}

// heartbeat calls heartbeat once and returns whether the director reports ready.
func heartbeat(addr string) (good bool, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }() // nothing depends on it
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	const call = "\x80\x01\x00\x01\x00\x00\x00\x09heartbeat\x00\x00\x00\x01\x02\x00\x01\x01\x00"
	if _, err := fmt.Fprintf(conn, "\x00\x00\x00%c%s", len(call), call); err != nil {
		return false, err
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return false, err
	}
	body := make([]byte, int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return false, err
	}
	return strings.Contains(string(body), "\x02\x00\x03\x01"), nil // field 3, true
}

// thriftText returns a text as a string of Thrift's binary protocol, or a message as a frame; the two have the same form.
func thriftText(s string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) + s
}

// submitCall returns a framed request with a body and the given fields, as alternating names and values.
func submitCall(seq uint32, body string, fields ...string) string {
	text := "\x80\x01\x00\x01" + thriftText("submit") + string(binary.BigEndian.AppendUint32(nil, seq))
	text += "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(fields)/2)))
	for _, f := range fields {
		text += thriftText(f)
	}
	return thriftText(text + "\x0b\x00\x02" + thriftText(body) + "\x00")
}

// sendRequest sends a request and returns the result: 0: served, 1: rejected, 2: failed.
func sendRequest(conn net.Conn, seq int, id string) (int, error) {
	text := submitCall(uint32(seq), "", "method", "clips", "rid", id, "budget", "3000", "obj", id, "part", "0", "group", "5", "mem", "100")
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	return readResult(conn)
}

// readResult reads the answer to a request and returns the result: 0: served, 1: rejected, 2: failed.
func readResult(conn net.Conn) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return 0, err
	}
	body := make([]byte, int(head[1])<<16|int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return 0, err
	}
	return int(body[4+4+len("submit")+4+2]), nil
}
