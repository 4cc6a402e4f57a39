package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// floodCall returns a framed call of a method with arguments.
func floodCall(kind byte, method, arguments string) string {
	return thriftText("\x80\x01\x00" + string(kind) + thriftText(method) + "\x00\x00\x00\x01" + arguments + "\x00")
}

// floods are calls that a client may send as fast as they are read. Each function returns some of them.
var floods = map[string]func() string{
	"heartbeats":      func() string { return strings.Repeat(floodCall(1, "heartbeat", "\x02\x00\x01\x01"), 1000) },
	"cancels":         func() string { return strings.Repeat(floodCall(4, "revoke", "\x08\x00\x01\x00\x00\x00\x09"), 1000) },
	"unknown methods": func() string { return strings.Repeat(floodCall(1, fmt.Sprint("m", rand.Uint64()), ""), 1000) },
	"empty requests":  func() string { return strings.Repeat(submitCall(1, ""), 1000) },
	"one-way calls":   func() string { return strings.Repeat(floodCall(4, "m", ""), 1000) },
	"new classes": func() string {
		return newRequests(func() []string { return []string{"method", fmt.Sprintf("c%x", rand.Uint64())} })
	},
	"new objects and groups": func() string {
		return newRequests(func() []string { return []string{"method", "clips"} })
	},
	"new keys": func() string {
		return newRequests(func() []string { return []string{"method", "clips", "token", fmt.Sprintf("%x", rand.Uint64())} })
	},
}

var floodSequence uint32 = 1

// newRequests returns requests for ever new objects, each with the fields of one call of more, and a cancel of each.
func newRequests(more func() []string) string {
	var text strings.Builder
	for range 200 {
		floodSequence++
		id := fmt.Sprintf("%016x", rand.Uint64())
		fields := append(more(), "rid", id, "budget", "5000", "obj", id, "part", "0", "group", fmt.Sprint(rand.IntN(256)), "mem", "100")
		text.WriteString(submitCall(floodSequence, "", fields...))
		if floodSequence%2 == 0 {
			text.WriteString(floodCall(4, "revoke", "\x08\x00\x01"+string(binary.BigEndian.AppendUint32(nil, floodSequence))))
		}
	}
	return text.String()
}

// flood sends calls as fast as the director reads them, and reads the answers, until stop is called. It connects anew if it is closed.
func flood(addr string, calls func() string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			written := make(chan struct{})
			go func() {
				defer close(written)
				for {
					if _, err := io.WriteString(conn, calls()); err != nil {
						return
					}
				}
			}()
			select {
			case <-written:
			case <-done:
			}
			_ = conn.Close() // ends the write
			<-written
			select {
			case <-done:
				return
			default:
			}
		}
	}()
	return func() { close(done); <-ended }
}

// Guards against other clients that are answered late or never while one client sends small or unsound calls as fast as it can, and
// against memory that grows with the names that it makes up.
func TestFloodOfOneClientDoesNotDelayOthers(t *testing.T) {
	const memoryMB, descriptors, seconds = 32, 1024, 4
	const tolerance = 50 * time.Millisecond // by which time limits are longer on sockets
	for name, calls := range floods {
		t.Run(name, func(t *testing.T) {
			cache, err := fakes.NewCache("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer cache.Close()
			c := quickstartConfig(t, "127.0.0.1:1", descriptors)
			c["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": descriptors}
			list := endpointList(1, true, endpoint("s-1", cache.Addr(), "in_service", 8, 0))
			c["known"] = json.RawMessage(`{"no":1,"items":[{"no":1,` + list + `}]}`)
			p := startDirector(t, c, descriptors)
			addr := p.waitServing()
			stop := flood(addr, calls)
			defer stop()
			time.Sleep(200 * time.Millisecond)
			client, err := fakes.Connect(addr)
			if err != nil {
				t.Fatal(err)
			}
			for range 50 * seconds {
				if err := client.SendRandom(200, 5*time.Second); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			tally := client.Finish(5 * time.Second)
			latencies := client.Latencies()
			slices.Sort(latencies)
			if len(latencies) == 0 {
				t.Fatalf("no request was served: %+v", tally)
			}
			peak := p.peakMemoryKB()
			p99, longest := latencies[len(latencies)*99/100], latencies[len(latencies)-1]
			t.Logf("%+v, median %v, p99 %v, longest %v, %d KB, %d bytes of log", tally,
				latencies[len(latencies)/2], p99, longest, peak, len(p.logged()))
			if tally.Lost+tally.Duplicated+tally.Failed+tally.Rejected > 0 {
				t.Errorf("not all were served: %+v", tally)
			}
			if p99 > tolerance {
				t.Errorf("the 99th percentile is %v", p99)
			}
			if peak > memoryMB<<10 {
				t.Errorf("%d KB were resident", peak)
			}
		})
	}
}
