package capacity

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A generated part of a page is enclosed in a begin and an end marker. The begin marker contains the name of the part.
const (
	beginMarkerPrefix = "<!-- capacity: "
	beginMarkerSuffix = " -->\n"
	endMarker         = "<!-- capacity end -->"
)

// ErrMarkers is returned if the markers of a page do not enclose each generated part exactly once.
var ErrMarkers = errors.New("invalid page markers")

// Rewrite replaces the generated parts between the markers of a page: size, runs, a part for each role, broken, missing and laws.
// It returns ErrMarkers unless the page contains each part exactly once.
func Rewrite(page string, size Size, design Design, measured Measured) (string, error) {
	parts := generatedParts(size, design, measured)
	var rewritten strings.Builder
	rest := page
	for {
		before, after, hasMarker := strings.Cut(rest, beginMarkerPrefix)
		rewritten.WriteString(before)
		if !hasMarker {
			break
		}
		name, body, isNamed := strings.Cut(after, beginMarkerSuffix)
		_, next, isClosed := strings.Cut(body, endMarker)
		part, isKnown := parts[name]
		if !isNamed || !isClosed || !isKnown {
			return "", fmt.Errorf("capacity: %w: %.40q", ErrMarkers, name)
		}
		delete(parts, name)
		rewritten.WriteString(beginMarkerPrefix + name + beginMarkerSuffix + part + endMarker)
		rest = next
	}
	if len(parts) > 0 {
		first := slices.Min(slices.Collect(maps.Keys(parts)))
		return "", fmt.Errorf("capacity: %w: part %q is missing", ErrMarkers, first)
	}
	return rewritten.String(), nil
}

// generatedParts returns the generated parts of a page by name.
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

// markdownTable renders a Markdown table. It escapes separators in cells.
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
