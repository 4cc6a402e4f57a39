package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// peakMemoryKB returns the highest resident size of a process so far.
func (p *directorProcess) peakMemoryKB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s*(\d+) kB`).FindSubmatch(status)
	if peak == nil {
		p.t.Fatal("the process has no VmHWM")
	}
	kb, err := strconv.Atoi(string(peak[1]))
	if err != nil {
		p.t.Fatal(err)
	}
	return kb
}

// Guards against exceeding the memory limit by what clients leave unread, and against saving that memory at the expense of clients
// that read, however slowly.
func TestUnreadAnswersStayWithinMemoryLimit(t *testing.T) {
	const memoryMB, requests, silentClients, slowClients, floods = 32, 31, 24, 12, 8
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	cache.SetObjectSize(240_000)
	c := quickstartConfig(t, "127.0.0.1:1", 256)
	c["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": 256}
	list := endpointList(1, true, endpoint("s-1", cache.Addr(), "in_service", 8, 0))
	c["known"] = json.RawMessage(`{"no":1,"items":[{"no":1,` + list + `}]}`)
	p := startDirector(t, c, 256)
	addr := p.waitServing()
	connect := func(bytesPerS, requests int) *fakes.Client {
		client, err := fakes.ConnectSlow(addr, bytesPerS)
		if err != nil {
			t.Fatal(err)
		}
		for range requests {
			if err := client.SendRandom(1000, 5*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		return client
	}
	for range silentClients {
		defer connect(0, requests).Finish(0)
	}
	for range floods {
		defer floodHeartbeats(t, addr)()
	}
	slow := make([]*fakes.Client, slowClients)
	for i := range slow {
		slow[i] = connect(4<<20, requests)
	}
	if tally, err := fakes.Load(addr, 50, 3*time.Second); err != nil || tally.Lost > 0 || tally.Duplicated > 0 {
		t.Errorf("a client that reads at once: %+v, %v", tally, err)
	}
	for i, client := range slow {
		if tally := client.Finish(10 * time.Second); tally.Lost > 0 || tally.Duplicated > 0 {
			t.Errorf("slow client %d: %+v", i, tally)
		}
	}
	peak := p.peakMemoryKB()
	t.Logf("%d KB were resident", peak)
	if peak > memoryMB<<10 {
		t.Errorf("the limit is %d KB", memoryMB<<10)
	}
	if !strings.Contains(p.logged(), `"client.stuck"`) {
		t.Error("no client that reads nothing was closed")
	}
}

// floodHeartbeats sends heartbeats as fast as the director reads them, and reads no answer, until stop is called or the director
// closes the connection.
func floodHeartbeats(t *testing.T, addr string) (stop func()) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	const call = "\x00\x00\x00\x1a\x80\x01\x00\x01\x00\x00\x00\x09heartbeat\x00\x00\x00\x01\x02\x00\x01\x01\x00"
	text := strings.Repeat(call, 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}()
	return func() {
		_ = conn.Close() // ends the writes
		<-done
	}
}
