// Package fleettest builds small fleets for the tests of package fleet and its subpackages, and finds violated constraints independently of
// the code under test.
package fleettest

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"stairvane.org/stairvane/internal/fleet"
)

// Rules returns rules for small fleets under which many desired states have a plan and many orders of steps violate a constraint.
func Rules() fleet.Rules {
	r := fleet.DefaultRules()
	r.MaxParallelSteps = 3
	return r
}

var sites = []string{"east", "west"}

// DrawDesiredState draws a small desired state of at most the given number of caches, in two locations that share names, addresses and
// sources.
func DrawDesiredState(t *rapid.T, caches int) fleet.DesiredState {
	d := fleet.DesiredState{Rules: Rules()}
	d.Rules.MaxWarmingShare = rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "cold-most")
	parents := rapid.IntRange(0, 2).Draw(t, "hubs")
	d.Hosts = append(d.Hosts, fleet.HostSpec{
		Name:    "store",
		Role:    fleet.Origin,
		Address: "10.9.0.1:1",
		Site:    "north",
		Class:   "store",
		Share:   20,
	})
	sources := []string{"store"}
	for i := range parents {
		name := fmt.Sprintf("h-%d", i)
		d.Hosts = append(d.Hosts, fleet.HostSpec{
			Name:    name,
			Role:    fleet.Parent,
			Address: fmt.Sprintf("10.8.0.%d:1", i),
			Site:    "north",
			Class:   "hub",
			Share:   float64(rapid.IntRange(4, 12).Draw(t, "hub share")),
		})
		sources = append(sources, name)
	}
	for i := range caches {
		if !rapid.Bool().Draw(t, "is") {
			continue
		}
		cache := drawCache(t, i)
		hasAddress := func(other fleet.HostSpec) bool { return other.Address == cache.Address }
		if !slices.ContainsFunc(d.Hosts, hasAddress) {
			d.Hosts = append(d.Hosts, cache)
		}
	}
	for _, site := range sites {
		if sum, largest := cacheShares(d, site); sum > 0 {
			d.Locations = append(d.Locations, drawLocation(t, site, int(sum-largest), sources))
		}
	}
	d.Normalize()
	return d
}

// drawCache draws a cache. There are few names and even fewer addresses, so that caches are often replaced under the same name or at the
// same address.
func drawCache(t *rapid.T, i int) fleet.HostSpec {
	return fleet.HostSpec{
		Name:    fmt.Sprintf("c-%d", i),
		Role:    fleet.Cache,
		Class:   "std",
		Share:   float64(rapid.IntRange(1, 4).Draw(t, "share")),
		Site:    rapid.SampledFrom(sites).Draw(t, "site"),
		Address: fmt.Sprintf("10.1.0.%d:1", rapid.IntRange(0, 1).Draw(t, "at")*50+i%4),
		Running: rapid.IntRange(0, 7).Draw(t, "running") == 0,
	}
}

// drawLocation draws a location whose floor holds if its largest cache fails.
func drawLocation(t *rapid.T, site string, maxFloor int, sources []string) fleet.Location {
	floor := float64(rapid.IntRange(0, maxFloor).Draw(t, "floor"))
	n := rapid.IntRange(1, len(sources)).Draw(t, "sources")
	return fleet.Location{
		Name:    site,
		Floor:   floor,
		Load:    floor * rapid.SampledFrom([]float64{0.3, 0.6, 1}).Draw(t, "load"),
		Sources: slices.Clone(sources[:n]),
	}
}

// cacheShares returns the sum and the maximum of the shares of a site's caches.
func cacheShares(d fleet.DesiredState, site string) (sum, largest float64) {
	for _, h := range d.Hosts {
		if h.Role == fleet.Cache && h.Site == site {
			sum += h.Share
			largest = max(largest, h.Share)
		}
	}
	return sum, largest
}

// Build returns a fleet in the desired state, with all hosts warm.
func Build(t interface{ Fatal(...any) }, desired fleet.DesiredState) fleet.Fleet {
	var f fleet.Fleet
	put := func(e fleet.Event) {
		e.No = f.Revision + 1
		var err error
		if f, err = f.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	put(fleet.Event{Rules: &desired.Rules})
	for i := range desired.Locations {
		put(fleet.Event{Location: &desired.Locations[i]})
	}
	for _, spec := range desired.Hosts {
		put(fleet.Event{Host: &fleet.Host{HostSpec: spec, State: fleet.InService, Serving: spec.Share}})
	}
	return f
}

// Main runs a package's tests. Random tests draw the same cases in every run, so that the result in CI is reproducible. Longer runs can
// draw other cases by setting the number of cases (-rapid.checks) or the seed (-rapid.seed).
func Main(m *testing.M) {
	flag.Parse()
	checks, seed := flag.Lookup("rapid.checks"), flag.Lookup("rapid.seed")
	if checks.Value.String() == checks.DefValue && seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201") // a number is always a valid seed
		_ = checks.Value.Set("1000")
	}
	os.Exit(m.Run())
}
