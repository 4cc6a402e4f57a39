package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/olekukonko/tablewriter"
	"github.com/willabides/kongplete"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// cli is the grammar of the command line. The aliases are the earlier names of the sub-commands, kept for existing scripts.
type cli struct {
	Director     directorCmd     `cmd:"" help:"Run a director on as many cores as the program's file says (LB_CONFIG names its configuration)."`
	ControlPlane controlPlaneCmd `cmd:"" aliases:"board" help:"Run a replica of the control plane, or one that is alone."`
	Relay        relayCmd        `cmd:"" help:"Run a relay, which serves watches to the directors of a region for the replicas of a control plane."`

	Validate validateCmd `cmd:"" help:"Check the operator's files."`
	Fmt      fmtCmd      `cmd:"" help:"Write the operator's files in the one form, comments kept."`
	Plan     planCmd     `cmd:"" help:"Plan the way from the observed to the desired state. Ends with 0: nothing to change, 2: changes, 1: an error, or no order keeps the constraints."`
	Show     showCmd     `cmd:"" help:"Show a plan file."`
	Apply    applyCmd    `cmd:"" help:"Have the control plane carry out a plan. Ends with 0: done, 3: stale, 4: another apply is under way, 6: it stopped."`
	Applies  appliesCmd  `cmd:"" help:"List applies; show, pause, resume or cancel one."`
	Revert   revertCmd   `cmd:"" help:"Plan back to what the fleet was before an apply."`
	State    stateCmd    `cmd:"" aliases:"world" help:"Show the fleet as it is declared and as it was seen."`
	Purge    purgeCmd    `cmd:"" help:"Purge an object or a group on all caches."`

	Replicas replicasCmd `cmd:"" aliases:"copies" help:"Show the replicas of the control plane, admit one, remove one, replace one, transfer the leadership."`
	Members  membersCmd  `cmd:"" aliases:"roll" help:"Show which directors there are: their versions, their last heartbeats, the claims they decide on."`
	Audit    auditCmd    `cmd:"" help:"Show which revisions directors have applied, and who is behind."`
	Quotas   quotasCmd   `cmd:"" aliases:"turns" help:"Show who holds what share of what directors divide, and until when."`
	Health   healthCmd   `cmd:"" aliases:"signals" help:"Show the aggregated health of caches, and whose reports it rests on."`

	Capacity capacityCmd `cmd:"" help:"Work out what each role costs at a size, from measured laws."`
	Scale    scaleCmd    `cmd:"" help:"Measure the control plane beside many simulated directors on this machine."`
	Model    modelCmd    `cmd:"" help:"Play a fleet that shares warming caches by quotas, in a model. Ends with 1 if a limit is passed."`
	Fake     fakeCmd     `cmd:"" aliases:"standin" help:"Fake caches and clients for a quick start on one machine."`
	Version  versionCmd  `cmd:"" help:"Tell which program this is."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install or remove the shell's completions."`
}

const description = "Without a command, runs a director, which balances the load of caches and is configured by LB_CONFIG. The commands " +
	"run the control plane of the fleet, and plan and apply changes to the fleet."

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// outputFlags selects the output format of a command.
type outputFlags struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"text or json."`
}

func (f outputFlags) json() bool { return f.Output == outputJSON }

// controlPlaneFlags specifies how a command connects to the control plane.
type controlPlaneFlags struct {
	ControlPlane string `name:"board" default:"unix:board.sock" env:"STAIRVANE_BOARD" help:"The control plane's write side: unix:PATH or HOST:PORT; of several replicas all, separated by commas."`
	Who          string `env:"STAIRVANE_WHO" help:"Who you are, if the system does not tell."`
	Certificate  string `type:"path" help:"Client certificate, PEM."`
	Key          string `type:"path" help:"Its key."`
	Authority    string `type:"path" help:"The authority of the control plane's certificate."`
}

func (f controlPlaneFlags) client() (*api.Client, error) {
	return api.NewClient(f.ControlPlane, f.Who, api.Credentials{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority})
}

// streams holds the output streams of a command, which kong passes to its Run method.
type streams struct{ out, err *stickyWriter }

// printf writes to standard output. The stream keeps the first write error, and the command then exits with exitFailed.
func (s streams) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

// println writes a line to standard output. Write errors are handled as by printf.
func (s streams) println(args ...any) { _, _ = fmt.Fprintln(s.out, args...) }

// stderrf writes to standard error, which carries messages that are not part of the result.
func (s streams) stderrf(format string, args ...any) { _, _ = fmt.Fprintf(s.err, format, args...) }

// stickyWriter keeps its first error and writes nothing after it, so that a command can check for an error once after many writes.
type stickyWriter struct {
	io.Writer
	err error
}

func (w *stickyWriter) Write(b []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.Writer.Write(b)
	w.err = err
	return n, err
}

// exitError is an error that sets the exit status of the process. If message is empty, nothing is printed.
type exitError struct {
	status  int
	message string
}

func (e *exitError) Error() string { return e.message }

// runCommand parses and runs a command line, and returns the exit status of the process.
func runCommand(args []string, out, errOut io.Writer) (status int) {
	s := streams{out: &stickyWriter{Writer: out}, err: &stickyWriter{Writer: errOut}}
	var c cli
	parser, err := kong.New(&c,
		kong.Name("stairvane"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
		kong.Bind(s),
		kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if err != nil {
		s.stderrf("stairvane: %v\n", err)
		return exitFailed
	}
	defer func() { // kong exits the process after --help; the Exit option above turns that into a panic with the status
		if r := recover(); r != nil {
			code, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if err != nil {
		s.stderrf("stairvane: %v\n", err)
		return exitFailed
	}
	err = ctx.Run()
	if err == nil {
		err = s.out.err
	}
	return exitStatus(err, s)
}

// exitPanic is the value of the panic that passes kong's exit status to runCommand.
type exitPanic int

// exitStatus prints an error on one line and returns the exit status for it.
func exitStatus(err error, s streams) int {
	if err == nil {
		return exitDone
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		if exitErr.message != "" {
			s.stderrf("stairvane: %s\n", exitErr.message)
		}
		return exitErr.status
	}
	s.stderrf("stairvane: %v\n", err)
	if errors.Is(err, plan.ErrDamaged) || errors.Is(err, plan.ErrNewer) {
		return exitDamaged
	}
	var rejected *api.Error
	if errors.As(err, &rejected) {
		switch rejected.Kind {
		case api.Stale:
			return exitStale
		case api.Busy:
			return exitBusy
		case api.Damaged, api.Newer:
			return exitDamaged
		}
	}
	return exitFailed
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// writeTable writes a table. All rows must have as many cells as the header.
func writeTable(s streams, rows [][]string, header ...string) error {
	t := tablewriter.NewWriter(s.out)
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

// versionCmd shows the version of the program.
type versionCmd struct{ outputFlags }

// programVersion is the JSON output of the command.
type programVersion struct {
	Program  string `json:"program"`
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	PlanFile int    `json:"plan_file"`
}

// Run prints the version.
func (c versionCmd) Run(s streams) error {
	v := programVersion{Program: "stairvane", Version: "unknown", PlanFile: plan.Version}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go, v.Revision = info.Main.Version, info.GoVersion, buildSetting(info, "vcs.revision")
	}
	if c.json() {
		return writeJSON(s.out, v)
	}
	s.printf("stairvane %s %s (%s), plan files of version %d\n", v.Version, v.Revision, v.Go, v.PlanFile)
	return nil
}

// buildSetting returns the value of a build setting, or "" if the build information does not contain it.
func buildSetting(info *debug.BuildInfo, key string) string {
	for _, setting := range info.Settings {
		if setting.Key == key {
			return setting.Value
		}
	}
	return ""
}
