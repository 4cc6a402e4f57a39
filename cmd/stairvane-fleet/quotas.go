package main

import (
	"fmt"
)

// quotasCmd shows the quotas in force.
type quotasCmd struct {
	controlPlaneFlags
	outputFlags
}

// Run shows which director holds what share of each limit, and for how long.
func (c quotasCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	allocations, err := client.Quotas()
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, allocations)
	}
	if len(allocations) == 0 {
		s.println("no quotas are in force")
		return nil
	}
	var rows [][]string
	for _, a := range allocations {
		rows = append(rows, []string{
			a.Limit,
			string(a.Kind),
			a.Holder,
			fmt.Sprintf("%.3f", a.Fraction),
			fmt.Sprintf("%.3f", a.Demand),
			fmt.Sprintf("%d ms", a.Left.Milliseconds()),
		})
	}
	return writeTable(s, rows, "limit", "kind", "director", "part", "wants", "for")
}
