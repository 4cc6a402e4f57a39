package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against a director with a settings file that runs inside the much larger program of the sub-commands, whose pages alone nearly
// fill the smallest memory limit, and against settings that do not arrive there.
func TestDirectorWithSettingsFileRunsItsOwnProgram(t *testing.T) {
	const cores, memoryMB = 4, 32
	c := quickstartConfig(t, "127.0.0.1:1", 1024)
	c["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": 1024}
	p := startDirectorOnCores(t, c, 1024, cores)
	addr := p.waitServing()
	if _, err := heartbeat(addr); err != nil {
		t.Fatal(err)
	}
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	if filepath.Base(program) != "stairvane" {
		t.Errorf("the director runs as %s", program)
	}
	peak := p.peakMemoryKB()
	t.Logf("%d KB are resident without any client", peak)
	if peak > memoryMB<<10/2 {
		t.Errorf("%d KB are resident without any client, more than half of the limit", peak)
	}
	p.shutDown(10 * time.Second)
	if n := strings.Count(p.logged(), `"director.stopped"`); n != cores {
		t.Errorf("%d cores have stopped, want %d", n, cores)
	}
}
