// Package scale measures the control plane beside many directors. A run starts real replicas, and relays if wanted, a few real
// directors, and simulated directors (package simulated) in processes of their own, applies a steady load and measures a window. All
// processes run on one machine, on loopback, so that CPU times are what counts: delays include what the processes take from each
// other.
package scale

import (
	"errors"
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/tools/scale/simulated"
)

// Bounds of a run.
const (
	MaxDirectors  = 6000
	MaxProcesses  = 32
	MaxWindow     = 2 * time.Minute
	MaxRun        = 15 * time.Minute // of all sizes together
	MaxPurges     = 200.0            // a second
	memoryDivisor = 2                // a run may use the machine's memory divided by this
)

// Fault is what is done in the window.
type Fault string

// Faults.
const (
	NoFault    Fault = ""
	KillRelay  Fault = "kill-relay"
	KillLeader Fault = "kill-leader"
)

// Settings are those of a run.
type Settings struct {
	Program          string  `json:"-"`         // path of stairvane-fleet
	Folder           string  `json:"-"`         // for files, stores and logs; the run leaves them there
	Directors        []int   `json:"directors"` // simulated directors, one size after the other
	Replicas         int     `json:"replicas"`
	Relays           int     `json:"relays"`
	RealDirectors    int     `json:"real_directors"`
	Processes        int     `json:"processes"` // that the simulated directors share
	ColdCaches       int     `json:"cold_caches"`
	Demand           float64 `json:"demand"` // of all directors for one warming cache, in parts of its limit
	Zipf             float64 `json:"zipf"`   // exponent
	PurgesPerSecond  float64 `json:"purges_per_second"`
	ChangesPerSecond float64 `json:"changes_per_second"`
	// Crowd is the number of directors by the simulated directors' configuration, with which their reconnect pauses grow; 0: as
	// many as there are.
	Crowd            int           `json:"crowd"`
	StartPerSecond   int           `json:"start_per_second"` // simulated directors that begin to watch, in each process
	Settle           time.Duration `json:"settle"`           // under load, before the window
	Window           time.Duration `json:"window"`
	Fault            Fault         `json:"fault,omitempty"`
	RestartPerSecond int           `json:"restart_per_second"` // simulated directors
	KeepOn           bool          `json:"keep_on"`            // go on with larger sizes after one has collapsed
	Seed             uint64        `json:"seed"`
}

// Check refuses settings beyond the bounds.
func (s Settings) Check() error {
	if len(s.Directors) == 0 {
		return errors.New("scale: no size is wanted")
	}
	for _, size := range s.Directors {
		if size < 1 || size+s.RealDirectors > MaxDirectors {
			return fmt.Errorf("scale: %d directors, at most %d are allowed", size, MaxDirectors)
		}
		if s.Processes < 1 || size < s.Processes || size > s.Processes*simulated.MaxDirectors {
			return fmt.Errorf("scale: %d hollow directors in %d processes, 1 to %d are allowed in each",
				size, s.Processes, simulated.MaxDirectors)
		}
	}
	processes := s.Replicas + s.Relays + s.RealDirectors + s.Processes
	switch {
	case s.Replicas < 1 || s.Relays < 0 || s.RealDirectors < 0 || s.ColdCaches < 0:
		return errors.New("scale: a number is too small")
	case processes > MaxProcesses:
		return fmt.Errorf("scale: %d processes, at most %d are allowed", processes, MaxProcesses)
	case s.Window < time.Second || s.Window > MaxWindow || s.Settle < 0 || s.Settle > MaxWindow:
		return fmt.Errorf("scale: the window is 1s to %v, the time to settle at most that", MaxWindow)
	case s.PurgesPerSecond < 0 || s.PurgesPerSecond > MaxPurges || s.ChangesPerSecond < 0 || s.ChangesPerSecond > MaxPurges:
		return fmt.Errorf("scale: at most %v purges or changes a second are allowed", MaxPurges)
	case s.Fault == KillRelay && s.Relays < 2:
		return errors.New("scale: to kill a relay, there must be two")
	case s.Crowd < 0 || s.Crowd > MaxDirectors:
		return fmt.Errorf("scale: a crowd of %d, 0 to %d are allowed", s.Crowd, MaxDirectors)
	case s.RestartPerSecond < 0 || s.StartPerSecond < 1:
		return errors.New("scale: a rate is too small")
	}
	return nil
}
