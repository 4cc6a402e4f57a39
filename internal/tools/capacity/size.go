// Package capacity works out what each role of a deployment costs at a given size: processor time, memory and bytes a second, from
// laws (a constant and a slope) that were measured at several sizes, against the budget that each must keep. It is pure: sizes and
// laws come in, tables go out. The measurements themselves are in the package measure.
package capacity

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Size is how large a deployment is and what it may spend, as its operators state it.
type Size struct {
	Directors         int
	Sites             int // with directors; a rack or a switch is at most one of them
	Caches            int
	Regions           int
	Zones             int
	RequestsPerSecond float64 // at the peak, all directors together
	BitsPerSecond     float64 // at the peak, all caches together
	Objects           float64 // that there are
	PurgesPerSecond   float64
	PurgeWithin       time.Duration // for a purge to be done everywhere
	ChangesPerDay     float64       // of the configuration
	ChangeWithin      time.Duration // for a change to be in force everywhere
	FailuresPerDay    float64       // machines
	RestartsPerDay    float64       // machines restarted or replaced
	RegionsApart      time.Duration // for which regions lose each other now and then

	ControlMachines        int
	DirectorCores          float64 // that a director may spend on control, in cores
	DirectorBytes          float64 // of memory that a director may spend on control
	DirectorBytesPerSecond float64 // that a director may spend on control
}

// Operators is the size that the operators expect.
func Operators() Size {
	return Size{
		Directors:         3500,
		Sites:             210,
		Caches:            720,
		Regions:           9,
		Zones:             26,
		RequestsPerSecond: 2.3e6,
		BitsPerSecond:     3.5e12,
		Objects:           22e9,
		PurgesPerSecond:   21,
		PurgeWithin:       5300 * time.Millisecond,
		ChangesPerDay:     8900,
		ChangeWithin:      8 * time.Second,
		FailuresPerDay:    25,
		RestartsPerDay:    750,
		RegionsApart:      time.Hour,

		ControlMachines:        13,
		DirectorCores:          0.039,
		DirectorBytes:          32e6,
		DirectorBytesPerSecond: 9000,
	}
}

// Design is what the program fixes by its constants and defaults, and how the control plane is laid out.
type Design struct {
	Replicas       int // that keep the event log; one of them leads
	Relays         int // between directors and the leader
	ColdCaches     int // that a director has a quota of at once
	ReportedCaches int // caches that one health report of a director speaks of

	WatchPatience    time.Duration // of one watch call
	RelayGather      time.Duration // for which a relay gathers events for a director that was answered a moment ago
	ReplicaLease     time.Duration // that a replica has of the leader
	LeaseEvery       time.Duration // from one lease call of a replica to the next
	HealthEvery      time.Duration // from one health report with evidence to the next, where nothing fails
	HealthFoundEvery time.Duration // from one look at what all see to the next, at least
	HealthFoundEach  time.Duration // the same, for each director
	TickEvery        time.Duration // of the membership service
	GatherEvery      time.Duration // from one membership event to the next, at least
	ReconnectRetry   time.Duration // the longest pause before a lost watch is dialled again, for one director alone
	ReconnectSpread  time.Duration // by which that pause widens for each further director
	// ReconnectSpreadMax bounds that widening for a director with several addresses.
	ReconnectSpreadMax time.Duration
	PurgeKept          time.Duration // for which the control plane keeps a purge for directors that come back
	LongestDeadline    time.Duration // of a class of requests; the operators' classes decide, 6 s stands in for them
	HistoryKept        int           // events that a replica holds for directors that were away
	AdoptionKept       int           // events of which the leader records when each director applied them
	LargestAnswer      float64       // bytes of one answer that a director takes
	PurgeKeepFactor    float64       // times PurgeWithin for which a director keeps a purge
	LoopCores          float64       // what one loop, or the work under one lock, can spend
	EventsPerRestart   float64       // membership events for each restart of a machine: it leaves and joins
}

// Current is the design as the program has it, with a relay for each region.
func Current() Design {
	return Design{
		Replicas:       3,
		Relays:         9,
		ColdCaches:     8,
		ReportedCaches: 28,

		WatchPatience:      100 * time.Millisecond,
		RelayGather:        100 * time.Millisecond,
		ReplicaLease:       200 * time.Millisecond,
		LeaseEvery:         50 * time.Millisecond,
		HealthEvery:        500 * time.Millisecond,
		HealthFoundEvery:   50 * time.Millisecond,
		HealthFoundEach:    250 * time.Microsecond,
		TickEvery:          25 * time.Millisecond,
		GatherEvery:        150 * time.Millisecond,
		ReconnectRetry:     40 * time.Millisecond,
		ReconnectSpread:    2500 * time.Microsecond,
		ReconnectSpreadMax: 200 * time.Millisecond,
		PurgeKept:          10 * time.Minute,
		LongestDeadline:    6 * time.Second,
		HistoryKept:        10_000,
		AdoptionKept:       2000,
		LargestAnswer:      4 << 20,
		PurgeKeepFactor:    2,
		LoopCores:          1,
		EventsPerRestart:   2,
	}
}

// fields are the values of a size by their names.
func (s *Size) fields() map[string]any {
	return map[string]any{
		"directors": &s.Directors, "sites": &s.Sites, "caches": &s.Caches, "regions": &s.Regions, "zones": &s.Zones,
		"requests-per-second": &s.RequestsPerSecond, "bits-per-second": &s.BitsPerSecond, "objects": &s.Objects,
		"purges-per-second": &s.PurgesPerSecond, "purge-within": &s.PurgeWithin,
		"changes-per-day": &s.ChangesPerDay, "change-within": &s.ChangeWithin,
		"failures-per-day": &s.FailuresPerDay, "restarts-per-day": &s.RestartsPerDay, "regions-apart": &s.RegionsApart,
		"control-machines": &s.ControlMachines, "director-cores": &s.DirectorCores,
		"director-bytes": &s.DirectorBytes, "director-bytes-per-second": &s.DirectorBytesPerSecond,
	}
}

// fields are the values of a design that may be set, by their names.
func (d *Design) fields() map[string]any {
	return map[string]any{
		"replicas": &d.Replicas, "relays": &d.Relays, "cold-caches": &d.ColdCaches, "reported-caches": &d.ReportedCaches,
		"watch-patience": &d.WatchPatience, "relay-gather": &d.RelayGather, "lease-every": &d.LeaseEvery, "history-kept": &d.HistoryKept,
		"adoption-kept": &d.AdoptionKept, "longest-deadline": &d.LongestDeadline,
	}
}

// Set sets a value by its name, such as directors or purge-within.
func (s *Size) Set(name, value string) error { return set(s.fields(), name, value) }

// Set sets a value by its name, such as relays or history-kept.
func (d *Design) Set(name, value string) error { return set(d.fields(), name, value) }

func set(fields map[string]any, name, value string) error {
	var err error
	positive := false
	switch field := fields[name].(type) {
	case *int:
		*field, err = strconv.Atoi(value)
		positive = *field > 0
	case *float64:
		*field, err = strconv.ParseFloat(value, 64)
		positive = *field > 0
	case *time.Duration:
		*field, err = time.ParseDuration(value)
		positive = *field > 0
	default:
		return fmt.Errorf("capacity: nothing is called %q", name)
	}
	if err != nil || !positive {
		return fmt.Errorf("capacity: %s: %q is not a value over 0", name, strings.TrimSpace(value))
	}
	return nil
}
