package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"

	"stairvane.org/stairvane/internal/tools/capacity"
)

// capacityCmd estimates the resources that each role needs at a given fleet size, from measured laws.
type capacityCmd struct {
	outputFlags
	Slopes string            `default:"docs/design/capacity-slopes.json" help:"The file of laws with their measured points."`
	Size   map[string]string `help:"Values other than the operators', such as directors=1000;purges-per-second=5."`
	Design map[string]string `help:"Values other than the program's, such as relays=5;replicas=5."`
	Add    []string          `type:"path" help:"Files of further measurements, which are kept in the file of laws, in place of those of the same names: laws, which are fitted to their points, or runs that stairvane scale has saved. Prints nothing."`
	Write  string            `help:"Write the tables into a page, between its markers, and print nothing."`
}

// capacityReport is the JSON output of the command.
type capacityReport struct {
	Size    capacity.Size     `json:"size"`
	Design  capacity.Design   `json:"design"`
	Figures []capacity.Figure `json:"figures"`
}

// Run shows the figures, or merges further measurements into the file of laws, or writes a page, or does the last two in turn.
func (c capacityCmd) Run(s streams) error {
	size, design, err := c.sizeAndDesign()
	if err != nil {
		return err
	}
	measured, err := readMeasured(c.Slopes, capacity.Read)
	if err != nil {
		return err
	}
	if len(c.Add) > 0 {
		if err := c.mergeFiles(&measured); err != nil || c.Write == "" {
			return err
		}
	}
	if c.Write != "" {
		return writeCapacityPage(c.Write, size, design, measured)
	}
	figures := capacity.Figures(size, design, measured)
	if c.json() {
		return writeJSON(s.out, capacityReport{Size: size, Design: design, Figures: figures})
	}
	return writeTable(s, capacity.TableRows(figures), "role", "figure", "at size", "budget", "verdict", "laws read")
}

// sizeAndDesign returns the expected size and the current design, overridden by the values of the flags.
func (c capacityCmd) sizeAndDesign() (capacity.Size, capacity.Design, error) {
	size, design := capacity.ExpectedSize(), capacity.CurrentDesign()
	for name, value := range c.Size {
		if err := size.Set(name, value); err != nil {
			return size, design, fmt.Errorf("--size: %w", err)
		}
	}
	for name, value := range c.Design {
		if err := design.Set(name, value); err != nil {
			return size, design, fmt.Errorf("--design: %w", err)
		}
	}
	return size, design, nil
}

// mergeFiles merges the files of further measurements into measured and writes the file of laws.
func (c capacityCmd) mergeFiles(measured *capacity.Measured) error {
	for _, path := range c.Add {
		if err := mergeFile(measured, path); err != nil {
			return err
		}
	}
	return writeMeasured(c.Slopes, *measured)
}

func readMeasured(path string, read func(io.Reader) (capacity.Measured, error)) (capacity.Measured, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return capacity.Measured{}, err
	}
	measured, err := read(bytes.NewReader(text))
	if err != nil {
		return measured, fmt.Errorf("%s: %w", path, err)
	}
	return measured, nil
}

// mergeFile merges a file of laws, or one saved by a scale run, into measured. Only a scale run's file has settings.
func mergeFile(measured *capacity.Measured, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var kind struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if kind.Settings == nil {
		more, err := readMeasured(path, capacity.ReadPoints)
		if err != nil {
			return err
		}
		maps.Copy(measured.Laws, more.Laws)
		return nil
	}
	rows, err := capacity.ReadScaleRun(bytes.NewReader(text), filepath.Base(path))
	if err != nil {
		return err
	}
	measured.AddRows(rows)
	return nil
}

func writeMeasured(path string, measured capacity.Measured) error {
	var text bytes.Buffer
	if err := measured.Write(&text); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// writeCapacityPage replaces the generated tables of a page.
func writeCapacityPage(path string, size capacity.Size, design capacity.Design, measured capacity.Measured) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := capacity.Rewrite(string(page), size, design, measured)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(text), 0o644)
}
