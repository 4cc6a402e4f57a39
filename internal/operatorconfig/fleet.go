package operatorconfig

import (
	"cmp"
	"path"
	"path/filepath"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/sexpr"
)

// ReadFile returns the contents of a file, as os.ReadFile does.
type ReadFile func(name string) ([]byte, error)

const (
	maxIncludes = 1000 // files
	maxShare    = 1e9
	maxBlock    = 1 << 30
	maxRuleTime = 24 * time.Hour
)

// fleetReader reads the files of a desired state. After all files are read, hosts inherit from templates and are checked against pools.
type fleetReader struct {
	decoder
	read      ReadFile
	included  map[string]bool // clean paths
	desired   fleet.DesiredState
	pools     map[string]*bart.Lite
	templates map[string]*hostForm
	hosts     []*hostForm
	locations []*locationForm
}

// ReadFleet reads the file of a desired state and the files that it includes. The errors are ordered by file and line.
func ReadFleet(name string, read ReadFile) (fleet.DesiredState, sexpr.FileErrors) {
	r := &fleetReader{
		read:      read,
		included:  map[string]bool{},
		pools:     map[string]*bart.Lite{},
		templates: map[string]*hostForm{},
	}
	r.desired.Rules = fleet.DefaultRules()
	r.readFile(fileStart(name), name)
	r.resolve()
	slices.SortStableFunc(r.errors, func(a, b sexpr.FileError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	r.desired.Normalize()
	return r.desired, r.errors
}

// readFile reads one file. It reports errors that concern the file as a whole at a node.
func (r *fleetReader) readFile(at *sexpr.Node, name string) {
	clean := filepath.Clean(name)
	switch {
	case r.included[clean]:
		r.report(at, "include", "%s is included twice", name)
		return
	case len(r.included) == maxIncludes:
		r.report(at, "include", "more than %d files are included", maxIncludes)
		return
	}
	r.included[clean] = true
	text, err := r.read(name)
	if err != nil {
		r.report(at, "", "file can't be read: %v", err)
		return
	}
	tree, errors := sexpr.Parse(name, string(text))
	r.errors = append(r.errors, errors...)
	r.forms(nil, "", withoutComments(tree.Items), []form{
		{name: "include", repeatable: true, read: r.include},
		{name: "rules", read: r.rules()},
		{name: "pool", repeatable: true, read: r.readPool},
		{name: "template", repeatable: true, read: r.readTemplate},
		{name: "origin", repeatable: true, read: r.source(fleet.Origin)},
		{name: "hub", repeatable: true, read: r.source(fleet.Parent)},
		{name: "location", repeatable: true, read: r.readLocation},
	})
}

// include reads an included file. A relative path is resolved against the folder of the including file.
func (r *fleetReader) include(n *sexpr.Node, args []*sexpr.Node, key string) {
	arg := r.onlyArg(n, args, key)
	if arg == nil {
		return
	}
	name, ok := r.word(arg, key)
	if !ok {
		return
	}
	if !path.IsAbs(name) {
		name = filepath.Join(filepath.Dir(n.Pos.Filename), name)
	}
	r.readFile(arg, name)
}

func (r *fleetReader) rules() formReader {
	rules := &r.desired.Rules
	return r.group(
		form{name: "cold", read: r.slowStart(&rules.Cache)},
		form{name: "cold-hub", read: r.slowStart(&rules.Parent)},
		form{name: "miss", read: r.number(&rules.MissShare, 0, 1)},
		form{name: "cold-most", read: r.number(&rules.MaxWarmingShare, 0, 1)},
		form{name: "width", read: r.integer(&rules.MaxParallelSteps, 1, 1000)},
		form{name: "on-trouble", read: r.choice(&rules.OnFault, fleet.Pause, fleet.Revert)},
		form{name: "drain-settle", read: r.milliseconds(&rules.DrainSettleMS, 0)},
		form{name: "told-within", read: r.milliseconds(&rules.NotifiedWithinMS, 0)},
		form{name: "give-up", read: r.milliseconds(&rules.StepTimeoutMS, time.Second)},
	)
}

func (r *fleetReader) slowStart(c *fleet.SlowStart) formReader {
	return r.group(
		form{name: "start", read: r.number(&c.InitialShare, 0.001, 1)},
		form{name: "warm", read: r.milliseconds(&c.WarmUpMS, 0)},
		form{name: "fall", read: r.number(&c.OverloadFactor, 0.1, 1000)},
	)
}
