// Package scale measures how the control plane scales with the number of directors. A run starts real replicas, optionally relays, a
// few real directors, and simulated directors (package simulated) in separate processes, applies a constant load and measures a
// window. All processes run on one machine and communicate over loopback. CPU times are therefore the meaningful figures: delays
// include the time in which the processes compete for the machine.
package scale

import (
	"errors"
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/tools/scale/simulated"
)

// Limits of a run.
const (
	MaxDirectors  = 6000
	MaxProcesses  = 32
	MaxWindow     = 2 * time.Minute
	MaxRun        = 15 * time.Minute // for all sizes together
	MaxPurges     = 200.0            // per second
	memoryDivisor = 2                // a run may use the machine's memory divided by this
)

// Fault is a fault that is injected in the window.
type Fault string

// Faults.
const (
	NoFault    Fault = ""
	KillRelay  Fault = "kill-relay"
	KillLeader Fault = "kill-leader"
)

// Settings are the settings of a run.
type Settings struct {
	Program          string  `json:"-"`         // path of the stairvane-fleet binary
	Folder           string  `json:"-"`         // for files, stores and logs; the run doesn't delete them
	Directors        []int   `json:"directors"` // the sizes to measure, in this order: numbers of simulated directors
	Replicas         int     `json:"replicas"`
	Relays           int     `json:"relays"`
	RealDirectors    int     `json:"real_directors"`
	Processes        int     `json:"processes"` // processes of simulated directors
	ColdCaches       int     `json:"cold_caches"`
	Demand           float64 `json:"demand"` // demand of all directors for one warming cache, in units of its limit
	Zipf             float64 `json:"zipf"`   // exponent of the demands among directors
	PurgesPerSecond  float64 `json:"purges_per_second"`
	ChangesPerSecond float64 `json:"changes_per_second"`
	// Crowd is the number of directors in the simulated directors' configuration. Their reconnect pauses grow with it. 0 means the
	// number that are running.
	Crowd            int           `json:"crowd"`
	StartPerSecond   int           `json:"start_per_second"` // simulated directors that start to watch per second, in each process
	Settle           time.Duration `json:"settle"`           // time under load before the window
	Window           time.Duration `json:"window"`
	Fault            Fault         `json:"fault,omitempty"`
	RestartPerSecond int           `json:"restart_per_second"` // simulated directors to restart
	KeepOn           bool          `json:"keep_on"`            // continue with larger sizes after one has collapsed
	Seed             uint64        `json:"seed"`
}

// Check returns an error if a setting is out of bounds.
func (s Settings) Check() error {
	if len(s.Directors) == 0 {
		return errors.New("scale: no number of directors is given")
	}
	for _, size := range s.Directors {
		if size < 1 || size+s.RealDirectors > MaxDirectors {
			return fmt.Errorf("scale: %d directors are out of range, 1 to %d including real ones are allowed", size, MaxDirectors)
		}
		if s.Processes < 1 || size < s.Processes || size > s.Processes*simulated.MaxDirectors {
			return fmt.Errorf("scale: %d simulated directors in %d processes, 1 to %d are allowed in each",
				size, s.Processes, simulated.MaxDirectors)
		}
	}
	processes := s.Replicas + s.Relays + s.RealDirectors + s.Processes
	switch {
	case s.Replicas < 1 || s.Relays < 0 || s.RealDirectors < 0 || s.ColdCaches < 0:
		return errors.New("scale: the number of replicas, relays, real directors or cold caches is too small")
	case processes > MaxProcesses:
		return fmt.Errorf("scale: %d processes, at most %d are allowed", processes, MaxProcesses)
	case s.Window < time.Second || s.Window > MaxWindow || s.Settle < 0 || s.Settle > MaxWindow:
		return fmt.Errorf("scale: the window must be 1s to %[1]v, the settling time 0s to %[1]v", MaxWindow)
	case s.PurgesPerSecond < 0 || s.PurgesPerSecond > MaxPurges || s.ChangesPerSecond < 0 || s.ChangesPerSecond > MaxPurges:
		return fmt.Errorf("scale: 0 to %v purges and changes per second are allowed", MaxPurges)
	case s.Fault == KillRelay && s.Relays < 2:
		return errors.New("scale: killing a relay requires at least two")
	case s.Crowd < 0 || s.Crowd > MaxDirectors:
		return fmt.Errorf("scale: a crowd of %d is out of range, 0 to %d is allowed", s.Crowd, MaxDirectors)
	case s.RestartPerSecond < 0 || s.StartPerSecond < 1:
		return errors.New("scale: the rate of restarts or starts is too small")
	}
	return nil
}
