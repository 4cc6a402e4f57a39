package capacity

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A generated part of a page stands between these markers, with the part's name in the first.
const (
	markerBegin = "<!-- capacity: "
	markerStop  = " -->\n"
	markerEnd   = "<!-- capacity end -->"
)

// ErrMarkers tells that the markers of a page do not name each part once.
var ErrMarkers = errors.New("the page's markers are not right")

// Rewrite replaces the generated parts between a page's markers: size, runs, a part for each role, broken, missing and laws. It
// returns ErrMarkers unless each part is there once.
func Rewrite(page string, size Size, design Design, measured Measured) (string, error) {
	parts := generatedParts(size, design, measured)
	var rewritten strings.Builder
	rest := page
	for {
		before, after, hasMarker := strings.Cut(rest, markerBegin)
		rewritten.WriteString(before)
		if !hasMarker {
			break
		}
		name, body, isNamed := strings.Cut(after, markerStop)
		_, next, isClosed := strings.Cut(body, markerEnd)
		part, isKnown := parts[name]
		if !isNamed || !isClosed || !isKnown {
			return "", fmt.Errorf("capacity: %w: %.40q", ErrMarkers, name)
		}
		delete(parts, name)
		rewritten.WriteString(markerBegin + name + markerStop + part + markerEnd)
		rest = next
	}
	if len(parts) > 0 {
		first := slices.Min(slices.Collect(maps.Keys(parts)))
		return "", fmt.Errorf("capacity: %w: there is no part %q", ErrMarkers, first)
	}
	return rewritten.String(), nil
}

// generatedParts are the generated parts of a page by their names.
func generatedParts(size Size, design Design, measured Measured) map[string]string {
	figures := Figures(size, design, measured)
	parts := map[string]string{
		"size":    sizeTable(size),
		"runs":    runTable(measured.Rows),
		"broken":  overBudgetTable(figures),
		"missing": missingTable(figures),
		"laws":    lawTable(measured.Laws),
	}
	for _, group := range formulasByRole {
		var ofRole []Figure
		for _, f := range figures {
			if f.Role == group.role {
				ofRole = append(ofRole, f)
			}
		}
		parts[string(group.role)] = figureTable(ofRole)
	}
	return parts
}

// markdownTable escapes the separators in cells.
func markdownTable(head []string, rows [][]string) string {
	var table strings.Builder
	table.WriteString("| " + strings.Join(head, " | ") + " |\n")
	table.WriteString("|" + strings.Repeat(" --- |", len(head)) + "\n")
	for _, row := range rows {
		line := strings.Join(escapeCells(row), " | ")
		table.WriteString("| " + line + " |\n")
	}
	return table.String()
}

func escapeCells(row []string) []string {
	escaped := make([]string, len(row))
	for i, cell := range row {
		escaped[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	return escaped
}
