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

// ErrDuplicateLaw tells that a file has two laws of a name, or one without a name.
var ErrDuplicateLaw = errors.New("duplicate or empty name")

// Laws are laws by their names.
type Laws map[string]Law

// Sorted are the laws in the order of their names.
func (l Laws) Sorted() []Law {
	return slices.SortedFunc(maps.Values(l), func(a, b Law) int { return cmp.Compare(a.Name, b.Name) })
}

// Measured is all that was measured.
type Measured struct {
	Laws Laws
	Rows []Row // of scale runs, run after run
}

// document is the file of laws and rows.
type document struct {
	Laws []Law `json:"laws"`
	Rows []Row `json:"rows,omitempty"`
}

// Read reads laws and rows. It rejects a law whose line is not the one that its points give; see Law for the errors.
func Read(r io.Reader) (Measured, error) {
	return read(r, func(law Law) (Law, error) { return law, law.check() })
}

// ReadPoints reads laws in the same form and fits them to their points. The constants, slopes and residuals of the file don't count.
func ReadPoints(r io.Reader) (Measured, error) {
	return read(r, func(law Law) (Law, error) {
		fitted, err := NewLaw(law.Name, law.About, law.XUnit, law.Unit, law.Points, law.Source)
		if err != nil {
			return fitted, err
		}
		return fitted, fitted.check()
	})
}

func read(r io.Reader, accept func(Law) (Law, error)) (Measured, error) {
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

// Write writes laws in the order of their names, and rows.
func (m Measured) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(document{Laws: m.Laws.Sorted(), Rows: m.Rows})
}

// AddRows replaces the rows of a scale run, which all have the same file, and fits the laws of all rows of its layout again.
func (m *Measured) AddRows(rows []Row) {
	if len(rows) == 0 {
		return
	}
	added := rows[0]
	m.Rows = slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool { return r.File == added.File })
	m.Rows = append(m.Rows, rows...)
	slices.SortStableFunc(m.Rows, func(a, b Row) int { return cmp.Compare(a.File, b.File) })
	sameLayout := slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool { return !r.hasLayoutOf(added) })
	maps.Copy(m.Laws, processLaws(sameLayout))
}
