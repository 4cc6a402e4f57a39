package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// bytesOfMB is what the scale run's files mean by a megabyte.
const bytesOfMB = 1 << 20

// Row is one size of a scale run: whole processes, as they were measured.
type Row struct {
	File           string    `json:"file"` // of the run, in docs/design/capacity-runs
	At             time.Time `json:"at"`
	Cores          int       `json:"cores"` // of the machine
	Load           float64   `json:"load"`  // of the last minute, at the window's end
	Replicas       int       `json:"replicas"`
	Relays         int       `json:"relays"`
	ColdCaches     int       `json:"cold_caches"`
	Directors      int       `json:"directors"`
	JoinsPerSecond int       `json:"joins_per_second"` // hollow directors that begin to watch
	LeaderCores    float64   `json:"leader_cores"`
	LeaderMemory   float64   `json:"leader_memory"` // bytes
	ReplicaCores   float64   `json:"replica_cores"`
	ReplicaMemory  float64   `json:"replica_memory"` // bytes
	RelayCores     float64   `json:"relay_cores,omitempty"`
	RelayMemory    float64   `json:"relay_memory,omitempty"` // bytes
	DirectorCores  float64   `json:"director_cores"`
	DirectorMemory float64   `json:"director_memory"` // bytes
	DirectorBytes  float64   `json:"director_bytes"`  // a second, both ways
	DirectorCalls  float64   `json:"director_calls"`  // a second
	PurgeP99       float64   `json:"purge_p99"`       // seconds from a purge's acceptance to a director, over purges and directors
	PurgeLastP99   float64   `json:"purge_last_p99"`  // seconds to the last director, over purges
	PurgeLongest   float64   `json:"purge_longest"`   // seconds, the longest seen
	PurgesMissing  int       `json:"purges_missing"`
	Changes        int       `json:"changes"`             // of the configuration in the window
	Collapsed      []string  `json:"collapsed,omitempty"` // why the size is more than the control plane bears
	Fault          string    `json:"fault,omitempty"`     // that the run made in the window
	Recovery       float64   `json:"recovery,omitempty"`  // seconds from the fault until all directors watched again
}

// scaleRun is what is read of a scale run's file.
type scaleRun struct {
	Settings *struct {
		Replicas   int `json:"replicas"`
		Relays     int `json:"relays"`
		ColdCaches int `json:"cold_caches"`
		Processes  int `json:"processes"`        // of hollow directors
		Starts     int `json:"start_per_second"` // in each
	} `json:"settings"`
	Cores int `json:"cores"`
	Rows  []struct {
		Began       time.Time  `json:"began"`
		Hollow      int        `json:"hollow_directors"`
		Real        int        `json:"real_directors"`
		LoadAverage [2]float64 `json:"load_average"`
		Roles       []roleUse  `json:"roles"`
		Up          float64    `json:"director_up"`
		Down        float64    `json:"director_down"`
		Calls       float64    `json:"director_requests"`
		Delay       spread     `json:"purge_delay"`
		Last        spread     `json:"purge_last"`
		Missing     int        `json:"purges_missing"`
		Changes     int        `json:"changes"`
		Collapsed   []string   `json:"collapsed"`
		Fault       string     `json:"fault"`
		Recovery    float64    `json:"recovery_seconds"`
	} `json:"rows"`
}

type roleUse struct {
	Role       string  `json:"role"`
	CPU        float64 `json:"cpu"`
	ResidentMB float64 `json:"resident_mb"`
}

type spread struct {
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// ReadScaleRun reads the file that a scale run has saved; file is the name that its rows carry.
func ReadScaleRun(r io.Reader, file string) ([]Row, error) {
	var run scaleRun
	if err := json.NewDecoder(r).Decode(&run); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if run.Settings == nil || len(run.Rows) == 0 {
		return nil, fmt.Errorf("capacity: %s is no scale run with rows", file)
	}
	var rows []Row
	for _, from := range run.Rows {
		row := Row{
			File: file, At: from.Began.UTC().Truncate(time.Second), Cores: run.Cores, Load: from.LoadAverage[1],
			Replicas: run.Settings.Replicas, Relays: run.Settings.Relays, ColdCaches: run.Settings.ColdCaches,
			JoinsPerSecond: run.Settings.Processes * run.Settings.Starts,
			Directors:      from.Hollow + from.Real, DirectorBytes: from.Up + from.Down, DirectorCalls: from.Calls,
			PurgeP99: from.Delay.P99 / 1000, PurgeLastP99: from.Last.P99 / 1000, PurgeLongest: from.Last.Max / 1000,
			PurgesMissing: from.Missing, Changes: from.Changes, Collapsed: from.Collapsed,
			Fault: from.Fault, Recovery: from.Recovery,
		}
		for _, use := range from.Roles {
			row.take(use)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (row *Row) take(use roleUse) {
	memory := use.ResidentMB * bytesOfMB
	switch use.Role {
	case "leader":
		row.LeaderCores, row.LeaderMemory = use.CPU, memory
	case "replica":
		row.ReplicaCores, row.ReplicaMemory = use.CPU, memory
	case "relay":
		row.RelayCores, row.RelayMemory = use.CPU, memory
	case "director":
		row.DirectorCores, row.DirectorMemory = use.CPU, memory
	}
}

// processLaw is the name of a law of whole processes in a deployment with relays or without, and with so many cold caches.
func processLaw(what string, relayed bool, cold int) string {
	name := "process." + what + ".without_relays"
	if relayed {
		name = "process." + what + ".with_relays"
	}
	if cold > 0 {
		name += fmt.Sprintf("_%d_cold", cold)
	}
	return name
}

// processMeasure is what one law of whole processes takes from a row.
type processMeasure struct {
	what     string
	about    string
	unit     Unit
	perRelay bool // by the directors of one relay
	value    func(Row) float64
}

var processMeasures = []processMeasure{
	{processDirectorCores, "a director without requests", Cores, false, func(r Row) float64 { return r.DirectorCores }},
	{processDirectorMemory, "the resident memory of a director without requests", Bytes, false, func(r Row) float64 { return r.DirectorMemory }},
	{processDirectorBytes, "bytes a second of a hollow director's watch, both ways", BytesPerSecond, false, func(r Row) float64 { return r.DirectorBytes }},
	{processReplicaCores, "a replica that follows", Cores, false, func(r Row) float64 { return r.ReplicaCores }},
	{processReplicaMemory, "the resident memory of a replica that follows", Bytes, false, func(r Row) float64 { return r.ReplicaMemory }},
	{processLeaderCores, "the leader", Cores, false, func(r Row) float64 { return r.LeaderCores }},
	{processLeaderMemory, "the leader's resident memory", Bytes, false, func(r Row) float64 { return r.LeaderMemory }},
	{
		processPurgeDelay, "the 99th percentile over purges of the time from acceptance to the last director", Seconds, false,
		func(r Row) float64 { return r.PurgeLastP99 },
	},
	{processRelayCores, "a relay", Cores, true, func(r Row) float64 { return r.RelayCores }},
	{processRelayMemory, "a relay's resident memory", Bytes, true, func(r Row) float64 { return r.RelayMemory }},
}

// ProcessLaws fits the laws of rows of one layout, of one run or several. Rows of sizes that collapsed, and of runs that made a fault, do
// not count; with fewer than MinPoints other sizes there are no laws.
func ProcessLaws(rows []Row) Laws {
	held := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return len(r.Collapsed) > 0 || r.Fault != "" })
	laws := Laws{}
	if len(held) == 0 {
		return laws
	}
	first := held[0]
	relayed := first.Relays > 0
	source := sourceOf(held)
	for _, m := range processMeasures {
		if m.perRelay && !relayed {
			continue
		}
		xUnit, servers := "director", 1.0
		if m.perRelay {
			xUnit, servers = "director of a relay", float64(first.Relays)
		}
		var points []Point
		for _, row := range held {
			points = append(points, Point{X: float64(row.Directors) / servers, Y: m.value(row)})
		}
		about := fmt.Sprintf("%s, %d replicas, %d relays, %d cold caches", m.about, first.Replicas, first.Relays, first.ColdCaches)
		law, err := NewLaw(processLaw(m.what, relayed, first.ColdCaches), about, xUnit, m.unit, points, source)
		if err == nil {
			laws[law.Name] = law
		}
	}
	return laws
}

// sourceOf names the runs of rows, with the load at each row.
func sourceOf(rows []Row) Source {
	var files []string
	loads := ""
	for _, row := range rows {
		if !slices.Contains(files, row.File) {
			files = append(files, row.File)
		}
		loads += " " + significant(row.Load)
	}
	return Source{
		Command: "stairvane scale, saved in docs/design/capacity-runs as " + strings.Join(files, ", "), At: rows[0].At,
		Machine: fmt.Sprintf("%d cores, load%s", rows[0].Cores, loads),
	}
}
