package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/google/renameio/v2"

	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/sexpr"
)

type validateCmd struct {
	output
	Program bool     `help:"The files set the program; they declare no fleet."`
	Files   []string `arg:"" help:"Files of the wished fleet."`
}

// Run tells all faults of all files at once.
func (c validateCmd) Run(s streams) error {
	faults := sexpr.Faults{}
	for _, name := range c.Files {
		var found sexpr.Faults
		if c.Program {
			_, found = operatorconfig.ReadProgram(name, os.ReadFile)
		} else {
			_, found = operatorconfig.ReadFleet(name, os.ReadFile)
		}
		faults = append(faults, found...)
	}
	if c.Output == "json" {
		if err := writeJSON(s.out, faults); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(s.out, f.Error())
		}
	}
	if len(faults) > 0 {
		return &exit{exitFailed, fmt.Sprintf("%d faults", len(faults))}
	}
	return nil
}

type fmtCmd struct {
	Check bool     `help:"Change nothing; end with 1 if a file is not in the form."`
	Files []string `arg:"" help:"Files to format."`
}

func (c fmtCmd) Run(s streams) error {
	var failed error
	for _, name := range c.Files {
		if err := c.one(name, s); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

func (c fmtCmd) one(name string, s streams) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	tree, faults := sexpr.Parse(name, string(text))
	if len(faults) > 0 {
		return faults // a file that can't be read whole is left as it is
	}
	formed := []byte(sexpr.Format(tree))
	if bytes.Equal(formed, text) {
		return nil
	}
	fmt.Fprintln(s.out, name)
	if c.Check {
		return fmt.Errorf("%s is not in the form", name)
	}
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	return renameio.WriteFile(name, formed, info.Mode().Perm())
}
