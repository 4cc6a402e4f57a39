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

// follower takes answers in as a director does: by rising numbers, changes of a list, whole lists.
type follower struct {
	last  int64
	hosts map[string]discovery.Endpoint
	drops []string
}

func (f *follower) take(t interface{ Fatalf(string, ...any) }, parts [][]byte) {
	var body []byte
	for _, p := range parts {
		body = append(body, p...)
	}
	feed, err := discovery.Decode(body)
	if err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	for _, i := range feed.Events {
		if i.Revision <= f.last {
			continue
		}
		f.last = i.Revision
		if i.Endpoints != nil {
			if i.Endpoints.Snapshot {
				f.hosts = map[string]discovery.Endpoint{}
			}
			for _, h := range i.Endpoints.Endpoints {
				if f.hosts[h.Name] = h; h.Health == "terminated" {
					delete(f.hosts, h.Name)
				}
			}
		} else {
			f.drops = append(f.drops, fmt.Sprintf("%d %s", i.Revision, i.Purge.Object))
		}
	}
	f.last = max(f.last, feed.LastRevision)
}

// Whenever followers ask, and however much was compacted away meanwhile, each ends with the fleet's list and has got
// every purge once.
func TestFollowersCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fleet.Fleet
		l, err := New(1, nil, f, rapid.IntRange(0, 3).Draw(t, "keep"))
		if err != nil {
			t.Fatal(err)
		}
		followers := []*follower{{hosts: map[string]discovery.Endpoint{}}, {hosts: map[string]discovery.Endpoint{}}}
		purges := 0
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			e := fleet.Event{No: f.Revision + 1, AtMS: 1000}
			name := fmt.Sprintf("c-%d", rapid.IntRange(0, 3).Draw(t, "box"))
			switch m := f.Host(name); {
			case rapid.IntRange(0, 3).Draw(t, "what") == 0:
				purges++
				e.Purge = &fleet.Purge{Object: fmt.Sprintf("%016x", n), IssuedMS: 1000}
			case m != nil:
				to := *m
				to.State = fleet.Terminated
				e.Host = &to
			default:
				e.Host = &fleet.Host{HostSpec: fleet.HostSpec{Name: name, Address: name + ":1"}, State: fleet.InService, Serving: float64(n)}
			}
			if f, err = f.Apply(e); err != nil {
				t.Fatal(err)
			}
			if err := l.Add([]fleet.Event{e}, f); err != nil {
				t.Fatal(err)
			}
			if keep := rapid.IntRange(0, 5).Draw(t, "compact"); len(l.items) > keep { // what Add does once it is worth it
				l.first += int64(len(l.items) - keep)
				l.items = l.items[len(l.items)-keep:]
			}
			if w := followers[rapid.IntRange(0, 1).Draw(t, "who")]; rapid.Bool().Draw(t, "asks") {
				if parts, _, err := l.Answer(w.last, false); err != nil {
					t.Fatal(err)
				} else if parts != nil {
					w.take(t, parts)
				}
			}
		}
		for _, w := range followers {
			if parts, _, err := l.Answer(w.last, false); err != nil {
				t.Fatal(err)
			} else if parts != nil {
				w.take(t, parts)
			}
			if w.last != f.Revision || len(w.hosts) != f.Len() || len(w.drops) != purges {
				t.Fatalf("at %d of %d with %d hosts of %d, %v", w.last, f.Revision, len(w.hosts), f.Len(), w.drops)
			}
			for m := range f.Hosts() {
				if w.hosts[m.Name].Share != m.Serving {
					t.Fatalf("%v is not %v", w.hosts[m.Name], m)
				}
			}
		}
	})
}

// A long history is told in answers of bounded size that follow on each other.
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
	w, answers := &follower{last: 1}, 0
	for w.last < f.Revision {
		parts, size, err := l.Answer(w.last, false)
		if err != nil || size > MaxAnswer+100 {
			t.Fatal(err, size)
		}
		w.take(t, parts)
		answers++
	}
	if len(w.drops) != 19_999 || answers < 2 {
		t.Errorf("%d purges in %d answers", len(w.drops), answers)
	}
}
