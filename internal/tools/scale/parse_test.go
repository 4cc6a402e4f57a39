package scale

import (
	"errors"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/scale/simulated"
)

func TestParseStat(t *testing.T) {
	got, err := parseStat("77 (a (b) c) S 1 77 77 0 -1 4194560 900 0 0 0 1234 66 5 6 20 0 9 0 100 200 300")
	if want := 13 * time.Second; err != nil || got != want {
		t.Errorf("%v, %v", got, err)
	}
	for _, text := range []string{"", "77 (a) S 1", "77 (a) S 1 77 77 0 -1 4194560 900 0 0 0 x 66 5"} {
		if _, err := parseStat(text); !errors.Is(err, errMalformedStat) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestParseKeyAndBusy(t *testing.T) {
	text := "Name:\ta VmRSS: 3\nVmRSS:\t  4321 kB\nEmpty:\n"
	if parseKey(text, "VmRSS") != 4321 || parseKey(text, "Empty") != 0 || parseKey(text, "None") != 0 {
		t.Error("keys are not read")
	}
	if got := parseBusy("cpu  100 10 40 9000 700 20 30 0 5 5"); got != 2*time.Second {
		t.Errorf("busy %v", got)
	}
}

func TestReadLog(t *testing.T) {
	gone, losses := readLog([]string{
		`{"msg":"membership.changed","joined":1,"gone":["a/1","b/2"]}`, `not JSON`, `{"msg":"watcher.lease_lost","followers":3}`,
		`{"msg":"membership.changed","joined":2,"gone":null}`, `{"msg":"other","gone":["c/3"]}`,
	})
	if !slices.Equal(gone, []string{"a/1", "b/2"}) || losses != 1 {
		t.Errorf("%v, %d", gone, losses)
	}
}

func TestSettingsOutOfBoundsAreRejected(t *testing.T) {
	usual := func() Settings {
		return Settings{Directors: []int{100}, Replicas: 3, Processes: 2, PurgesPerSecond: 21, StartPerSecond: 100, Window: time.Second}
	}
	if err := usual().Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Settings){
		"no size":        func(s *Settings) { s.Directors = nil },
		"directors":      func(s *Settings) { s.Directors = []int{100, MaxDirectors + 1} },
		"in one process": func(s *Settings) { s.Directors = []int{2*simulated.MaxDirectors + 1} },
		"processes":      func(s *Settings) { s.Relays = MaxProcesses },
		"window":         func(s *Settings) { s.Window = MaxWindow + 1 },
		"purges":         func(s *Settings) { s.PurgesPerSecond = MaxPurges + 1 },
		"one relay":      func(s *Settings) { s.Relays, s.Fault = 1, KillRelay },
	} {
		set := usual()
		change(&set)
		if set.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestCollapseReasons(t *testing.T) {
	healthy := Row{Simulated: 30, Real: 2, Joined: 32}
	if got := collapseReasons(healthy); len(got) != 0 {
		t.Errorf("%v", got)
	}
	for name, change := range map[string]func(*Row){
		"joined":   func(r *Row) { r.Joined = 31 },
		"lost":     func(r *Row) { r.MembershipLost = 1 },
		"repeated": func(r *Row) { r.PurgesRepeated = 1 },
		"missing":  func(r *Row) { r.PurgesMissing = 1 },
		"leases":   func(r *Row) { r.LeaseLosses = 1 },
		"ended":    func(r *Row) { r.EndedByServer = 1 },
		"lapsed":   func(r *Row) { r.Lapsed = 1 },
		"faulty":   func(r *Row) { r.Fault = KillLeader },
	} {
		row := healthy
		change(&row)
		if got := collapseReasons(row); len(got) != 1 {
			t.Errorf("%s: %v", name, got)
		}
	}
}
