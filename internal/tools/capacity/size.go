package capacity

import "time"

// Size is how large a deployment is and what it may spend, as its operators state it.
type Size struct {
	Directors         int           `json:"Directors"`
	Sites             int           `json:"Sites"` // with directors; a rack or a switch is at most one of them
	Caches            int           `json:"Caches"`
	Regions           int           `json:"Regions"`
	Zones             int           `json:"Zones"`
	RequestsPerSecond float64       `json:"RequestsPerSecond"` // at the peak, all directors together
	BitsPerSecond     float64       `json:"BitsPerSecond"`     // at the peak, all caches together
	Objects           float64       `json:"Objects"`           // number of distinct objects
	PurgesPerSecond   float64       `json:"PurgesPerSecond"`
	PurgeWithin       time.Duration `json:"PurgeWithin"`    // until a purge is done everywhere
	ChangesPerDay     float64       `json:"ChangesPerDay"`  // of the configuration
	ChangeWithin      time.Duration `json:"ChangeWithin"`   // until a change is in force everywhere
	FailuresPerDay    float64       `json:"FailuresPerDay"` // machines
	RestartsPerDay    float64       `json:"RestartsPerDay"` // machines restarted or replaced
	PartitionDuration time.Duration `json:"RegionsApart"`   // for which regions lose each other now and then

	ControlMachines        int     `json:"ControlMachines"`
	DirectorCores          float64 `json:"DirectorCores"`          // cores that a director may spend on control
	DirectorBytes          float64 `json:"DirectorBytes"`          // bytes of memory that a director may spend on control
	DirectorBytesPerSecond float64 `json:"DirectorBytesPerSecond"` // that a director may spend on control
}

// ExpectedSize is the size that the operators expect.
func ExpectedSize() Size {
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
		PartitionDuration: time.Hour,

		ControlMachines:        13,
		DirectorCores:          0.039,
		DirectorBytes:          32e6,
		DirectorBytesPerSecond: 9000,
	}
}

// settings are the values of a size that Set changes.
func (s *Size) settings() map[string]setting {
	return map[string]setting{
		"directors":                 positiveInt(&s.Directors),
		"sites":                     positiveInt(&s.Sites),
		"caches":                    positiveInt(&s.Caches),
		"regions":                   positiveInt(&s.Regions),
		"zones":                     positiveInt(&s.Zones),
		"requests-per-second":       positiveFloat(&s.RequestsPerSecond),
		"bits-per-second":           positiveFloat(&s.BitsPerSecond),
		"objects":                   positiveFloat(&s.Objects),
		"purges-per-second":         positiveFloat(&s.PurgesPerSecond),
		"purge-within":              positiveDuration(&s.PurgeWithin),
		"changes-per-day":           positiveFloat(&s.ChangesPerDay),
		"change-within":             positiveDuration(&s.ChangeWithin),
		"failures-per-day":          positiveFloat(&s.FailuresPerDay),
		"restarts-per-day":          positiveFloat(&s.RestartsPerDay),
		"regions-apart":             positiveDuration(&s.PartitionDuration),
		"control-machines":          positiveInt(&s.ControlMachines),
		"director-cores":            positiveFloat(&s.DirectorCores),
		"director-bytes":            positiveFloat(&s.DirectorBytes),
		"director-bytes-per-second": positiveFloat(&s.DirectorBytesPerSecond),
	}
}

// Set sets a value by its name, such as directors or purge-within. An error is ErrUnknownSetting or ErrInvalidSetting.
func (s *Size) Set(name, value string) error { return set(s.settings(), name, value) }
