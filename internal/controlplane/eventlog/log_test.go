package eventlog

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/fleettest"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

func TestMain(m *testing.M) { fleettest.Main(m) }

// watcher applies answers like a director: events in ascending order of revision, changes of the endpoint list and snapshots.
type watcher struct {
	last   int64
	hosts  map[string]discovery.Endpoint
	purges []string
}

func (w *watcher) apply(t interface{ Fatalf(string, ...any) }, parts [][]byte) {
	var body []byte
	for _, p := range parts {
		body = append(body, p...)
	}
	response, err := discovery.Decode(body)
	if err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	for _, event := range response.Events {
		if event.Revision <= w.last {
			continue
		}
		w.last = event.Revision
		if event.Endpoints != nil {
			if event.Endpoints.Snapshot {
				w.hosts = map[string]discovery.Endpoint{}
			}
			for _, h := range event.Endpoints.Endpoints {
				if w.hosts[h.Name] = h; h.Health == "terminated" {
					delete(w.hosts, h.Name)
				}
			}
		} else {
			w.purges = append(w.purges, fmt.Sprintf("%d %s", event.Revision, event.Purge.Object))
		}
	}
	w.last = max(w.last, response.LastRevision)
}

// TestWatchersCatchUp checks that every watcher ends with the fleet's endpoint list and has received every purge exactly once,
// regardless of when it polls and how many events the log has dropped in between.
func TestWatchersCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fleet.Fleet
		l, err := New(1, nil, f, rapid.IntRange(0, 3).Draw(t, "keep"))
		if err != nil {
			t.Fatal(err)
		}
		watchers := []*watcher{{hosts: map[string]discovery.Endpoint{}}, {hosts: map[string]discovery.Endpoint{}}}
		purges := 0
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			e := fleet.Event{No: f.Revision + 1, AtMS: 1000}
			name := fmt.Sprintf("c-%d", rapid.IntRange(0, 3).Draw(t, "host"))
			switch m := f.Host(name); {
			case rapid.IntRange(0, 3).Draw(t, "what") == 0:
				purges++
				e.Purge = &fleet.Purge{Object: fmt.Sprintf("%016x", n), IssuedMS: 1000}
			case m != nil:
				to := *m
				to.State = fleet.Terminated
				e.Host = &to
			default:
				spec := fleet.HostSpec{Name: name, Address: name + ":1"}
				e.Host = &fleet.Host{HostSpec: spec, State: fleet.InService, Serving: float64(n)}
			}
			if f, err = f.Apply(e); err != nil {
				t.Fatal(err)
			}
			if err := l.Add([]fleet.Event{e}, f); err != nil {
				t.Fatal(err)
			}
			if keep := rapid.IntRange(0, 5).Draw(t, "compact"); len(l.events) > keep { // as trim does when there are many events
				l.first += int64(len(l.events) - keep)
				l.events = l.events[len(l.events)-keep:]
			}
			if w := watchers[rapid.IntRange(0, 1).Draw(t, "who")]; rapid.Bool().Draw(t, "asks") {
				if parts, _, err := l.Answer(w.last, false); err != nil {
					t.Fatal(err)
				} else if parts != nil {
					w.apply(t, parts)
				}
			}
		}
		for _, w := range watchers {
			if parts, _, err := l.Answer(w.last, false); err != nil {
				t.Fatal(err)
			} else if parts != nil {
				w.apply(t, parts)
			}
			if w.last != f.Revision || len(w.hosts) != f.Len() || len(w.purges) != purges {
				t.Fatalf("at %d of %d with %d hosts of %d, %v", w.last, f.Revision, len(w.hosts), f.Len(), w.purges)
			}
			for m := range f.Hosts() {
				if w.hosts[m.Name].Weight != m.Serving {
					t.Fatalf("%v is not %v", w.hosts[m.Name], m)
				}
			}
		}
	})
}

// TestAnswersAreBounded checks that many events are sent in consecutive answers of bounded size.
func TestAnswersAreBounded(t *testing.T) {
	var f fleet.Fleet
	l, err := New(1, nil, f, 100_000)
	if err != nil {
		t.Fatal(err)
	}
	for range 20_000 {
		e := fleet.Event{No: f.Revision + 1, AtMS: 1, Purge: &fleet.Purge{Object: strings.Repeat("a", 16), IssuedMS: 1}}
		if f, err = f.Apply(e); err != nil {
			t.Fatal(err)
		}
		if err := l.Add([]fleet.Event{e}, f); err != nil {
			t.Fatal(err)
		}
	}
	w, answers := &watcher{last: 1}, 0
	for w.last < f.Revision {
		parts, size, err := l.Answer(w.last, false)
		if err != nil || size > MaxAnswer+100 {
			t.Fatal(err, size)
		}
		w.apply(t, parts)
		answers++
	}
	if len(w.purges) != 19_999 || answers < 2 {
		t.Errorf("%d purges in %d answers", len(w.purges), answers)
	}
}
