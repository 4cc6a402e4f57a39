package capacity

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"
)

const runText = `{"began":"2026-12-02T05:00:00Z","cores":8,"settings":{"replicas":3,"relays":RELAYS,"cold_caches":8,"processes":3,"start_per_second":20},"stopped":"s","rows":[ROWS]}`

func rowText(hollow, cpu, collapsed string) string {
	return `{"began":"2026-12-02T05:00:01Z","hollow_directors":` + hollow + `,"real_directors":2,"load_average":[1,2],"director_up":30,"director_down":12,
		"purge_delay":{"p99_ms":50},"purge_last":{"p99_ms":60,"max_ms":70},"roles":[{"role":"leader","cpu":` + cpu + `,"resident_mb":1},
		{"role":"relay","cpu":0.5,"resident_mb":2}]` + collapsed + `}`
}

func runOf(relays string, rows ...string) string {
	return strings.NewReplacer("RELAYS", relays, "ROWS", strings.Join(rows, ",")).Replace(runText)
}

// A run's rows become laws over the sizes that held, by the directors of one relay where a relay's costs are meant.
func TestProcessLaws(t *testing.T) {
	held := []string{rowText("98", "0.1", ""), rowText("198", "0.2", ""), rowText("298", "0.3", ""), rowText("398", "0.4", ""), rowText("498", "0.5", "")}
	fell := rowText("598", "9", `,"collapsed":["directors lost their leases"]`)
	rows, err := ReadScaleRun(strings.NewReader(runOf("4", append(held, fell)...)), "run.json")
	if err != nil || len(rows) != 6 {
		t.Fatal(rows, err)
	}
	if r := rows[0]; r.Directors != 100 || r.Load != 2 || r.DirectorBytes != 42 || r.LeaderMemory != 1<<20 || r.JoinsPerSecond != 60 || r.PurgeLastP99 != 0.06 || r.PurgeLongest != 0.07 {
		t.Errorf("%+v", r)
	}
	measured := Measured{Laws: Laws{}, Rows: []Row{{File: "run.json"}, {File: "another.json"}}}
	measured.AddRows(rows)
	leader, relay := measured.Laws["process.leader.cores.with_relays_8_cold"], measured.Laws["process.relay.cores.with_relays_8_cold"]
	if len(leader.Points) != 5 || math.Abs(leader.At(300)-0.3) > 1e-9 || leader.Points[4].X != 500 || relay.Points[4].X != 125 || len(relay.Points) != 5 {
		t.Errorf("%+v, %+v", leader, relay)
	}
	if len(measured.Rows) != 7 || measured.Rows[0].File != "another.json" {
		t.Errorf("%+v", measured.Rows)
	}
	var text bytes.Buffer
	if err := measured.Write(&text); err != nil {
		t.Fatal(err)
	}
	if again, err := Read(&text); err != nil || len(again.Rows) != 7 || len(again.Laws) != len(measured.Laws) {
		t.Errorf("%+v, %v", again, err)
	}
	halves := Measured{Laws: Laws{}}
	second := slices.Clone(rows[3:])
	for i := range second {
		second[i].File = "second.json"
	}
	halves.AddRows(rows[:3])
	if len(halves.Laws) != 0 {
		t.Errorf("three sizes held, and there are laws: %+v", halves.Laws)
	}
	halves.AddRows(second)
	if law := halves.Laws[leader.Name]; len(law.Points) != 5 || !strings.HasSuffix(law.Source.Command, "run.json, second.json") {
		t.Errorf("five sizes of two runs: %+v", law)
	}
	faulty, err := ReadScaleRun(strings.NewReader(runOf("4", rowText("698", "9", `,"fault":"kill-relay","recovery_seconds":0.2`))), "fault.json")
	if err != nil || faulty[0].Fault != "kill-relay" || faulty[0].Recovery != 0.2 {
		t.Fatal(faulty, err)
	}
	if law := ProcessLaws(append(faulty, rows...))[leader.Name]; len(law.Points) != 5 || law.Points[0].X != 100 {
		t.Errorf("a run with a fault counts: %+v", law)
	}
	if few := ProcessLaws(append(rows[:4:4], rows[5])); len(few) != 0 {
		t.Errorf("four sizes held, and there are laws: %+v", few)
	}
	if alone, err := ReadScaleRun(strings.NewReader(runOf("0", held...)), "x"); err != nil || ProcessLaws(alone)["process.leader.cores.without_relays_8_cold"].Name == "" ||
		ProcessLaws(alone)["process.relay.cores.without_relays_8_cold"].Name != "" {
		t.Errorf("%+v, %v", alone, err)
	}
}

func TestReadScaleRunRefuses(t *testing.T) {
	row := rowText("98", "0.1", "")
	for name, text := range map[string]string{
		"no settings": `{"rows":[` + row + `]}`,
		"no rows":     runOf("0"),
		"no JSON":     "{",
	} {
		if rows, err := ReadScaleRun(strings.NewReader(text), "run.json"); err == nil {
			t.Errorf("%s: %+v", name, rows)
		}
	}
}
