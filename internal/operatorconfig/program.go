package operatorconfig

import (
	"path/filepath"

	"stairvane.org/stairvane/internal/sexpr"
)

// Program is what the file of a program says. A process runs as one of the three.
type Program struct {
	ControlPlane ControlPlane
	Director     Director
	Relay        Relay
}

// ReadProgram reads the file of a program. What the file does not say has its default.
func ReadProgram(name string, read ReadFile) (Program, sexpr.FileErrors) {
	p := Program{ControlPlane: defaultControlPlane(), Director: defaultDirector(), Relay: DefaultRelay()}
	text, err := read(name)
	if err != nil {
		return p, sexpr.FileErrors{{File: name, Line: 1, Col: 1, Message: "can't be read: " + err.Error()}}
	}
	tree, syntaxErrors := sexpr.Parse(name, string(text))
	d := &decoder{errors: syntaxErrors}
	start := startOf(name)
	folder := filepath.Dir(name)
	forms := withoutComments(tree.Items)
	if len(forms) == 0 && len(syntaxErrors) == 0 {
		d.report(start, "", "nothing is set: (board ...), (director ...) or (relay ...) is wanted")
	}
	d.forms(start, "", forms, []form{
		{name: "board", read: d.controlPlane(&p.ControlPlane, folder)},
		{name: "relay", read: d.relay(&p.Relay, folder)},
		{name: "director", read: d.director(&p.Director)},
	})
	return p, d.errors
}
