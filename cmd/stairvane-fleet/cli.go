package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// cli is the grammar of the command line.
type cli struct {
	Director directorCmd `cmd:"" help:"Run a director on as many cores as the program's file says (LB_CONFIG names its configuration)."`
	Board    boardCmd    `cmd:"" help:"Run the board that keeps the fleet and carries out plans."`
	Relay    relayCmd    `cmd:"" help:"Run a relay, which serves watches to the directors of a region for the copies of a board."`
	Validate validateCmd `cmd:"" help:"Check the operator's files."`
	Fmt      fmtCmd      `cmd:"" help:"Write the operator's files in the one form, comments kept."`
	Plan     planCmd     `cmd:"" help:"Plan the way from the board's world to a wished fleet. Ends with 0: nothing to change, 2: changes, 1: an error, or no order keeps the constraints."`
	Show     showCmd     `cmd:"" help:"Show a plan file."`
	Apply    applyCmd    `cmd:"" help:"Have the board carry out a plan. Ends with 0: done, 3: stale, 4: another apply is under way, 6: it stopped."`
	Applies  appliesCmd  `cmd:"" help:"List applies; show, pause, resume or cancel one."`
	Revert   revertCmd   `cmd:"" help:"Plan back to what the fleet was before an apply."`
	World    worldCmd    `cmd:"" help:"Show the fleet as it is declared and as it was seen."`
	Purge    purgeCmd    `cmd:"" help:"Purge an object or a group on all caches."`
	Copies   copiesCmd   `cmd:"" help:"Show the copies of the board, let one in, take one out, replace one, hand the lead over."`
	Roll     rollCmd     `cmd:"" help:"Show which directors there are: their versions, when they were heard of, what claims they decide on."`
	Audit    auditCmd    `cmd:"" help:"Show by which versions directors act, and who is behind."`
	Model    modelCmd    `cmd:"" help:"Play a fleet that shares cold boxes by turns, in a model. Ends with 1 if a limit is passed."`
	Signals  signalsCmd  `cmd:"" help:"Show what directors together see of boxes, and by whose evidence."`
	Turns    turnsCmd    `cmd:"" help:"Show who holds what part of what directors share, and until when."`
	Capacity capacityCmd `cmd:"" help:"Work out what each role costs at a size, from measured laws."`
	Version  versionCmd  `cmd:"" help:"Tell which program this is."`
	Scale    scaleCmd    `cmd:"" help:"Measure the control plane beside many simulated directors on this machine."`
	Standin  standinCmd  `cmd:"" help:"Stand-ins for a quick start on one machine."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install or remove the shell's completions."`
}

// output is how a command writes.
type output struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"text or json."`
}

// boardAt is how a command reaches the board.
type boardAt struct {
	Board       string `default:"unix:board.sock" env:"STAIRVANE_BOARD" help:"The board's write side: unix:PATH or HOST:PORT; of several copies all, parted by commas."`
	Who         string `env:"STAIRVANE_WHO" help:"Who you are, if the system does not tell."`
	Certificate string `type:"path" help:"Client certificate, PEM."`
	Key         string `type:"path" help:"Its key."`
	Authority   string `type:"path" help:"The authority of the board's certificate."`
}

func (b boardAt) client() (*api.Client, error) {
	return api.NewClient(b.Board, b.Who, api.Credentials{Certificate: b.Certificate, Key: b.Key, Authority: b.Authority})
}

// streams are where a command writes; they are bound to its Run.
type streams struct{ out, err io.Writer }

// exit is an error with a status of its own. An empty message prints nothing.
type exit struct {
	status  int
	message string
}

func (e *exit) Error() string { return e.message }

func runCommand(args []string, out, errOut io.Writer) (status int) {
	var c cli
	parser, err := kong.New(&c, kong.Name("stairvane"), kong.Description("Without a command: a director for depot caches, which LB_CONFIG configures. The commands run the board that keeps the fleet, and plan and apply changes to it."),
		kong.Writers(out, errOut), kong.UsageOnError(), kong.Bind(streams{out, errOut}), kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if err != nil {
		fmt.Fprintln(errOut, "stairvane:", err)
		return exitFailed
	}
	defer func() { // kong ends the process for --help; here that is a value
		if r := recover(); r != nil {
			code, is := r.(exitPanic)
			if !is {
				panic(r)
			}
			status = int(code)
		}
	}()
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "stairvane:", err)
		return exitFailed
	}
	return statusOf(ctx.Run(), errOut)
}

type exitPanic int

// statusOf prints an error in one line and gives the status that it stands for.
func statusOf(err error, errOut io.Writer) int {
	if err == nil {
		return exitDone
	}
	var e *exit
	if errors.As(err, &e) {
		if e.message != "" {
			fmt.Fprintln(errOut, "stairvane:", e.message)
		}
		return e.status
	}
	fmt.Fprintln(errOut, "stairvane:", err)
	var refused *api.Error
	switch {
	case errors.As(err, &refused) && refused.Kind == api.Stale:
		return exitStale
	case errors.As(err, &refused) && refused.Kind == api.Busy:
		return exitBusy
	case errors.As(err, &refused) && (refused.Kind == api.Damaged || refused.Kind == api.Newer),
		errors.Is(err, plan.ErrDamaged), errors.Is(err, plan.ErrNewer):
		return exitDamaged
	}
	return exitFailed
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type versionCmd struct{ output }

func (c versionCmd) Run(s streams) error {
	v := struct {
		Program  string `json:"program"`
		Version  string `json:"version"`
		Revision string `json:"revision,omitempty"`
		Go       string `json:"go"`
		PlanFile int    `json:"plan_file"`
	}{Program: "stairvane", Version: "unknown", PlanFile: plan.Version}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
		for _, set := range info.Settings {
			if set.Key == "vcs.revision" {
				v.Revision = set.Value
			}
		}
	}
	if c.Output == "json" {
		return writeJSON(s.out, v)
	}
	_, err := fmt.Fprintf(s.out, "stairvane %s %s (%s), plan files of version %d\n", v.Version, v.Revision, v.Go, v.PlanFile)
	return err
}

// readPlan reads a plan file; errors name it.
func readPlan(path string) (*plan.Plan, []byte, error) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := plan.Decode(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, file, nil
}
