package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// bytesOfMB is what the files of scale runs mean by a megabyte.
const bytesOfMB = 1 << 20

const millisecondsPerSecond = 1000

// ErrNoScaleRun tells that a file is JSON, but no scale run with rows.
var ErrNoScaleRun = errors.New("no scale run with rows")

// Row is one size of a scale run: real processes, as they were measured.
type Row struct {
	File           string    `json:"file"` // of the run, in docs/design/capacity-runs
	At             time.Time `json:"at"`
	Cores          int       `json:"cores"` // of the machine
	Load           float64   `json:"load"`  // average of the last minute, at the window's end
	Replicas       int       `json:"replicas"`
	Relays         int       `json:"relays"`
	ColdCaches     int       `json:"cold_caches"`
	Directors      int       `json:"directors"`
	JoinsPerSecond int       `json:"joins_per_second"` // simulated directors that begin to watch
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
	Collapsed      []string  `json:"collapsed,omitempty"` // why the control plane can't bear the size; empty if it can
	Fault          string    `json:"fault,omitempty"`     // that the run injected in the window
	Recovery       float64   `json:"recovery,omitempty"`  // seconds from the fault until all directors watched again
}

// hasCollapsed tells whether the size is more than the control plane bears.
func (r Row) hasCollapsed() bool { return len(r.Collapsed) > 0 }

// hasLayoutOf tells whether two rows can share a law: only the number of directors may differ.
func (r Row) hasLayoutOf(other Row) bool {
	return r.Replicas == other.Replicas && r.Relays == other.Relays && r.ColdCaches == other.ColdCaches
}

// scaleRun is what is read of a scale run's file.
type scaleRun struct {
	Settings *scaleRunSettings `json:"settings"`
	Cores    int               `json:"cores"`
	Rows     []scaleRunRow     `json:"rows"`
}

type scaleRunSettings struct {
	Replicas        int `json:"replicas"`
	Relays          int `json:"relays"`
	ColdCaches      int `json:"cold_caches"`
	Processes       int `json:"processes"`        // of simulated directors
	StartsPerSecond int `json:"start_per_second"` // in each process
}

type scaleRunRow struct {
	Began                time.Time      `json:"began"`
	SimulatedDirectors   int            `json:"hollow_directors"`
	RealDirectors        int            `json:"real_directors"`
	LoadAverage          [2]float64     `json:"load_average"` // before the window and at its end
	Roles                []roleUsage    `json:"roles"`
	BytesUpPerSecond     float64        `json:"director_up"`
	BytesDownPerSecond   float64        `json:"director_down"`
	CallsPerSecond       float64        `json:"director_requests"`
	PurgeDelay           delayQuantiles `json:"purge_delay"`
	PurgeLastDelay       delayQuantiles `json:"purge_last"`
	PurgesMissing        int            `json:"purges_missing"`
	ConfigurationChanges int            `json:"changes"`
	Collapsed            []string       `json:"collapsed"`
	Fault                string         `json:"fault"`
	RecoverySeconds      float64        `json:"recovery_seconds"`
}

// roleUsage is what the processes of a role used, each on average.
type roleUsage struct {
	Role       string  `json:"role"`
	CPU        float64 `json:"cpu"` // cores
	ResidentMB float64 `json:"resident_mb"`
}

type delayQuantiles struct {
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// ReadScaleRun reads the file that a scale run has saved; file is the name that its rows carry. An error is ErrNoScaleRun, or one of
// the JSON decoder.
func ReadScaleRun(r io.Reader, file string) ([]Row, error) {
	var run scaleRun
	if err := json.NewDecoder(r).Decode(&run); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if run.Settings == nil || len(run.Rows) == 0 {
		return nil, fmt.Errorf("capacity: %s: %w", file, ErrNoScaleRun)
	}
	var rows []Row
	for _, measured := range run.Rows {
		rows = append(rows, newRow(run, measured, file))
	}
	return rows, nil
}

func newRow(run scaleRun, measured scaleRunRow, file string) Row {
	row := Row{
		File:           file,
		At:             measured.Began.UTC().Truncate(time.Second),
		Cores:          run.Cores,
		Load:           measured.LoadAverage[1],
		Replicas:       run.Settings.Replicas,
		Relays:         run.Settings.Relays,
		ColdCaches:     run.Settings.ColdCaches,
		JoinsPerSecond: run.Settings.Processes * run.Settings.StartsPerSecond,
		Directors:      measured.SimulatedDirectors + measured.RealDirectors,
		DirectorBytes:  measured.BytesUpPerSecond + measured.BytesDownPerSecond,
		DirectorCalls:  measured.CallsPerSecond,
		PurgeP99:       measured.PurgeDelay.P99MS / millisecondsPerSecond,
		PurgeLastP99:   measured.PurgeLastDelay.P99MS / millisecondsPerSecond,
		PurgeLongest:   measured.PurgeLastDelay.MaxMS / millisecondsPerSecond,
		PurgesMissing:  measured.PurgesMissing,
		Changes:        measured.ConfigurationChanges,
		Collapsed:      measured.Collapsed,
		Fault:          measured.Fault,
		Recovery:       measured.RecoverySeconds,
	}
	for _, usage := range measured.Roles {
		row.setUsage(usage)
	}
	return row
}

// setUsage ignores roles that no figure is about.
func (r *Row) setUsage(usage roleUsage) {
	memory := usage.ResidentMB * bytesOfMB
	switch Role(usage.Role) {
	case Leader:
		r.LeaderCores = usage.CPU
		r.LeaderMemory = memory
	case Replica:
		r.ReplicaCores = usage.CPU
		r.ReplicaMemory = memory
	case Relay:
		r.RelayCores = usage.CPU
		r.RelayMemory = memory
	case Director:
		r.DirectorCores = usage.CPU
		r.DirectorMemory = memory
	}
}

// processLaws fits the laws of rows of one layout, of one run or several. Rows of sizes that collapsed, and of runs that injected a
// fault, do not count; with fewer than MinPoints other sizes there are no laws.
func processLaws(rows []Row) Laws {
	counted := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.hasCollapsed() || r.Fault != "" })
	laws := Laws{}
	if len(counted) == 0 {
		return laws
	}
	hasRelays := counted[0].Relays > 0
	for _, m := range processMeasures {
		if m.isPerRelay && !hasRelays {
			continue
		}
		law, err := m.law(counted)
		if err != nil {
			continue // there are too few sizes
		}
		laws[law.Name] = law
	}
	return laws
}

// law fits one law to rows of one layout. It returns ErrTooFewPoints where there are fewer than MinPoints sizes.
func (m processMeasure) law(rows []Row) (Law, error) {
	layout := rows[0]
	xUnit := "director"
	servers := 1.0
	if m.isPerRelay {
		xUnit = "director of a relay"
		servers = float64(layout.Relays)
	}
	var points []Point
	for _, row := range rows {
		points = append(points, Point{X: float64(row.Directors) / servers, Y: m.value(row)})
	}
	name := processLawName(m.cost, layout.Relays > 0, layout.ColdCaches)
	about := fmt.Sprintf("%s, %d replicas, %d relays, %d cold caches", m.about, layout.Replicas, layout.Relays, layout.ColdCaches)
	return NewLaw(name, about, xUnit, m.unit, points, sourceOf(rows))
}

// sourceOf names the runs of rows, with the load at each row.
func sourceOf(rows []Row) Source {
	var files []string
	var loads strings.Builder
	for _, row := range rows {
		if !slices.Contains(files, row.File) {
			files = append(files, row.File)
		}
		loads.WriteString(" " + significant(row.Load))
	}
	return Source{
		Command: "stairvane scale, saved in docs/design/capacity-runs as " + strings.Join(files, ", "),
		At:      rows[0].At,
		Machine: fmt.Sprintf("%d cores, load%s", rows[0].Cores, loads.String()),
	}
}
