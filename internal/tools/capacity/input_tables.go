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
		percent(s.DirectorCores),
		scaled(s.DirectorBytes, "B"),
		scaled(s.DirectorBytesPerSecond, "B/s"),
	)
	rows := [][]string{
		{"directors, at so many sites", fmt.Sprintf("%d, %d", s.Directors, s.Sites)},
		{"caches", strconv.Itoa(s.Caches)},
		{"regions, zones", fmt.Sprintf("%d, %d", s.Regions, s.Zones)},
		{"requests and bits a second, at the peak", scaled(s.RequestsPerSecond, "") + ", " + scaled(s.BitsPerSecond, "bit/s")},
		{"objects", scaled(s.Objects, "")},
		{"purges a second, each done everywhere within", fmt.Sprintf("%s, %s", significant(s.PurgesPerSecond), s.PurgeWithin)},
		{"configuration changes a day, each in force within", fmt.Sprintf("%s, %s", significant(s.ChangesPerDay), s.ChangeWithin)},
		{
			"machines that fail a day; that are restarted or replaced",
			significant(s.FailuresPerDay) + "; " + significant(s.RestartsPerDay),
		},
		{"regions lose each other for", s.PartitionDuration.String()},
		{"a director spends on control at most", directorBudget},
		{"machines for control", strconv.Itoa(s.ControlMachines)},
	}
	return markdownTable([]string{"what", "the operators' size"}, rows)
}

// runTable lists the rows of scale runs as they were measured.
func runTable(measured []Row) string {
	var rows [][]string
	for _, r := range measured {
		rows = append(rows, []string{
			strconv.Itoa(r.Relays),
			strconv.Itoa(r.ColdCaches),
			strconv.Itoa(r.Directors),
			strconv.Itoa(r.JoinsPerSecond) + "/s",
			r.leaderText(),
			quantity(r.ReplicaCores, Cores),
			r.relayText(),
			usageText(r.DirectorCores, r.DirectorMemory),
			significant(r.DirectorCalls) + "/s, " + quantity(r.DirectorBytes, BytesPerSecond),
			quantity(r.PurgeP99, Seconds),
			quantity(r.PurgeLastP99, Seconds),
			quantity(r.PurgeLongest, Seconds),
			r.outcomeText(),
			significant(r.Load),
			"`" + r.File + "`",
		})
	}
	return markdownTable([]string{
		"relays", "cold caches", "directors", "joining", "leader", "a replica that follows", "a relay", "a director", "its watch",
		"purge, p99", "purge at the last director, p99", "the longest seen", "held", "load", "run",
	}, rows)
}

func usageText(cores, memory float64) string {
	return quantity(cores, Cores) + ", " + quantity(memory, Bytes)
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

// outcomeText tells whether the control plane bore the size, and which fault the run injected.
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
		text += ", after which all watched again in " + quantity(r.Recovery, Seconds)
	}
	return text
}

// lawTable lists laws with their points, and after them the commands that gave these, by the numbers in the table.
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
			quantity(law.Constant, law.Unit) + " + " + quantity(law.Slope, law.Unit) + " per " + law.XUnit,
			law.pointsText(),
			quantity(law.Residual, law.Unit) + " (" + percent(law.ResidualShare()) + ")",
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
		points = append(points, fmt.Sprintf("%s: %s", significant(p.X), quantity(p.Y, l.Unit)))
	}
	return strings.Join(points, "; ")
}
