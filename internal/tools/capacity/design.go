package capacity

import "time"

// Design holds the constants and defaults of the program that determine costs, and the layout of the control plane.
type Design struct {
	Replicas       int `json:"Replicas"`       // replicas of the event log, the leader included
	Relays         int `json:"Relays"`         // relays between the directors and the leader
	ColdCaches     int `json:"ColdCaches"`     // caches that are warming up, for each of which a director renews a quota
	ReportedCaches int `json:"ReportedCaches"` // caches in one health report

	WatchTimeout         time.Duration `json:"WatchPatience"` // time after which a watch request is answered without an event
	RelayBatchTime       time.Duration `json:"RelayGather"`   // time for which a relay batches events after an answer to a director
	ReplicaLease         time.Duration `json:"ReplicaLease"`  // duration of the lease that the leader grants a replica
	LeaseInterval        time.Duration `json:"LeaseEvery"`    // interval between two lease renewals of a replica
	HealthReportInterval time.Duration `json:"HealthEvery"`   // interval between two health reports while nothing fails
	// HealthAggregationInterval is the minimum interval between two aggregations of all health reports.
	HealthAggregationInterval time.Duration `json:"HealthFoundEvery"`
	HealthPerDirector         time.Duration `json:"HealthFoundEach"` // times the number of directors: a second minimum of that interval
	MembershipTick            time.Duration `json:"TickEvery"`       // interval between two ticks of the membership service
	MembershipEventInterval   time.Duration `json:"GatherEvery"`     // minimum interval between two membership events
	ReconnectRetry            time.Duration `json:"ReconnectRetry"`  // maximum retry time after a lost watch, without the spread
	ReconnectSpread           time.Duration `json:"ReconnectSpread"` // added to that time for each further director
	// ReconnectSpreadMax limits the total that ReconnectSpread adds, for a director with several control plane addresses.
	ReconnectSpreadMax   time.Duration `json:"ReconnectSpreadMax"`
	PurgeRetention       time.Duration `json:"PurgeKept"`        // time for which the control plane retains a purge for reconnections
	LongestDeadline      time.Duration `json:"LongestDeadline"`  // longest deadline of a request class; set by the operators' classes
	HistoryLength        int           `json:"HistoryKept"`      // events that a replica retains for reconnecting directors
	AppliedRecordLength  int           `json:"AdoptionKept"`     // latest events for which the leader records when directors applied them
	MaxAnswerBytes       float64       `json:"LargestAnswer"`    // maximum size of an answer that a director accepts, in bytes
	PurgeRetentionFactor float64       `json:"PurgeKeepFactor"`  // a director retains a purge for this multiple of Size.PurgeWithin
	LoopCores            float64       `json:"LoopCores"`        // maximum cores that one event loop, or the work under one lock, can use
	EventsPerRestart     float64       `json:"EventsPerRestart"` // membership events caused by a machine restart: one leave and one join
}

// CurrentDesign returns the design of the current program, with one relay for each region.
func CurrentDesign() Design {
	return Design{
		Replicas:       3,
		Relays:         9,
		ColdCaches:     8,
		ReportedCaches: 28,

		WatchTimeout:              100 * time.Millisecond,
		RelayBatchTime:            100 * time.Millisecond,
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

// settings returns the values of the design that Set can change, by name.
func (d *Design) settings() map[string]setting {
	return map[string]setting{
		"replicas":         positiveInt(&d.Replicas),
		"relays":           positiveInt(&d.Relays),
		"cold-caches":      positiveInt(&d.ColdCaches),
		"reported-caches":  positiveInt(&d.ReportedCaches),
		"watch-patience":   positiveDuration(&d.WatchTimeout),
		"relay-gather":     positiveDuration(&d.RelayBatchTime),
		"lease-every":      positiveDuration(&d.LeaseInterval),
		"history-kept":     positiveInt(&d.HistoryLength),
		"adoption-kept":    positiveInt(&d.AppliedRecordLength),
		"longest-deadline": positiveDuration(&d.LongestDeadline),
	}
}

// Set parses value and stores it under a name such as relays or history-kept. It returns an error that wraps ErrUnknownSetting or
// ErrInvalidSetting.
func (d *Design) Set(name, value string) error { return setByName(d.settings(), name, value) }
