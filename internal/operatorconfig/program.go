package operatorconfig

import (
	"path/filepath"

	"stairvane.org/stairvane/internal/sexpr"
)

// Program holds the settings of a program file. A process runs as one of the three programs.
type Program struct {
	ControlPlane ControlPlane
	Director     Director
	Relay        Relay
}

// ReadProgram reads a program file. Settings that the file does not contain have their default values.
func ReadProgram(name string, read ReadFile) (Program, sexpr.FileErrors) {
	p := Program{ControlPlane: defaultControlPlane(), Director: defaultDirector(), Relay: DefaultRelay()}
	text, err := read(name)
	if err != nil {
		return p, sexpr.FileErrors{{File: name, Line: 1, Col: 1, Message: "file can't be read: " + err.Error()}}
	}
	tree, syntaxErrors := sexpr.Parse(name, string(text))
	d := &decoder{errors: syntaxErrors}
	start := fileStart(name)
	folder := filepath.Dir(name)
	forms := withoutComments(tree.Items)
	if len(forms) == 0 && len(syntaxErrors) == 0 {
		d.report(start, "", "the file is empty: (board ...), (director ...) or (relay ...) is required")
	}
	d.forms(start, "", forms, []form{
		{name: "board", read: d.controlPlane(&p.ControlPlane, folder)},
		{name: "relay", read: d.relay(&p.Relay, folder)},
		{name: "director", read: d.director(&p.Director)},
	})
	return p, d.errors
}
