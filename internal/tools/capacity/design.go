package capacity

import "time"

// Design is what the program fixes by its constants and defaults, and how the control plane is laid out.
type Design struct {
	Replicas       int `json:"Replicas"`       // that store the event log; one of them leads
	Relays         int `json:"Relays"`         // between directors and the leader
	ColdCaches     int `json:"ColdCaches"`     // caches with quotas, which a director renews at the same time
	ReportedCaches int `json:"ReportedCaches"` // caches in one health report of a director

	WatchPatience time.Duration `json:"WatchPatience"` // after which a watch request is answered without an event
	RelayGather   time.Duration `json:"RelayGather"`   // for which a relay gathers events after an answer to a director
	ReplicaLease  time.Duration `json:"ReplicaLease"`  // of a replica at the leader
	LeaseInterval time.Duration `json:"LeaseEvery"`    // from one lease renewal of a replica to the next
	HealthEvery   time.Duration `json:"HealthEvery"`   // from one health report with evidence to the next, where nothing fails
	// HealthFoundEvery is the shortest interval from one aggregation of all health reports to the next.
	HealthFoundEvery time.Duration `json:"HealthFoundEvery"`
	HealthFoundEach  time.Duration `json:"HealthFoundEach"` // the part of that interval for each director
	TickEvery        time.Duration `json:"TickEvery"`       // of the membership service
	GatherEvery      time.Duration `json:"GatherEvery"`     // the shortest interval from one membership event to the next
	ReconnectRetry   time.Duration `json:"ReconnectRetry"`  // the longest backoff of a single director that has lost its watch
	ReconnectSpread  time.Duration `json:"ReconnectSpread"` // by which that backoff grows for each further director
	// ReconnectSpreadMax bounds that growth for a director with several addresses.
	ReconnectSpreadMax   time.Duration `json:"ReconnectSpreadMax"`
	PurgeKept            time.Duration `json:"PurgeKept"`        // for which the control plane retains a purge for directors that come back
	LongestDeadline      time.Duration `json:"LongestDeadline"`  // of a class of requests; the operators' classes decide it
	HistoryKept          int           `json:"HistoryKept"`      // events that a replica retains for directors that were away
	AdoptionKept         int           `json:"AdoptionKept"`     // events of which the leader records when each director applied them
	LargestAnswer        float64       `json:"LargestAnswer"`    // bytes of one answer that a director accepts
	PurgeRetentionFactor float64       `json:"PurgeKeepFactor"`  // multiple of Size.PurgeWithin for which a director retains a purge
	LoopCores            float64       `json:"LoopCores"`        // cores that one loop, or the work under one lock, can use
	EventsPerRestart     float64       `json:"EventsPerRestart"` // membership events for each restart of a machine: it leaves and joins
}

// Current is the design as the program has it, with a relay for each region.
func Current() Design {
	return Design{
		Replicas:       3,
		Relays:         9,
		ColdCaches:     8,
		ReportedCaches: 28,

		WatchPatience:        100 * time.Millisecond,
		RelayGather:          100 * time.Millisecond,
		ReplicaLease:         200 * time.Millisecond,
		LeaseInterval:        50 * time.Millisecond,
		HealthEvery:          500 * time.Millisecond,
		HealthFoundEvery:     50 * time.Millisecond,
		HealthFoundEach:      250 * time.Microsecond,
		TickEvery:            25 * time.Millisecond,
		GatherEvery:          150 * time.Millisecond,
		ReconnectRetry:       40 * time.Millisecond,
		ReconnectSpread:      2500 * time.Microsecond,
		ReconnectSpreadMax:   200 * time.Millisecond,
		PurgeKept:            10 * time.Minute,
		LongestDeadline:      6 * time.Second,
		HistoryKept:          10_000,
		AdoptionKept:         2000,
		LargestAnswer:        4 << 20,
		PurgeRetentionFactor: 2,
		LoopCores:            1,
		EventsPerRestart:     2,
	}
}

// settings are the values of a design that Set changes.
func (d *Design) settings() map[string]setting {
	return map[string]setting{
		"replicas":         positiveInt(&d.Replicas),
		"relays":           positiveInt(&d.Relays),
		"cold-caches":      positiveInt(&d.ColdCaches),
		"reported-caches":  positiveInt(&d.ReportedCaches),
		"watch-patience":   positiveDuration(&d.WatchPatience),
		"relay-gather":     positiveDuration(&d.RelayGather),
		"lease-every":      positiveDuration(&d.LeaseInterval),
		"history-kept":     positiveInt(&d.HistoryKept),
		"adoption-kept":    positiveInt(&d.AdoptionKept),
		"longest-deadline": positiveDuration(&d.LongestDeadline),
	}
}

// Set sets a value by its name, such as relays or history-kept. An error is ErrUnknownSetting or ErrInvalidSetting.
func (d *Design) Set(name, value string) error { return set(d.settings(), name, value) }
