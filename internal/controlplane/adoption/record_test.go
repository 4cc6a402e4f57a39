package adoption

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestRecord checks that, for any order of commits and reports, a director counts as having applied an event exactly if it reported
// that event or a later one, and never at a time before the commit. Events that are not recorded must not be found.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 8
		begin := rapid.Int64Range(0, 5).Draw(t, "begin")
		r, last, now := New(keep, begin), begin, time.Duration(0)
		applied, joined := map[string]int64{}, map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "time")) * ms
			if out := rapid.IntRange(0, 8).Draw(t, "gone"); out < 4 {
				r.MarkGone(func(id string) bool { return id != fmt.Sprint("d", out) }, now+1)
			}
			if rapid.Bool().Draw(t, "commit") {
				last += rapid.Int64Range(1, 3).Draw(t, "events")
				r.RecordCommitted(last, now)
				continue
			}
			id, n := fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "director")), rapid.Int64Range(0, last+2).Draw(t, "applied")
			r.RecordApplied(id, n, now-20*ms)
			if _, known := applied[id]; !known {
				joined[id] = n
			}
			if n <= last {
				applied[id] = max(applied[id], n)
			}
		}
		for no := int64(1); no <= last+1; no++ {
			e, from, to, recorded := r.Event(no, now)
			if recorded != (no > begin && no > last-keep && no <= last) || recorded && (no < from || no > to) {
				t.Fatalf("event %d of %d after %d: recorded %v, from %d to %d", no, last, begin, recorded, from, to)
			}
			for _, x := range e.Applied {
				if x.AfterMS < 0 || applied[x.Director] < no || joined[x.Director] >= no {
					t.Fatalf("event %d: %+v, it has applied %d and began at %d", no, x, applied[x.Director], joined[x.Director])
				}
			}
			if recorded && e.HadInitially+len(e.Applied)+len(e.Missing)+len(e.Lost) != len(r.applied) {
				t.Fatalf("event %d: %+v of %d directors", no, e, len(r.applied))
			}
			for _, id := range append(e.Missing, e.Lost...) {
				if applied[id] >= no {
					t.Fatalf("event %d: %s is missing and has applied %d", no, id, applied[id])
				}
			}
		}
		if len(r.committedAt) > keep || len(r.appliedAt) > keep {
			t.Fatalf("%d and %d events are recorded", len(r.committedAt), len(r.appliedAt))
		}
	})
}

// TestRelayIsReporter checks that a relay is one reporter for all of its directors: the directors that it reports as stale are missing,
// the directors that it serves are no longer reporters, and a relay that is gone is listed as lost for the events that it has not
// applied.
func TestRelayIsReporter(t *testing.T) {
	r := New(10, 0)
	relay, gone := RelayReporter("r1/1"), RelayReporter("r2/1")
	for _, id := range []string{relay, gone, "d1/1", "d2/1"} {
		r.RecordApplied(id, 0, 0)
	}
	r.RecordCommitted(3, 10*ms)
	r.RecordApplied(relay, 3, 50*ms)
	r.RecordApplied("d2/1", 2, 30*ms)
	r.SetStale(relay, []Stale{{"d3/1", 2}, {"d4/1", 0}})
	r.RemoveServedByRelay(func(id string) bool { return id == "d1/1" })
	r.MarkGone(func(id string) bool { return id != gone }, 60*ms)
	e, _, _, _ := r.Event(3, 70*ms)
	if fmt.Sprint(e.Applied, e.Missing, e.Lost) != "[{relay:r1/1 40}] [d2/1 d3/1 d4/1] [relay:r2/1]" {
		t.Fatalf("%+v", e)
	}
	if e, _, _, _ = r.Event(2, 70*ms); fmt.Sprint(e.Missing) != "[d4/1]" || len(e.Applied) != 2 {
		t.Fatalf("%+v", e)
	}
	r.SetStale(relay, nil)
	r.MarkGone(func(id string) bool { return false }, 80*ms)
	r.MarkGone(func(id string) bool { return false }, 80*ms+goneExpiry+1)
	if len(r.applied)+len(r.initial)+len(r.goneSince)+len(r.stale) != 0 {
		t.Fatalf("%v, %v", r.applied, r.stale)
	}
	if RelayOf(relay) != "r1/1" || RelayOf("d1/1") != "" {
		t.Fatal(RelayOf(relay), RelayOf("d1/1"))
	}
}
