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

// bytesOfMB is the number of bytes in a megabyte as the files of scale runs define it.
const bytesOfMB = 1 << 20

const millisecondsPerSecond = 1000

// ErrNoScaleRun is returned if a file is valid JSON but does not contain a scale run with rows.
var ErrNoScaleRun = errors.New("file contains no scale run with rows")

// Row holds the usage of real processes, as measured at one size of a scale run.
type Row struct {
	File           string    `json:"file"` // file of the run in docs/design/capacity-runs
	At             time.Time `json:"at"`
	Cores          int       `json:"cores"` // cores of the machine
	Load           float64   `json:"load"`  // one-minute load average at the end of the window
	Replicas       int       `json:"replicas"`
	Relays         int       `json:"relays"`
	ColdCaches     int       `json:"cold_caches"`
	Directors      int       `json:"directors"`
	JoinsPerSecond int       `json:"joins_per_second"` // rate at which simulated directors start
	LeaderCores    float64   `json:"leader_cores"`
	LeaderMemory   float64   `json:"leader_memory"` // bytes
	ReplicaCores   float64   `json:"replica_cores"`
	ReplicaMemory  float64   `json:"replica_memory"` // bytes
	RelayCores     float64   `json:"relay_cores,omitempty"`
	RelayMemory    float64   `json:"relay_memory,omitempty"` // bytes
	DirectorCores  float64   `json:"director_cores"`
	DirectorMemory float64   `json:"director_memory"` // bytes
	DirectorBytes  float64   `json:"director_bytes"`  // bytes per second, both directions together
	DirectorCalls  float64   `json:"director_calls"`  // watch requests per second
	PurgeP99       float64   `json:"purge_p99"`       // seconds from acceptance to arrival at a director, over all purges and directors
	PurgeLastP99   float64   `json:"purge_last_p99"`  // seconds to the arrival at the last director, over all purges
	PurgeLongest   float64   `json:"purge_longest"`   // seconds, maximum
	PurgesMissing  int       `json:"purges_missing"`
	Changes        int       `json:"changes"`             // configuration changes in the window
	Collapsed      []string  `json:"collapsed,omitempty"` // reasons why the control plane did not sustain the size; empty if it did
	Fault          string    `json:"fault,omitempty"`     // fault that the run injected in the window
	Recovery       float64   `json:"recovery,omitempty"`  // seconds from the fault until all directors had a watch again
}

// hasCollapsed reports whether the control plane failed to sustain the size.
func (r Row) hasCollapsed() bool { return len(r.Collapsed) > 0 }

// hasSameLayout reports whether two rows can be fitted to one law: they may differ only in the number of directors.
func (r Row) hasSameLayout(other Row) bool {
	return r.Replicas == other.Replicas && r.Relays == other.Relays && r.ColdCaches == other.ColdCaches
}

// scaleRun holds the fields that are read from the file of a scale run.
type scaleRun struct {
	Settings *scaleRunSettings `json:"settings"`
	Cores    int               `json:"cores"`
	Rows     []scaleRunRow     `json:"rows"`
}

type scaleRunSettings struct {
	Replicas        int `json:"replicas"`
	Relays          int `json:"relays"`
	ColdCaches      int `json:"cold_caches"`
	Processes       int `json:"processes"`        // processes that simulate directors
	StartsPerSecond int `json:"start_per_second"` // directors that each process starts per second
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

// roleUsage is the average usage of one process of a role.
type roleUsage struct {
	Role       string  `json:"role"`
	CPU        float64 `json:"cpu"` // cores
	ResidentMB float64 `json:"resident_mb"`
}

type delayQuantiles struct {
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// ReadScaleRun decodes the file that a scale run has saved. Each row gets the name file. The error wraps ErrNoScaleRun, or it is one
// of the JSON decoder.
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

// setUsage stores the usage of a role in the row. It ignores roles that no figure covers.
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

// processLaws fits laws to the rows of one layout, from one or more runs. It ignores rows whose size collapsed and rows with an
// injected fault, and returns no laws if fewer than MinPoints sizes remain.
func processLaws(rows []Row) Laws {
	usable := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.hasCollapsed() || r.Fault != "" })
	laws := Laws{}
	if len(usable) == 0 {
		return laws
	}
	hasRelays := usable[0].Relays > 0
	for _, m := range processMeasures {
		if m.isPerRelay && !hasRelays {
			continue
		}
		law, err := m.law(usable)
		if err != nil {
			continue // too few sizes
		}
		laws[law.Name] = law
	}
	return laws
}

// law fits one law to rows of one layout. It returns ErrTooFewPoints if there are fewer than MinPoints distinct sizes.
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

// sourceOf returns a source that lists the files of the rows and the load average at each row.
func sourceOf(rows []Row) Source {
	var files []string
	var loads strings.Builder
	for _, row := range rows {
		if !slices.Contains(files, row.File) {
			files = append(files, row.File)
		}
		loads.WriteString(" " + formatSignificant(row.Load))
	}
	return Source{
		Command: "stairvane scale, saved in docs/design/capacity-runs as " + strings.Join(files, ", "),
		At:      rows[0].At,
		Machine: fmt.Sprintf("%d cores, load%s", rows[0].Cores, loads.String()),
	}
}
