package capacity

import "time"

// Size describes the expected load and the budgets of a deployment, as stated by its operators.
type Size struct {
	Directors         int           `json:"Directors"`
	Sites             int           `json:"Sites"` // sites with directors; the failure of a rack or a switch affects at most one site
	Caches            int           `json:"Caches"`
	Regions           int           `json:"Regions"`
	Zones             int           `json:"Zones"`
	RequestsPerSecond float64       `json:"RequestsPerSecond"` // peak rate over all directors
	BitsPerSecond     float64       `json:"BitsPerSecond"`     // peak traffic over all caches
	Objects           float64       `json:"Objects"`           // number of distinct objects
	PurgesPerSecond   float64       `json:"PurgesPerSecond"`
	PurgeWithin       time.Duration `json:"PurgeWithin"`    // maximum time until a purge is complete on all directors
	ChangesPerDay     float64       `json:"ChangesPerDay"`  // configuration changes
	ChangeWithin      time.Duration `json:"ChangeWithin"`   // maximum time until a configuration change is in effect on all directors
	FailuresPerDay    float64       `json:"FailuresPerDay"` // machine failures
	RestartsPerDay    float64       `json:"RestartsPerDay"` // machines restarted or replaced
	PartitionDuration time.Duration `json:"RegionsApart"`   // duration of an occasional network partition between regions

	ControlMachines        int     `json:"ControlMachines"`
	DirectorCores          float64 `json:"DirectorCores"`          // maximum cores that a director uses for control
	DirectorBytes          float64 `json:"DirectorBytes"`          // maximum memory that a director uses for control, in bytes
	DirectorBytesPerSecond float64 `json:"DirectorBytesPerSecond"` // maximum control traffic of a director
}

// ExpectedSize returns the size that the operators expect.
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

// settings returns the values of the size that Set can change, by name.
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

// Set parses value and stores it under a name such as directors or purge-within. It returns an error that wraps ErrUnknownSetting or
// ErrInvalidSetting.
func (s *Size) Set(name, value string) error { return setByName(s.settings(), name, value) }
