package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Markers stand round the generated parts of a page.
const (
	markerBegin = "<!-- capacity: "
	markerStop  = " -->\n"
	markerEnd   = "<!-- capacity end -->"
)

// ErrMarkers tells that the markers of a page are not those of the parts there are.
var ErrMarkers = errors.New("the page's markers are not right")

// Rewrite puts the generated parts between a page's markers: size, runs, a part for each role, broken, missing and laws. Each part
// must be there once.
func Rewrite(page string, size Size, design Design, measured Measured) (string, error) {
	parts := Parts(size, design, measured)
	var out strings.Builder
	rest := page
	for {
		before, after, found := strings.Cut(rest, markerBegin)
		out.WriteString(before)
		if !found {
			break
		}
		name, body, ended := strings.Cut(after, markerStop)
		_, next, closed := strings.Cut(body, markerEnd)
		part, known := parts[name]
		if !ended || !closed || !known {
			return "", fmt.Errorf("capacity: %w: %.40q", ErrMarkers, name)
		}
		delete(parts, name)
		out.WriteString(markerBegin + name + markerStop + part + markerEnd)
		rest = next
	}
	for name := range parts {
		return "", fmt.Errorf("capacity: %w: there is no part %q", ErrMarkers, name)
	}
	return out.String(), nil
}

// Parts are the generated parts of a page by their names.
func Parts(size Size, design Design, measured Measured) map[string]string {
	figures := Table(size, design, measured)
	parts := map[string]string{
		"size": sizeTable(size), "laws": lawTable(measured.Laws), "runs": runTable(measured.Rows), "broken": brokenTable(figures), "missing": missingTable(figures),
	}
	for _, role := range Roles {
		var own []Figure
		for _, f := range figures {
			if f.Role == role {
				own = append(own, f)
			}
		}
		parts[string(role)] = figureTable(own)
	}
	return parts
}

// Text is all figures as one table for a terminal, role by role.
func Text(figures []Figure) [][]string {
	rows := [][]string{}
	for _, f := range figures {
		rows = append(rows, []string{string(f.Role), f.Name, value(f), budget(f), string(f.Verdict), terms(f)})
	}
	return rows
}

func table(head []string, rows [][]string) string {
	var b strings.Builder
	b.WriteString("| " + strings.Join(head, " | ") + " |\n")
	b.WriteString("|" + strings.Repeat(" --- |", len(head)) + "\n")
	for _, row := range rows {
		for i := range row {
			row[i] = strings.ReplaceAll(row[i], "|", "\\|")
		}
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

func figureTable(figures []Figure) string {
	var rows [][]string
	for _, f := range figures {
		rows = append(rows, []string{f.Name, value(f), budget(f), verdict(f), f.Working, terms(f), f.Mechanism})
	}
	return table([]string{"figure", "at size", "budget", "verdict", "worked out as", "laws read", "mechanism"}, rows)
}

func brokenTable(figures []Figure) string {
	var rows [][]string
	for _, f := range BrokenFirst(figures) {
		rows = append(rows, []string{string(f.Role), f.Name, value(f), budget(f), significant(f.Times()) + " times"})
	}
	return table([]string{"role", "figure", "at size", "budget", "over it"}, rows)
}

func missingTable(figures []Figure) string {
	var rows [][]string
	for _, f := range Unmeasured(figures) {
		rows = append(rows, []string{string(f.Role), f.Name, budget(f), "`" + strings.Join(f.Missing, "`, `") + "`"})
	}
	return table([]string{"role", "figure", "budget", "laws to be measured"}, rows)
}

func sizeTable(s Size) string {
	rows := [][]string{
		{"directors, at so many sites", fmt.Sprintf("%d, %d", s.Directors, s.Sites)},
		{"caches", strconv.Itoa(s.Caches)},
		{"regions, zones", fmt.Sprintf("%d, %d", s.Regions, s.Zones)},
		{"requests and bits a second, at the peak", fmt.Sprintf("%s, %s", scaled(s.RequestsPerSecond, ""), scaled(s.BitsPerSecond, "bit/s"))},
		{"objects", scaled(s.Objects, "")},
		{"purges a second, each done everywhere within", fmt.Sprintf("%s, %s", significant(s.PurgesPerSecond), s.PurgeWithin)},
		{"configuration changes a day, each in force within", fmt.Sprintf("%s, %s", significant(s.ChangesPerDay), s.ChangeWithin)},
		{"machines that fail a day; that are restarted or replaced", fmt.Sprintf("%s; %s", significant(s.FailuresPerDay), significant(s.RestartsPerDay))},
		{"regions lose each other for", s.RegionsApart.String()},
		{"a director spends on control at most", fmt.Sprintf("%s of a core, %s, %s", percent(s.DirectorCores),
			scaled(s.DirectorBytes, "B"), scaled(s.DirectorBytesPerSecond, "B/s"))},
		{"machines for control", strconv.Itoa(s.ControlMachines)},
	}
	return table([]string{"what", "the operators' size"}, rows)
}

// runTable lists the rows of scale runs as they were measured.
func runTable(measured []Row) string {
	var rows [][]string
	for _, r := range measured {
		relay := "-"
		if r.Relays > 0 {
			relay = quantity(r.RelayCores, Cores) + ", " + quantity(r.RelayMemory, Bytes)
		}
		leader := quantity(r.LeaderCores, Cores) + ", " + quantity(r.LeaderMemory, Bytes)
		if r.LeaderMemory == 0 {
			leader = "it ended"
		}
		held := "yes"
		if len(r.Collapsed) > 0 {
			held = "**no**: " + strings.Join(r.Collapsed, ", ")
		}
		if r.Fault != "" {
			held += "; with the fault " + r.Fault
		}
		if r.Fault != "" && r.Recovery > 0 {
			held += ", after which all watched again in " + quantity(r.Recovery, Seconds)
		}
		rows = append(rows, []string{
			strconv.Itoa(r.Relays), strconv.Itoa(r.ColdCaches), strconv.Itoa(r.Directors), strconv.Itoa(r.JoinsPerSecond) + "/s",
			leader, quantity(r.ReplicaCores, Cores), relay,
			quantity(r.DirectorCores, Cores) + ", " + quantity(r.DirectorMemory, Bytes),
			significant(r.DirectorCalls) + "/s, " + quantity(r.DirectorBytes, BytesPerSecond),
			quantity(r.PurgeP99, Seconds), quantity(r.PurgeLastP99, Seconds), quantity(r.PurgeLongest, Seconds),
			held, significant(r.Load), "`" + r.File + "`",
		})
	}
	return table([]string{
		"relays", "cold caches", "directors", "joining", "leader", "a replica that follows", "a relay", "a director", "its watch",
		"purge, p99", "purge at the last director, p99", "the longest seen", "held", "load", "run",
	}, rows)
}

// lawTable lists laws with their points, and after them the commands that gave these, by the numbers in the table.
func lawTable(laws Laws) string {
	var rows [][]string
	var commands []string
	for _, l := range laws.Sorted() {
		var points []string
		for _, p := range l.Points {
			points = append(points, fmt.Sprintf("%s: %s", significant(p.X), quantity(p.Y, l.Unit)))
		}
		number := slices.Index(commands, l.Source.Command)
		if number < 0 {
			number = len(commands)
			commands = append(commands, l.Source.Command)
		}
		line := quantity(l.Constant, l.Unit) + " + " + quantity(l.Slope, l.Unit) + " per " + l.XUnit
		residual := quantity(l.Residual, l.Unit) + " (" + percent(l.ResidualShare()) + ")"
		source := fmt.Sprintf("%s UTC, command %d, %s", l.Source.At.UTC().Format(time.DateTime), number+1, l.Source.Machine)
		rows = append(rows, []string{"`" + l.Name + "`", l.About, line, strings.Join(points, "; "), residual, source})
	}
	out := table([]string{"law", "what", "constant + slope", "points", "largest residual (of the largest value)", "measured"}, rows)
	out += "\nCommands:\n\n"
	for i, command := range commands {
		out += fmt.Sprintf("%d. `%s`\n", i+1, command)
	}
	return out
}

func value(f Figure) string {
	if f.Verdict == NotMeasured {
		return "not measured"
	}
	if f.Verdict == Collapsed && len(f.Terms) == 0 {
		return "-"
	}
	return quantity(f.Value, f.Unit)
}

func budget(f Figure) string {
	if f.Budget == 0 {
		return "-"
	}
	return quantity(f.Budget, f.Unit)
}

func verdict(f Figure) string {
	if f.Verdict == Broken {
		return "**broken**, " + significant(f.Times()) + " times"
	}
	if f.Verdict == Collapsed {
		return "**collapsed** at " + strconv.Itoa(f.CollapsedAt) + " directors"
	}
	return string(f.Verdict)
}

// terms names the laws that a figure reads, and where; those that are missing too.
func terms(f Figure) string {
	var out []string
	for _, t := range f.Terms {
		text := fmt.Sprintf("`%s`(%s)", t.Law, significant(t.X))
		if t.Row != "" {
			out = append(out, fmt.Sprintf("no law; as measured at %s directors in `%s`", significant(t.X), t.Row))
			continue
		}
		if t.Slope {
			text = fmt.Sprintf("`%s`, slope", t.Law)
		}
		if t.Beyond > 0 {
			text += fmt.Sprintf(", %s times beyond its points", significant(t.Beyond))
		}
		if t.Measured != 0 {
			text += ", where " + quantity(t.Measured, t.Unit) + " was measured"
		}
		if t.Below {
			text += ", below its points"
		}
		out = append(out, text)
	}
	for _, name := range f.Missing {
		out = append(out, "`"+name+"` (missing)")
	}
	if len(out) == 0 && f.Verdict == Collapsed {
		return "none: too few sizes held"
	}
	if len(out) == 0 {
		return "none: constants"
	}
	return strings.Join(out, "; ")
}

// quantity is a value with its unit, in three significant digits.
func quantity(v float64, unit Unit) string {
	switch unit {
	case Bytes, BytesPerSecond:
		return scaled(v, string(unit))
	case Seconds:
		return duration(v)
	case Machines:
		return significant(v)
	case Share:
		return percent(v)
	}
	if v == 1 {
		return "1 core"
	}
	return significant(v) + " " + string(unit)
}

func scaled(v float64, unit string) string {
	prefix := ""
	for _, next := range []string{"k", "M", "G", "T"} {
		if math.Abs(v) < 1000 {
			break
		}
		v, prefix = v/1000, next
	}
	return strings.TrimSpace(significant(v) + " " + prefix + unit)
}

func duration(seconds float64) string {
	for _, unit := range []struct {
		name string
		size float64
	}{{"s", 1}, {"ms", 1e-3}, {"us", 1e-6}} {
		if math.Abs(seconds) >= unit.size {
			return significant(seconds/unit.size) + " " + unit.name
		}
	}
	return significant(seconds/1e-9) + " ns"
}

func percent(share float64) string { return significant(100*share) + " %" }

// significant is a number in three significant digits, without an exponent.
func significant(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits <= 0 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	text := strconv.FormatFloat(v, 'f', digits, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}
