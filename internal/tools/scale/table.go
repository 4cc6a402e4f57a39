package scale

import (
	"fmt"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"
)

const kilobyte = 1000.0

// WriteTable writes a result as text: a table with one line per size, a table with one line per size and role, and remarks.
func WriteTable(out io.Writer, result Result) error {
	if err := writeSizes(out, result.Rows); err != nil {
		return err
	}
	if err := writeRoles(out, result.Rows); err != nil {
		return err
	}
	_, err := io.WriteString(out, remarks(result))
	return err
}

// remarks returns lines about collapses and faults, the laws found, and why the run stopped early.
func remarks(result Result) string {
	var b strings.Builder
	for _, row := range result.Rows {
		if len(row.Collapsed) > 0 {
			fmt.Fprintf(&b, "%d simulated directors collapsed: %s\n", row.Simulated, strings.Join(row.Collapsed, "; "))
		}
		if row.Fault != NoFault {
			fmt.Fprintf(&b, "%d simulated directors, %s: all watch again after %.2f s (recovered: %v)\n",
				row.Simulated, row.Fault, row.RecoverySeconds, row.Recovered)
		}
	}
	for _, role := range []string{RoleLeader, RoleReplica, RoleRelay, RoleDirector, RoleSimulated} {
		law, found := result.Laws[role]
		if !found {
			continue
		}
		fmt.Fprintf(&b, "CPU of %s: %.4f + %.6f a director (residual %.4f, with a square term %.4f): %s\n",
			role, law.Constant, law.Slope, law.Residual, law.QuadraticResidual, law.Shape)
	}
	if result.Stopped != "" {
		fmt.Fprintln(&b, result.Stopped)
	}
	return b.String()
}

func writeSizes(out io.Writer, rows []Row) error {
	t := tablewriter.NewWriter(out)
	t.Header(
		"hollow", "joined", "calls/s each", "B/s up", "B/s down", "purge p50", "p99", "last p50", "last max", "missing", "lost", "ended",
		"lapsed", "silent", "reconnects", "busy", "load",
	)
	for _, r := range rows {
		err := t.Append(
			fmt.Sprint(r.Simulated),
			fmt.Sprintf("%d in %.1f s", r.Joined, r.JoinSeconds),
			fmt.Sprintf("%.1f", r.DirectorRequests),
			fmt.Sprintf("%.0f", r.DirectorUp),
			fmt.Sprintf("%.0f", r.DirectorDown),
			fmt.Sprintf("%.1f ms", r.PurgeDelay.P50),
			fmt.Sprintf("%.1f ms", r.PurgeDelay.P99),
			fmt.Sprintf("%.1f ms", r.PurgeLast.P50),
			fmt.Sprintf("%.1f ms", r.PurgeLast.Max),
			fmt.Sprint(r.PurgesMissing),
			fmt.Sprint(r.MembershipLost),
			fmt.Sprint(r.EndedByServer),
			fmt.Sprint(r.Lapsed),
			fmt.Sprintf("%.0f ms", r.LongestSilence),
			fmt.Sprint(r.Reconnects),
			fmt.Sprintf("%.1f of %.1f", r.OwnBusy, r.MachineBusy),
			fmt.Sprintf("%.1f, %.1f", r.LoadAverage[0], r.LoadAverage[1]),
		)
		if err != nil {
			return err
		}
	}
	return t.Render()
}

func writeRoles(out io.Writer, rows []Row) error {
	t := tablewriter.NewWriter(out)
	t.Header("hollow", "role", "processes", "cpu", "MB", "watch/s", "kB/s up", "kB/s down", "kB/s read", "kB/s written")
	for _, r := range rows {
		for _, u := range r.Roles {
			err := t.Append(
				fmt.Sprint(r.Simulated),
				u.Role,
				fmt.Sprint(u.Processes),
				fmt.Sprintf("%.3f", u.CPU),
				fmt.Sprintf("%.0f", u.ResidentMB),
				fmt.Sprintf("%.0f", u.Requests),
				fmt.Sprintf("%.1f", u.BytesUp/kilobyte),
				fmt.Sprintf("%.1f", u.BytesDown/kilobyte),
				fmt.Sprintf("%.1f", u.ReadBytes/kilobyte),
				fmt.Sprintf("%.1f", u.WriteBytes/kilobyte),
			)
			if err != nil {
				return err
			}
		}
	}
	return t.Render()
}
