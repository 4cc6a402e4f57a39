package replica

import (
	"fmt"
	"slices"
)

// ConfiguredReplica is a replica as the operator's file lists it.
type ConfiguredReplica struct {
	Name      string
	Machine   string
	Site      string
	IsStandby bool // it is a standby, which replaces a replica that is lost
}

// ValidateConfigured returns what is wrong with a list of places; nil if nothing. The group must
// survive the loss of any one machine, and of any one site if there are three or more, without
// losing the majority.
func ValidateConfigured(places []ConfiguredReplica) (faults []string) {
	listed := map[string]bool{}
	nameByMachine := map[string]string{}
	replicasBySite := map[string]int{}
	replicas := 0
	for _, p := range places {
		if listed[p.Name] {
			faults = append(faults, fmt.Sprintf("copy %s is listed twice", p.Name))
		}
		listed[p.Name] = true
		if other := nameByMachine[p.Machine]; other != "" {
			faults = append(faults, fmt.Sprintf("copies %s and %s are both on machine %s, which one fault takes away",
				other, p.Name, p.Machine))
		}
		nameByMachine[p.Machine] = p.Name
		if !p.IsStandby {
			replicas++
			replicasBySite[p.Site]++
		}
	}
	if replicas != 1 && replicas != 3 && replicas != 5 && replicas != 7 {
		faults = append(faults, fmt.Sprintf("%d copies besides spares; 1, 3, 5 or 7 are wanted", replicas))
	}
	for site, n := range replicasBySite {
		if len(replicasBySite) >= 3 && 2*n > replicas {
			faults = append(faults, fmt.Sprintf("%d of %d copies are in site %s, which takes the majority with it", n, replicas, site))
		}
	}
	slices.Sort(faults)
	return faults
}

// ToleratedFailures returns how many replicas a group of so many voters can lose and still have a
// majority.
func ToleratedFailures(voters int) int { return max(0, (voters-1)/2) }
