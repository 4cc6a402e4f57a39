package capacity

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

const runTemplate = `{"began":"2026-12-02T05:00:00Z","cores":8,
	"settings":{"replicas":3,"relays":RELAYS,"cold_caches":8,"processes":3,"start_per_second":20},"stopped":"s","rows":[ROWS]}`

func rowJSON(simulated, leaderCores, more string) string {
	return `{"began":"2026-12-02T05:00:01Z","hollow_directors":` + simulated + `,"real_directors":2,"load_average":[1,2],
		"director_up":30,"director_down":12,"purge_delay":{"p99_ms":50},"purge_last":{"p99_ms":60,"max_ms":70},
		"roles":[{"role":"leader","cpu":` + leaderCores + `,"resident_mb":1},
		{"role":"relay","cpu":0.5,"resident_mb":2}]` + more + `}`
}

func runJSON(relays string, rows ...string) string {
	return strings.NewReplacer("RELAYS", relays, "ROWS", strings.Join(rows, ",")).Replace(runTemplate)
}

func readRun(t *testing.T, file, relays string, rows ...string) []Row {
	t.Helper()
	read, err := ReadScaleRun(strings.NewReader(runJSON(relays, rows...)), file)
	if err != nil {
		t.Fatal(err)
	}
	if len(read) != len(rows) {
		t.Fatalf("%d rows, not %d: %+v", len(read), len(rows), read)
	}
	return read
}

// rowsWithoutCollapse returns five rows with 100 to 500 directors that did not collapse.
func rowsWithoutCollapse() []string {
	return []string{
		rowJSON("98", "0.1", ""),
		rowJSON("198", "0.2", ""),
		rowJSON("298", "0.3", ""),
		rowJSON("398", "0.4", ""),
		rowJSON("498", "0.5", ""),
	}
}

// rowsWithCollapse returns the rows of rowsWithoutCollapse, followed by a sixth of a size that collapsed.
func rowsWithCollapse(t *testing.T) []Row {
	t.Helper()
	collapsed := rowJSON("598", "9", `,"collapsed":["directors lost their leases"]`)
	return readRun(t, "run.json", "4", append(rowsWithoutCollapse(), collapsed)...)
}

const (
	leaderLawName = "process.leader.cores.with_relays_8_cold"
	relayLawName  = "process.relay.cores.with_relays_8_cold"
)

func TestReadScaleRun(t *testing.T) {
	r := rowsWithCollapse(t)[0]
	if r.Directors != 100 || r.Load != 2 || r.DirectorBytes != 42 || r.LeaderMemory != 1<<20 ||
		r.JoinsPerSecond != 60 || r.PurgeLastP99 != 0.06 || r.PurgeLongest != 0.07 {
		t.Errorf("%+v", r)
	}
}

// TestProcessLaws checks that the laws of a run cover the sizes that did not collapse, and that the laws of relays are a function of
// the directors of one relay.
func TestProcessLaws(t *testing.T) {
	rows := rowsWithCollapse(t)
	measured := Measured{Laws: Laws{}, Rows: []Row{{File: "run.json"}, {File: "another.json"}}}
	measured.AddRows(rows)
	leader := measured.Laws[leaderLawName]
	if len(leader.Points) != 5 || math.Abs(leader.At(300)-0.3) > 1e-9 || leader.Points[4].X != 500 {
		t.Errorf("%+v", leader)
	}
	if relay := measured.Laws[relayLawName]; len(relay.Points) != 5 || relay.Points[4].X != 125 {
		t.Errorf("%+v", relay)
	}
	if len(measured.Rows) != 7 || measured.Rows[0].File != "another.json" {
		t.Errorf("%+v", measured.Rows)
	}
	var text bytes.Buffer
	if err := measured.Write(&text); err != nil {
		t.Fatal(err)
	}
	if decoded, err := Read(&text); err != nil || len(decoded.Rows) != 7 || len(decoded.Laws) != len(measured.Laws) {
		t.Errorf("%+v, %v", decoded, err)
	}
}

// TestProcessLawsOfTwoRuns guards against a law that is fitted to the sizes of the latest run only.
func TestProcessLawsOfTwoRuns(t *testing.T) {
	rows := rowsWithCollapse(t)
	measured := Measured{Laws: Laws{}}
	secondRun := slices.Clone(rows[3:])
	for i := range secondRun {
		secondRun[i].File = "second.json"
	}
	measured.AddRows(rows[:3])
	if len(measured.Laws) != 0 {
		t.Errorf("laws were fitted to three sizes: %+v", measured.Laws)
	}
	measured.AddRows(secondRun)
	law := measured.Laws[leaderLawName]
	if len(law.Points) != 5 || !strings.HasSuffix(law.Source.Command, "run.json, second.json") {
		t.Errorf("law of five sizes from two runs: %+v", law)
	}
}

// TestProcessLawsOmitFaultsAndCollapses guards against laws fitted to rows with an injected fault or to sizes that collapsed.
func TestProcessLawsOmitFaultsAndCollapses(t *testing.T) {
	rows := rowsWithCollapse(t)
	faulty := readRun(t, "fault.json", "4", rowJSON("698", "9", `,"fault":"kill-relay","recovery_seconds":0.2`))
	if faulty[0].Fault != "kill-relay" || faulty[0].Recovery != 0.2 {
		t.Fatalf("%+v", faulty)
	}
	if law := processLaws(append(faulty, rows...))[leaderLawName]; len(law.Points) != 5 || law.Points[0].X != 100 {
		t.Errorf("a run with a fault is included in the law: %+v", law)
	}
	if few := processLaws(append(rows[:4:4], rows[5])); len(few) != 0 {
		t.Errorf("laws were fitted to four sizes: %+v", few)
	}
}

func TestProcessLawsWithoutRelays(t *testing.T) {
	laws := processLaws(readRun(t, "x", "0", rowsWithoutCollapse()...))
	if laws["process.leader.cores.without_relays_8_cold"].Name == "" {
		t.Errorf("the law of the leader is missing: %+v", laws)
	}
	if laws["process.relay.cores.without_relays_8_cold"].Name != "" {
		t.Errorf("a law of a relay was fitted without relays: %+v", laws)
	}
}

func TestReadScaleRunRejects(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		want func(error) bool
	}{
		{"no settings", `{"rows":[` + rowJSON("98", "0.1", "") + `]}`, isNoScaleRun},
		{"no rows", runJSON("0"), isNoScaleRun},
		{"no JSON", "{", func(err error) bool { return err != nil && !isNoScaleRun(err) }},
	} {
		if rows, err := ReadScaleRun(strings.NewReader(c.text), "run.json"); !c.want(err) {
			t.Errorf("%s: %v, %+v", c.name, err, rows)
		}
	}
}

func isNoScaleRun(err error) bool { return errors.Is(err, ErrNoScaleRun) }
