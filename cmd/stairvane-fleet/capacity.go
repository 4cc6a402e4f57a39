package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"

	"github.com/olekukonko/tablewriter"

	"stairvane.org/stairvane/internal/capacity"
)

// capacityCmd works out what each role costs at a size, from the laws that were measured.
type capacityCmd struct {
	output
	Slopes string            `default:"docs/design/capacity-slopes.json" help:"The file of laws with their measured points."`
	Size   map[string]string `help:"Values other than the operators', such as directors=1000;purges-per-second=5."`
	Design map[string]string `help:"Values other than the program's, such as relays=5;replicas=5."`
	Add    string            `help:"A file of further laws, such as those of whole processes: they are fitted to their points and added to the file of laws, in place of those of the same names. Prints nothing."`
	Write  string            `help:"Write the tables into a page, between its markers, and print nothing."`
}

// capacityReport is the command's answer as JSON.
type capacityReport struct {
	Size    capacity.Size     `json:"size"`
	Design  capacity.Design   `json:"design"`
	Figures []capacity.Figure `json:"figures"`
}

func (c capacityCmd) Run(s streams) error {
	size, design := capacity.Operators(), capacity.Current()
	for name, value := range c.Size {
		if err := size.Set(name, value); err != nil {
			return fmt.Errorf("--size: %w", err)
		}
	}
	for name, value := range c.Design {
		if err := design.Set(name, value); err != nil {
			return fmt.Errorf("--design: %w", err)
		}
	}
	laws, err := readLaws(c.Slopes, capacity.Read)
	if err != nil {
		return err
	}
	if c.Add != "" {
		more, err := readLaws(c.Add, capacity.ReadPoints)
		if err != nil {
			return err
		}
		maps.Copy(laws, more)
		if err := writeLaws(c.Slopes, laws); err != nil || c.Write == "" {
			return err
		}
	}
	if c.Write != "" {
		return writeCapacityPage(c.Write, size, design, laws)
	}
	figures := capacity.Table(size, design, laws)
	if c.Output == "json" {
		return writeJSON(s.out, capacityReport{Size: size, Design: design, Figures: figures})
	}
	table := tablewriter.NewWriter(s.out)
	table.Header("role", "figure", "at size", "budget", "verdict", "laws read")
	for _, row := range capacity.Text(figures) {
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}

func readLaws(path string, read func(io.Reader) (capacity.Laws, error)) (capacity.Laws, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	laws, err := read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return laws, nil
}

func writeLaws(path string, laws capacity.Laws) error {
	var text bytes.Buffer
	if err := laws.Write(&text); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// writeCapacityPage rewrites a page's generated tables.
func writeCapacityPage(path string, size capacity.Size, design capacity.Design, laws capacity.Laws) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := capacity.Rewrite(string(page), size, design, laws)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(text), 0o644)
}
