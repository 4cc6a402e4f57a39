package replica

import (
	"fmt"
	"slices"
)

// ConfiguredReplica is a replica in the operator's configuration.
type ConfiguredReplica struct {
	Name      string
	Machine   string
	Site      string
	IsStandby bool // a standby replaces a replica that is lost
}

// ValidateConfigured returns the faults of a list of configured replicas; nil if it has none. The
// group must keep its majority after the loss of any one machine and, if there are three or more
// sites, of any one site.
func ValidateConfigured(configured []ConfiguredReplica) (faults []string) {
	listed := map[string]bool{}
	nameByMachine := map[string]string{}
	replicasBySite := map[string]int{}
	replicas := 0
	for _, p := range configured {
		if listed[p.Name] {
			faults = append(faults, fmt.Sprintf("replica %s is listed twice", p.Name))
		}
		listed[p.Name] = true
		if other := nameByMachine[p.Machine]; other != "" {
			faults = append(faults, fmt.Sprintf("replicas %s and %s are both on machine %s and would fail together",
				other, p.Name, p.Machine))
		}
		nameByMachine[p.Machine] = p.Name
		if !p.IsStandby {
			replicas++
			replicasBySite[p.Site]++
		}
	}
	if replicas != 1 && replicas != 3 && replicas != 5 && replicas != 7 {
		faults = append(faults, fmt.Sprintf("%d replicas besides standbys; must be 1, 3, 5 or 7", replicas))
	}
	for site, n := range replicasBySite {
		if len(replicasBySite) >= 3 && 2*n > replicas {
			faults = append(faults, fmt.Sprintf("%d of %d replicas are in site %s, whose loss would cost the majority", n, replicas, site))
		}
	}
	slices.Sort(faults)
	return faults
}

// ToleratedFailures returns how many replicas a group with the given number of voters can lose and
// still have a majority.
func ToleratedFailures(voters int) int { return max(0, (voters-1)/2) }
