package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// quickstartConfig returns the quick start configuration with a different control plane address, listen address and limits.
func quickstartConfig(t *testing.T, controlPlane string, sockets int) map[string]any {
	t.Helper()
	text, err := os.ReadFile("../../deploy/quickstart/director.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"] = "127.0.0.1:0"
	c["bulletin"] = controlPlane
	c["limits"] = map[string]any{"memory_mb": 64, "sockets": sockets}
	return c
}

func endpointList(seq int, snapshot bool, hosts ...string) string {
	return fmt.Sprintf(`"roster":{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, snapshot, strings.Join(hosts, ","))
}

func endpoint(name, addr, health string, share float64, startedAtMS int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"west","class":"std","health":%q,"share":%g,"born_ms":%d}`,
		name, addr, health, share, startedAtMS)
}

// fakeControlPlane answers polls with the published events.
type fakeControlPlane struct {
	mu      sync.Mutex
	events  []string
	changed chan struct{}
}

func newFakeControlPlane(events ...string) *fakeControlPlane {
	return &fakeControlPlane{events: events, changed: make(chan struct{})}
}

func (d *fakeControlPlane) publish(events ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, events...)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeControlPlane) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.Atoi(query.Get("after"))
	timeoutMS, errTimeout := strconv.Atoi(query.Get("patience"))
	if errAfter != nil || errTimeout != nil {
		http.Error(rw, "malformed poll", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(timeoutMS) * time.Millisecond)
	for {
		d.mu.Lock()
		events := d.events
		changed := d.changed
		d.mu.Unlock()
		if len(events) > after {
			var items []string
			for i := after; i < len(events); i++ {
				items = append(items, fmt.Sprintf(`{"no":%d,%s}`, i+1, events[i]))
			}
			_, _ = fmt.Fprintf(rw, `{"no":%d,"items":[%s]}`, len(events), strings.Join(items, ","))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = fmt.Fprintf(rw, `{"no":%d,"items":[]}`, after)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func serveControlPlane(t *testing.T, addr string, d *fakeControlPlane) string {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: d}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() }) // the director has exited
	return ln.Addr().String()
}
