package capacity

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

func sizeTable(s Size) string {
	directorBudget := fmt.Sprintf("%s of a core, %s, %s",
		formatPercent(s.DirectorCores),
		formatWithPrefix(s.DirectorBytes, "B"),
		formatWithPrefix(s.DirectorBytesPerSecond, "B/s"),
	)
	rows := [][]string{
		{"directors, at so many sites", fmt.Sprintf("%d, %d", s.Directors, s.Sites)},
		{"caches", strconv.Itoa(s.Caches)},
		{"regions, zones", fmt.Sprintf("%d, %d", s.Regions, s.Zones)},
		{
			"requests and bits a second, at the peak",
			formatWithPrefix(s.RequestsPerSecond, "") + ", " + formatWithPrefix(s.BitsPerSecond, "bit/s"),
		},
		{"objects", formatWithPrefix(s.Objects, "")},
		{"purges a second, each done everywhere within", fmt.Sprintf("%s, %s", formatSignificant(s.PurgesPerSecond), s.PurgeWithin)},
		{"configuration changes a day, each in force within", fmt.Sprintf("%s, %s", formatSignificant(s.ChangesPerDay), s.ChangeWithin)},
		{
			"machines that fail a day; that are restarted or replaced",
			formatSignificant(s.FailuresPerDay) + "; " + formatSignificant(s.RestartsPerDay),
		},
		{"regions lose each other for", s.PartitionDuration.String()},
		{"a director spends on control at most", directorBudget},
		{"machines for control", strconv.Itoa(s.ControlMachines)},
	}
	return markdownTable([]string{"what", "the operators' size"}, rows)
}

// runTable renders the measured rows of scale runs as a table.
func runTable(measured []Row) string {
	var rows [][]string
	for _, r := range measured {
		rows = append(rows, []string{
			strconv.Itoa(r.Relays),
			strconv.Itoa(r.ColdCaches),
			strconv.Itoa(r.Directors),
			strconv.Itoa(r.JoinsPerSecond) + "/s",
			r.leaderText(),
			formatQuantity(r.ReplicaCores, Cores),
			r.relayText(),
			usageText(r.DirectorCores, r.DirectorMemory),
			formatSignificant(r.DirectorCalls) + "/s, " + formatQuantity(r.DirectorBytes, BytesPerSecond),
			formatQuantity(r.PurgeP99, Seconds),
			formatQuantity(r.PurgeLastP99, Seconds),
			formatQuantity(r.PurgeLongest, Seconds),
			r.outcomeText(),
			formatSignificant(r.Load),
			"`" + r.File + "`",
		})
	}
	return markdownTable([]string{
		"relays", "cold caches", "directors", "joining", "leader", "a replica that follows", "a relay", "a director", "its watch",
		"purge, p99", "purge at the last director, p99", "the longest seen", "held", "load", "run",
	}, rows)
}

func usageText(cores, memory float64) string {
	return formatQuantity(cores, Cores) + ", " + formatQuantity(memory, Bytes)
}

func (r Row) leaderText() string {
	if r.LeaderMemory == 0 {
		return "it ended"
	}
	return usageText(r.LeaderCores, r.LeaderMemory)
}

func (r Row) relayText() string {
	if r.Relays == 0 {
		return "-"
	}
	return usageText(r.RelayCores, r.RelayMemory)
}

// outcomeText describes whether the control plane sustained the size, and the fault that the run injected, if any.
func (r Row) outcomeText() string {
	text := "yes"
	if r.hasCollapsed() {
		text = "**no**: " + strings.Join(r.Collapsed, ", ")
	}
	if r.Fault == "" {
		return text
	}
	text += "; with the fault " + r.Fault
	if r.Recovery > 0 {
		text += ", after which all watched again in " + formatQuantity(r.Recovery, Seconds)
	}
	return text
}

// lawTable renders a table of laws with their points, followed by a numbered list of the commands that measured them. The table
// refers to the commands by number.
func lawTable(laws Laws) string {
	var rows [][]string
	var commands []string
	for _, law := range laws.Sorted() {
		index := slices.Index(commands, law.Source.Command)
		if index < 0 {
			index = len(commands)
			commands = append(commands, law.Source.Command)
		}
		measuredAt := law.Source.At.UTC().Format(time.DateTime)
		rows = append(rows, []string{
			"`" + law.Name + "`",
			law.About,
			formatQuantity(law.Constant, law.Unit) + " + " + formatQuantity(law.Slope, law.Unit) + " per " + law.XUnit,
			law.pointsText(),
			formatQuantity(law.Residual, law.Unit) + " (" + formatPercent(law.ResidualShare()) + ")",
			fmt.Sprintf("%s UTC, command %d, %s", measuredAt, index+1, law.Source.Machine),
		})
	}
	var text strings.Builder
	head := []string{"law", "what", "constant + slope", "points", "largest residual (of the largest value)", "measured"}
	text.WriteString(markdownTable(head, rows))
	text.WriteString("\nCommands:\n\n")
	for i, command := range commands {
		fmt.Fprintf(&text, "%d. `%s`\n", i+1, command)
	}
	return text.String()
}

func (l Law) pointsText() string {
	var points []string
	for _, p := range l.Points {
		points = append(points, fmt.Sprintf("%s: %s", formatSignificant(p.X), formatQuantity(p.Y, l.Unit)))
	}
	return strings.Join(points, "; ")
}
