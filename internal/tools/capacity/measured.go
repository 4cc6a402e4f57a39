package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// ErrDuplicateLaw is returned if a file contains two laws with the same name, or a law without a name.
var ErrDuplicateLaw = errors.New("name is a duplicate or empty")

// Laws maps names to laws.
type Laws map[string]Law

// Sorted returns the laws sorted by name.
func (l Laws) Sorted() []Law {
	return slices.SortedFunc(maps.Values(l), func(a, b Law) int { return cmp.Compare(a.Name, b.Name) })
}

// Measured holds all measurements.
type Measured struct {
	Laws Laws
	Rows []Row // of all scale runs, grouped by run
}

// document is the file format of laws and rows.
type document struct {
	Laws []Law `json:"laws"`
	Rows []Row `json:"rows,omitempty"`
}

// Read decodes laws and rows. It rejects a law that does not match the fit of its points or lacks a source, with an error that wraps
// ErrTooFewPoints, ErrNotFitted or ErrNoSource. A duplicate or empty name is ErrDuplicateLaw.
func Read(r io.Reader) (Measured, error) {
	return readMeasured(r, func(law Law) (Law, error) { return law, law.check() })
}

// ReadPoints decodes laws and rows like Read, but fits each law to its points again and ignores the constants, slopes and residuals
// in the file.
func ReadPoints(r io.Reader) (Measured, error) {
	return readMeasured(r, func(law Law) (Law, error) {
		fitted, err := NewLaw(law.Name, law.About, law.XUnit, law.Unit, law.Points, law.Source)
		if err != nil {
			return fitted, err
		}
		return fitted, fitted.check()
	})
}

func readMeasured(r io.Reader, accept func(Law) (Law, error)) (Measured, error) {
	var d document
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Measured{}, fmt.Errorf("capacity: %w", err)
	}
	laws := Laws{}
	for _, law := range d.Laws {
		if _, isDuplicate := laws[law.Name]; isDuplicate || law.Name == "" {
			return Measured{}, fmt.Errorf("capacity: law %q: %w", law.Name, ErrDuplicateLaw)
		}
		accepted, err := accept(law)
		if err != nil {
			return Measured{}, fmt.Errorf("capacity: %w", err)
		}
		laws[law.Name] = accepted
	}
	return Measured{Laws: laws, Rows: d.Rows}, nil
}

// Write encodes the laws, sorted by name, and the rows.
func (m Measured) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(document{Laws: m.Laws.Sorted(), Rows: m.Rows})
}

// AddRows replaces the rows of one scale run and refits the laws of its layout to the rows of all runs with that layout. All given
// rows must have the same File.
func (m *Measured) AddRows(rows []Row) {
	if len(rows) == 0 {
		return
	}
	added := rows[0]
	m.Rows = slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool { return r.File == added.File })
	m.Rows = append(m.Rows, rows...)
	slices.SortStableFunc(m.Rows, func(a, b Row) int { return cmp.Compare(a.File, b.File) })
	sameLayout := slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool { return !r.hasSameLayout(added) })
	maps.Copy(m.Laws, processLaws(sameLayout))
}
