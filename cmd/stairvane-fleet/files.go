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

// validateCmd checks the operator's files.
type validateCmd struct {
	outputFlags
	Program bool     `help:"The files set the program; they declare no fleet."`
	Files   []string `arg:"" help:"Files of the desired state."`
}

// Run reports all errors in all files at once.
func (c validateCmd) Run(s streams) error {
	faults := sexpr.FileErrors{}
	for _, name := range c.Files {
		var found sexpr.FileErrors
		if c.Program {
			_, found = operatorconfig.ReadProgram(name, os.ReadFile)
		} else {
			_, found = operatorconfig.ReadFleet(name, os.ReadFile)
		}
		faults = append(faults, found...)
	}
	if c.json() {
		if err := writeJSON(s.out, faults); err != nil {
			return err
		}
	} else {
		for _, fault := range faults {
			s.println(fault.Error())
		}
	}
	if len(faults) > 0 {
		return &exitError{exitFailed, fmt.Sprintf("%d errors", len(faults))}
	}
	return nil
}

// fmtCmd formats the operator's files.
type fmtCmd struct {
	Check bool     `help:"Change nothing; end with 1 if a file is not in the form."`
	Files []string `arg:"" help:"Files to format."`
}

// Run formats all files. It continues after a file that can't be formatted.
func (c fmtCmd) Run(s streams) error {
	var failed error
	for _, name := range c.Files {
		failed = errors.Join(failed, c.formatFile(s, name))
	}
	return failed
}

func (c fmtCmd) formatFile(s streams, name string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	tree, faults := sexpr.Parse(name, string(text))
	if len(faults) > 0 {
		return faults // a file with syntax errors is not changed
	}
	formatted := []byte(sexpr.Format(tree))
	if bytes.Equal(formatted, text) {
		return nil
	}
	s.println(name)
	if c.Check {
		return fmt.Errorf("%s is not in the canonical format", name)
	}
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	return renameio.WriteFile(name, formatted, info.Mode().Perm())
}
