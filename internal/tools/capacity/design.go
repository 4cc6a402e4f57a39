package capacity

import "time"

// Design is what the program fixes by its constants and defaults, and how the control plane is laid out.
type Design struct {
	Replicas       int `json:"Replicas"`       // that store the event log; one of them leads
	Relays         int `json:"Relays"`         // between directors and the leader
	ColdCaches     int `json:"ColdCaches"`     // caches with quotas, which a director renews at the same time
	ReportedCaches int `json:"ReportedCaches"` // caches in one health report of a director

	WatchTimeout         time.Duration `json:"WatchPatience"` // after which a watch request is answered without an event
	RelayGatherTime      time.Duration `json:"RelayGather"`   // for which a relay gathers events after an answer to a director
	ReplicaLease         time.Duration `json:"ReplicaLease"`  // of a replica at the leader
	LeaseInterval        time.Duration `json:"LeaseEvery"`    // from one lease renewal of a replica to the next
	HealthReportInterval time.Duration `json:"HealthEvery"`   // from one health report with evidence to the next, where nothing fails
	// HealthAggregationInterval is the shortest interval from one aggregation of all health reports to the next.
	HealthAggregationInterval time.Duration `json:"HealthFoundEvery"`
	HealthPerDirector         time.Duration `json:"HealthFoundEach"` // the part of that interval for each director
	MembershipTick            time.Duration `json:"TickEvery"`       // of the membership service
	MembershipEventInterval   time.Duration `json:"GatherEvery"`     // the shortest interval from one membership event to the next
	ReconnectRetry            time.Duration `json:"ReconnectRetry"`  // the longest backoff of a single director that has lost its watch
	ReconnectSpread           time.Duration `json:"ReconnectSpread"` // by which that backoff grows for each further director
	// ReconnectSpreadMax bounds that growth for a director with several addresses.
	ReconnectSpreadMax   time.Duration `json:"ReconnectSpreadMax"`
	PurgeRetention       time.Duration `json:"PurgeKept"`        // for which the control plane retains a purge for directors that come back
	LongestDeadline      time.Duration `json:"LongestDeadline"`  // of a class of requests; the operators' classes decide it
	HistoryLength        int           `json:"HistoryKept"`      // events that a replica retains for directors that were away
	AppliedRecordLength  int           `json:"AdoptionKept"`     // events of which the leader records when each director applied them
	MaxAnswerBytes       float64       `json:"LargestAnswer"`    // bytes of one answer that a director accepts
	PurgeRetentionFactor float64       `json:"PurgeKeepFactor"`  // multiple of Size.PurgeWithin for which a director retains a purge
	LoopCores            float64       `json:"LoopCores"`        // cores that one loop, or the work under one lock, can use
	EventsPerRestart     float64       `json:"EventsPerRestart"` // membership events for each restart of a machine: it leaves and joins
}

// CurrentDesign is the design as the program has it, with a relay for each region.
func CurrentDesign() Design {
	return Design{
		Replicas:       3,
		Relays:         9,
		ColdCaches:     8,
		ReportedCaches: 28,

		WatchTimeout:              100 * time.Millisecond,
		RelayGatherTime:           100 * time.Millisecond,
		ReplicaLease:              200 * time.Millisecond,
		LeaseInterval:             50 * time.Millisecond,
		HealthReportInterval:      500 * time.Millisecond,
		HealthAggregationInterval: 50 * time.Millisecond,
		HealthPerDirector:         250 * time.Microsecond,
		MembershipTick:            25 * time.Millisecond,
		MembershipEventInterval:   150 * time.Millisecond,
		ReconnectRetry:            40 * time.Millisecond,
		ReconnectSpread:           2500 * time.Microsecond,
		ReconnectSpreadMax:        200 * time.Millisecond,
		PurgeRetention:            10 * time.Minute,
		LongestDeadline:           6 * time.Second,
		HistoryLength:             10_000,
		AppliedRecordLength:       2000,
		MaxAnswerBytes:            4 << 20,
		PurgeRetentionFactor:      2,
		LoopCores:                 1,
		EventsPerRestart:          2,
	}
}

// settings are the values of a design that Set changes.
func (d *Design) settings() map[string]setting {
	return map[string]setting{
		"replicas":         positiveInt(&d.Replicas),
		"relays":           positiveInt(&d.Relays),
		"cold-caches":      positiveInt(&d.ColdCaches),
		"reported-caches":  positiveInt(&d.ReportedCaches),
		"watch-patience":   positiveDuration(&d.WatchTimeout),
		"relay-gather":     positiveDuration(&d.RelayGatherTime),
		"lease-every":      positiveDuration(&d.LeaseInterval),
		"history-kept":     positiveInt(&d.HistoryLength),
		"adoption-kept":    positiveInt(&d.AppliedRecordLength),
		"longest-deadline": positiveDuration(&d.LongestDeadline),
	}
}

// Set sets a value by its name, such as relays or history-kept. An error is ErrUnknownSetting or ErrInvalidSetting.
func (d *Design) Set(name, value string) error { return set(d.settings(), name, value) }
