package routing

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// logged gives what f logs.
func logged(t *testing.T, f func()) string {
	t.Helper()
	var b bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&b, nil)))
	defer slog.SetDefault(old)
	f()
	return b.String()
}

// Odd lists come in trouble, when nobody has time for them: each has a log line of its own, and what was asked for before it
// gets its answer.
func TestOddListsAreLoggedAndLoseNoRequest(t *testing.T) {
	moved := line("c", decision.Ready)
	moved.Address = "a"
	for _, x := range []struct {
		event   string
		version int64
		whole   bool
		members []Member
		then    string // what becomes of a request that comes after it
	}{
		{"list.empty", 6, true, nil, "r2 refused"},
		{"", 6, false, []Member{line("b", decision.Gone)}, "r2 served y"},
		{"list.host_repeated", 6, false, []Member{line("a", decision.Draining), line("a", decision.Ready)}, "r2 served y"},
		{"list.out_of_order", 4, false, []Member{line("b", decision.Ready)}, "r2 served y"},
		{"list.address_shared", 6, false, []Member{moved}, "r2 served y"},
		{"list.address_shared", 6, false, []Member{line("a", decision.Ready), moved}, "r2 served y"},
	} {
		d, s, c := scripted(t, none, "a")
		d.UpdateHosts(5, false, nil)
		d.Submit(ask(c, "r1"))
		s.links[0].ev.Up()
		out := logged(t, func() { d.UpdateHosts(x.version, x.whole, x.members) })
		if x.event != "" && !strings.Contains(out, x.event) || x.event == "" && out != "" {
			t.Errorf("%q: logged %q", x.event, out)
		}
		s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
		d.Submit(ask(c, "r2"))
		for _, l := range s.links {
			if !l.closed && len(l.orders) == 0 {
				l.ev.Up()
			}
			l.ev.Reply([]byte("r2"), &Reply{Status: decision.OK, Body: []byte("y")})
		}
		c.want(t, "r1 served x", x.then)
	}
}

// Late news must not bring a box back, while a drain holds however late it is told.
func TestListOutOfOrderKeepsDrainsAlone(t *testing.T) {
	d, _, _ := scripted(t, none, "a", "b")
	d.UpdateHosts(5, false, []Member{line("a", decision.Draining)})
	d.UpdateHosts(4, false, []Member{line("a", decision.Ready), line("b", decision.Draining)})
	for _, name := range []string{"a", "b"} {
		if got := d.byName[name].Readiness; got != decision.Draining {
			t.Errorf("%s is %s", name, got)
		}
	}
}

// A box that takes connections and never completes one costs its request the dial's time, not its only try.
func TestConnectionThatNeverComesUpCostsNoTry(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.DialTimeout = 100 * time.Millisecond }, "a", "b")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Down(nil) // what the dialler tells after its time-out
	if len(s.links) != 2 || s.links[0].address == s.links[1].address {
		t.Fatalf("%d links: it did not go on to the other box", len(s.links))
	}
	s.links[1].ev.Up()
	s.links[1].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
	c.want(t, "r1 served x")
}

// The answer to an attempt that was given up is counted and passed to nobody.
func TestAnswerForAnAttemptGivenUp(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	r := ask(c, "r1")
	d.Submit(r)
	s.links[0].ev.Up()
	d.Revoke(r)
	s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
	c.want(t)
	if d.Counts.LateReplies != 1 || d.Open() != 0 || len(d.known) != 0 {
		t.Errorf("%d late replies, %d open, %d known", d.Counts.LateReplies, d.Open(), len(d.known))
	}
}
