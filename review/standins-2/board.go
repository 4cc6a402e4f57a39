//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// replicaGroup is a control plane of three replicas on loopback.
type replicaGroup struct {
	names    []string
	listen   map[string]string
	write    map[string]string
	programs map[string]string
	running  map[string]*process
}

func (g *replicaGroup) addresses() string {
	var all []string
	for _, n := range g.names {
		all = append(all, g.write[n])
	}
	return strings.Join(all, ",")
}

// startGroup founds a group of three replicas. forms are further forms of (board ...).
func startGroup(forms string) *replicaGroup {
	g := &replicaGroup{names: []string{"a", "b", "c"}, listen: map[string]string{}, write: map[string]string{}, programs: map[string]string{}, running: map[string]*process{}}
	for _, n := range g.names {
		g.listen[n], g.write[n] = freeAddr(), freeAddr()
	}
	for _, n := range g.names {
		list := ""
		for i, o := range g.names {
			list += fmt.Sprintf(" (copy %s (address %s) (machine m-%s) (site %s))", o, g.write[o], o, []string{"north", "south", "west"}[i])
		}
		text := fmt.Sprintf("(board (listen %s) (store %s.db) (write (tcp %s)) %s (copies (self %s)%s))\n", g.listen[n], n, g.write[n], forms, n, list)
		g.programs[n] = writeFile(n+".scm", []byte(text))
	}
	for i, n := range g.names {
		args := []string{"control-plane", g.programs[n]}
		if i == 0 {
			args = append(args, "--found")
		}
		g.running[n] = start("replica-"+n, nil, args...)
	}
	if code, out := g.command("replicas", "wait", "--for", "20s"); code != 0 {
		fail("the group does not form: %s", out)
	}
	return g
}

// command runs a sub-command against the group and returns its exit status and output.
func (g *replicaGroup) command(args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(root, "bin", "stairvane"), args...)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "STAIRVANE_BOARD="+g.addresses())
	var buffer bytes.Buffer
	cmd.Stdout, cmd.Stderr = &buffer, &buffer
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		fail("%v", err)
	}
	shown := make([]string, len(args))
	for i, arg := range args {
		shown[i] = filepath.Base(arg)
	}
	text := strings.ReplaceAll(strings.TrimSpace(buffer.String()), folder+"/", "")
	rec.printf("stairvane %s: exit %d\n%s", strings.Join(shown, " "), code, text)
	return code, buffer.String()
}

// leader returns the name of the replica that leads.
func (g *replicaGroup) leader() string {
	leader := ""
	waitFor("a leader", 10*time.Second, func() bool {
		for _, n := range g.names {
			if !g.running[n].isRunning() {
				continue
			}
			var status struct {
				Leads  bool   `json:"leads"`
				Leader string `json:"leader"`
			}
			if raw := httpGet("http://" + g.write[n] + "/v1/copies"); json.Unmarshal(raw, &status) == nil && status.Leads {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

func httpGet(url string) []byte {
	rest, _ := strings.CutPrefix(url, "http://")
	addr, path, _ := strings.Cut(rest, "/")
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET /%s HTTP/1.0\r\nHost: board\r\n\r\n", path)
	var buffer bytes.Buffer
	_, _ = buffer.ReadFrom(conn)
	_, body, _ := bytes.Cut(buffer.Bytes(), []byte("\r\n\r\n"))
	return body
}
