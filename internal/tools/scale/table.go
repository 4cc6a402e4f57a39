package scale

import (
	"fmt"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"
)

const kilobyte = 1000.0

// WriteTable writes rows for people: first one line a size, then one line a size and role.
func WriteTable(out io.Writer, result Result) error {
	if err := writeSizes(out, result.Rows); err != nil {
		return err
	}
	if err := writeRoles(out, result.Rows); err != nil {
		return err
	}
	for _, row := range result.Rows {
		if len(row.Collapsed) > 0 {
			fmt.Fprintf(out, "%d hollow directors collapsed: %s\n", row.Hollow, strings.Join(row.Collapsed, "; "))
		}
		if row.Fault != NoFault {
			fmt.Fprintf(out, "%d hollow directors, %s: all watch again after %.2f s (seen: %v)\n", row.Hollow, row.Fault, row.RecoverySeconds, row.Recovered)
		}
	}
	for _, role := range []string{RoleLeader, RoleReplica, RoleRelay, RoleDirector, RoleHollow} {
		law, is := result.Laws[role]
		if !is {
			continue
		}
		fmt.Fprintf(out, "CPU of %s: %.4f + %.6f a director (residual %.4f, with a square term %.4f): %s\n",
			role, law.Constant, law.Slope, law.Residual, law.QuadraticResidual, law.Shape)
	}
	if result.Stopped != "" {
		fmt.Fprintln(out, result.Stopped)
	}
	return nil
}

func writeSizes(out io.Writer, rows []Row) error {
	t := tablewriter.NewWriter(out)
	t.Header("hollow", "joined", "calls/s each", "B/s up", "B/s down", "purge p50", "p99", "last p50", "last max", "missing", "lost", "ended", "lapsed", "silent", "reconnects", "busy", "load")
	for _, r := range rows {
		err := t.Append(fmt.Sprint(r.Hollow), fmt.Sprintf("%d in %.1f s", r.Joined, r.JoinSeconds), fmt.Sprintf("%.1f", r.DirectorCalls),
			fmt.Sprintf("%.0f", r.DirectorUp), fmt.Sprintf("%.0f", r.DirectorDown), fmt.Sprintf("%.1f ms", r.Delay.P50), fmt.Sprintf("%.1f ms", r.Delay.P99),
			fmt.Sprintf("%.1f ms", r.Last.P50), fmt.Sprintf("%.1f ms", r.Last.Max), fmt.Sprint(r.Missing), fmt.Sprint(r.MembershipLost),
			fmt.Sprint(r.EndedByServer), fmt.Sprint(r.Lapsed), fmt.Sprintf("%.0f ms", r.LongestSilence), fmt.Sprint(r.Reconnects),
			fmt.Sprintf("%.1f of %.1f", r.OwnBusy, r.MachineBusy), fmt.Sprintf("%.1f, %.1f", r.LoadAverage[0], r.LoadAverage[1]))
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
			err := t.Append(fmt.Sprint(r.Hollow), u.Role, fmt.Sprint(u.Processes), fmt.Sprintf("%.3f", u.CPU), fmt.Sprintf("%.0f", u.ResidentMB),
				fmt.Sprintf("%.0f", u.Requests), fmt.Sprintf("%.1f", u.BytesUp/kilobyte), fmt.Sprintf("%.1f", u.BytesDown/kilobyte),
				fmt.Sprintf("%.1f", u.ReadBytes/kilobyte), fmt.Sprintf("%.1f", u.WriteBytes/kilobyte))
			if err != nil {
				return err
			}
		}
	}
	return t.Render()
}
