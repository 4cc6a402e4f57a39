package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/tools/scale"
	"stairvane.org/stairvane/internal/tools/scale/simulated"
)

// scaleCmd measures the control plane on this machine.
type scaleCmd struct {
	Run       scaleRunCmd       `cmd:"" default:"withargs" help:"Start a control plane, directors and simulated directors on this machine and measure them under load. Ends with 1 if a size collapses."`
	Simulated scaleSimulatedCmd `cmd:"" aliases:"hollow" hidden:"" help:"Simulated directors of a run, in one process."`
}

// scaleRunCmd runs one measurement at several sizes.
type scaleRunCmd struct {
	outputFlags
	Directors  []int         `default:"100,200,400" help:"Sizes: simulated directors."`
	Replicas   int           `default:"3" help:"Replicas of the control plane."`
	Relays     int           `default:"0" help:"Relays between replicas and directors; 0: directors watch replicas."`
	Real       int           `default:"2" help:"Real directors beside the simulated ones."`
	Processes  int           `default:"2" help:"Processes that the simulated directors share."`
	Cold       int           `default:"0" help:"Cold caches of which all directors want shares."`
	Demand     float64       `default:"1.5" help:"What all directors together want of a cold cache, in parts of its limit."`
	Zipf       float64       `default:"1.1" help:"Exponent of the law that divides the demand among directors."`
	Purges     float64       `default:"21" help:"Purges a second."`
	Changes    float64       `default:"0.1" help:"Changes of the configuration a second."`
	Crowd      int           `default:"0" help:"Number of directors by the simulated directors' configuration, with which their reconnect pauses grow; 0: as many as there are."`
	StartRate  int           `default:"200" help:"Simulated directors a second that begin to watch, in each process."`
	Settle     time.Duration `default:"3s" help:"Time under load before the window."`
	Window     time.Duration `default:"10s" help:"Time that is measured."`
	KillRelay  bool          `xor:"fault" help:"Kill one relay in the window."`
	KillLeader bool          `xor:"fault" help:"Kill the leader in the window."`
	Restart    int           `default:"0" help:"Simulated directors a second that stop without a word and start anew, in the window."`
	KeepOn     bool          `help:"Go on with larger sizes after one has collapsed."`
	Seed       uint64        `default:"1" help:"Of demands and pauses."`
	Folder     string        `type:"path" help:"Keep the processes' files, stores and logs in this new folder."`
	Save       string        `type:"path" help:"Also write the result as JSON to a file in this folder, named by time and topology."`
}

func (c scaleRunCmd) settings() (settings scale.Settings, err error) {
	settings = scale.Settings{
		Directors:        c.Directors,
		Replicas:         c.Replicas,
		Relays:           c.Relays,
		RealDirectors:    c.Real,
		Processes:        c.Processes,
		ColdCaches:       c.Cold,
		Demand:           c.Demand,
		Zipf:             c.Zipf,
		PurgesPerSecond:  c.Purges,
		ChangesPerSecond: c.Changes,
		Crowd:            c.Crowd,
		StartPerSecond:   c.StartRate,
		Settle:           c.Settle,
		Window:           c.Window,
		RestartPerSecond: c.Restart,
		KeepOn:           c.KeepOn,
		Seed:             c.Seed,
	}
	if c.KillRelay {
		settings.Fault = scale.KillRelay
	}
	if c.KillLeader {
		settings.Fault = scale.KillLeader
	}
	settings.Program, err = os.Executable()
	return settings, err
}

// Run runs the measurement and writes the result, which is also written if the run ends early.
func (c scaleRunCmd) Run(s streams) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	removeFolder, err := c.makeFolder(&settings)
	if err != nil {
		return err
	}
	defer removeFolder()
	shown, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	s.stderrf("settings: %s\n", shown)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, runErr := scale.Run(ctx, settings, func(r scale.Row) {
		s.stderrf("%d simulated directors measured, load average %.1f\n", r.Simulated, r.LoadAverage[1])
	})
	if len(result.Rows) > 0 {
		err = c.write(s, result)
	}
	if runErr != nil {
		return runErr
	}
	if err != nil {
		return err
	}
	if last := result.Rows[len(result.Rows)-1]; len(last.Collapsed) > 0 {
		return &exitError{exitFailed, fmt.Sprintf("the control plane collapsed at %d simulated directors on this machine", last.Simulated)}
	}
	return nil
}

// makeFolder creates the folder for the files of the run. It returns a function that removes a temporary folder and keeps one that the
// user has named.
func (c scaleRunCmd) makeFolder(settings *scale.Settings) (remove func(), err error) {
	if c.Folder != "" {
		settings.Folder = c.Folder
		return func() {}, os.Mkdir(c.Folder, 0o700)
	}
	settings.Folder, err = os.MkdirTemp("", "stairvane-scale")
	return func() { _ = os.RemoveAll(settings.Folder) }, err // remains of a temporary folder are harmless
}

// write writes the result in the selected format and, with --save, also to a file.
func (c scaleRunCmd) write(s streams, result scale.Result) (err error) {
	if c.json() {
		err = writeJSON(s.out, result)
	} else {
		err = scale.WriteTable(s.out, result)
	}
	if err == nil && c.Save != "" {
		err = c.save(result)
	}
	return err
}

// save writes the result as JSON to a new file in the folder of --save.
func (c scaleRunCmd) save(result scale.Result) (err error) {
	name := fmt.Sprintf("%s-%d-replicas-%d-relays-%d-cold", result.Began.Format("20060102-150405"), c.Replicas, c.Relays, c.Cold)
	if fault := result.Settings.Fault; fault != scale.NoFault {
		name += "-" + string(fault)
	}
	file, err := os.Create(filepath.Join(c.Save, name+".json"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return writeJSON(file, result)
}

// scaleSimulatedCmd runs the simulated directors of a run.
type scaleSimulatedCmd struct {
	Settings string `arg:"" type:"path" help:"File of settings."`
}

// Run runs the simulated directors until the parent process stops it.
func (c scaleSimulatedCmd) Run() error {
	settings, err := simulated.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	process, err := simulated.New(settings)
	if err != nil {
		return err
	}
	return process.Run()
}
