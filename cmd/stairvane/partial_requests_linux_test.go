package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

const (
	maxFrame       = 64 << 10 // bytes of the largest message of a client
	largestBody    = 48_000   // bytes of the largest body of a request
	frameHeadBytes = 4
)

// largeRequest returns a framed request with a body of the largest size.
func largeRequest(id string) string {
	return submitCall(1, strings.Repeat("b", largestBody),
		"method", "clips", "rid", id, "budget", "5000", "obj", id, "part", "0", "group", "5", "mem", "100")
}

// manyFields returns the start of the largest message, which has as many short fields as fit into it.
func manyFields() string {
	text := string(binary.BigEndian.AppendUint32(nil, maxFrame))
	text += "\x80\x01\x00\x01\x00\x00\x00\x06submit\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x00\x00\x20\x00"
	return text + strings.Repeat("\x00\x00\x00\x00\x00\x00\x00\x00", (maxFrame-len(text))/8)
}

// startMemoryTest starts a director with a memory limit in MB and the most descriptors, on a number of cores, and a cache that answers with
// the largest objects.
func startMemoryTest(t *testing.T, memoryMB, cores int) *directorProcess {
	t.Helper()
	const descriptors = 1024
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cache.Close)
	cache.SetObjectSize(240_000)
	c := quickstartConfig(t, "127.0.0.1:1", descriptors)
	c["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": descriptors}
	list := endpointList(1, true, endpoint("s-1", cache.Addr(), "in_service", 8, 0))
	c["known"] = json.RawMessage(`{"no":1,"items":[{"no":1,` + list + `}]}`)
	p := startDirectorOnCores(t, c, descriptors, cores)
	p.waitServing()
	return p
}

// holdConnections keeps a number of connections open on which text was written, and opens each anew when the director closes it, until stop
// is called. The text is written in pieces, with a pause after each.
func holdConnections(t *testing.T, addr string, connections int, text string, pieces int) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	ended := make(chan struct{})
	for range connections {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				go func() { _ = writePieces(conn, text, pieces) }() // it may be closed before
				closed := make(chan struct{})
				go func() { defer close(closed); _, _ = conn.Read(make([]byte, 1)) }()
				select {
				case <-closed:
				case <-done:
				}
				_ = conn.Close() // it may be closed already
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}()
	}
	return func() {
		close(done)
		for range connections {
			<-ended
		}
	}
}

// writePieces writes a text in pieces, one every 300 ms.
func writePieces(conn net.Conn, text string, pieces int) error {
	for i := range pieces {
		if _, err := conn.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces])); err != nil {
			return err
		}
		if pieces > 1 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}

// submitSlowly sends a large request in pieces and returns the result.
func submitSlowly(addr, text string) (result int, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // nothing depends on it
	if err := writePieces(conn, text, 5); err != nil {
		return 0, err
	}
	return readResult(conn)
}

// connectSilent connects clients that send requests and read no answers, until the test ends.
func connectSilent(t *testing.T, addr string, clients int) {
	t.Helper()
	const requests = 31
	for range clients {
		client, err := fakes.ConnectSlow(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Finish(0) })
		for range requests {
			if err := client.SendRandom(1000, 5*time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against exceeding the memory limit by messages that clients have written in part, on one core and on several, and against saving
// that memory at the expense of clients that write slowly, or that read at once beside others that read nothing.
func TestPartialRequestsStayWithinMemoryLimit(t *testing.T) {
	const memoryMB, clients, silentClients, slowWriters = 32, 340, 34, 8
	large := largeRequest("00000000000000aa")
	shapes := []struct {
		name, text string
		pieces     int // in which each client writes its text, slowly
		silent     int
	}{
		{"nothing", "", 1, 0},
		{"head of the largest message", string(binary.BigEndian.AppendUint32(nil, maxFrame)) + "x", 1, 0},
		{"all but the last byte", large[:len(large)-1], 1, 0},
		{"many short fields", manyFields()[:maxFrame-10], 1, 0},
		{"a large request, slowly", large[:len(large)-1], 12, 0},
		{"all but the last byte, and clients that read nothing", large[:len(large)-1], 1, silentClients},
	}
	for _, cores := range []int{1, 4} {
		for _, shape := range shapes {
			t.Run(fmt.Sprintf("%s, %d cores", shape.name, cores), func(t *testing.T) {
				p := startMemoryTest(t, memoryMB, cores)
				t.Logf("%d KB at the start", p.peakMemoryKB())
				connectSilent(t, p.addr, shape.silent)
				stop := holdConnections(t, p.addr, clients-shape.silent-slowWriters-8, shape.text, shape.pieces)
				defer stop()
				type outcome struct {
					result int
					err    error
				}
				slow := make(chan outcome, slowWriters)
				for i := range slowWriters {
					go func() {
						result, err := submitSlowly(p.addr, largeRequest(fmt.Sprintf("%016x", 0xdd00+i)))
						slow <- outcome{result, err}
					}()
				}
				tally, err := fakes.Load(p.addr, 50, 3*time.Second)
				if err != nil || tally.Served < tally.Sent*9/10 || tally.Lost > 0 || tally.Duplicated > 0 {
					t.Errorf("a client that writes and reads at once: %+v, %v", tally, err)
				}
				t.Logf("%+v", tally)
				for range slowWriters {
					if o := <-slow; o.err != nil || o.result != 0 {
						t.Errorf("a client that writes slowly: result %d, %v; connections were rejected %d times", o.result, o.err,
							strings.Count(p.logged(), `"client.rejected"`))
					}
				}
				peak := p.peakMemoryKB()
				t.Logf("%d KB were resident at most", peak)
				if peak > memoryMB<<10 {
					t.Errorf("the limit is %d KB", memoryMB<<10)
				}
			})
		}
	}
}
