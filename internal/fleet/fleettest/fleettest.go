// Package fleettest makes small fleets for the tests of the fleet's packages, and judges worlds the plain way, without
// the code that is tested.
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

// Rules are for small worlds: generous enough that many wishes have a plan, tight enough that many orders break something.
func Rules() fleet.Rules {
	r := fleet.DefaultRules()
	r.MaxParallelSteps = 3
	return r
}

// DrawDesiredState draws a small wished fleet: two locations that share names, addresses and sources.
func DrawDesiredState(t *rapid.T, boxes int) fleet.DesiredState {
	w := fleet.DesiredState{Rules: Rules()}
	w.Rules.MaxWarmingShare = rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "cold-most")
	hubs := rapid.IntRange(0, 2).Draw(t, "hubs")
	w.Hosts = append(w.Hosts, fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "10.9.0.1:1", Site: "north", Class: "store", Share: 20})
	sources := []string{"store"}
	for i := range hubs {
		name := fmt.Sprintf("h-%d", i)
		w.Hosts = append(w.Hosts, fleet.HostSpec{
			Name: name, Role: fleet.Parent, Address: fmt.Sprintf("10.8.0.%d:1", i), Site: "north",
			Class: "hub", Share: float64(rapid.IntRange(4, 12).Draw(t, "hub share")),
		})
		sources = append(sources, name)
	}
	sites := []string{"east", "west"}
	for i := range boxes {
		if !rapid.Bool().Draw(t, "is") {
			continue
		}
		// Few names and fewer addresses, so that boxes are replaced under their name and at their address.
		b := fleet.HostSpec{
			Name: fmt.Sprintf("c-%d", i), Role: fleet.Cache, Class: "std", Share: float64(rapid.IntRange(1, 4).Draw(t, "share")),
			Site: rapid.SampledFrom(sites).Draw(t, "site"), Address: fmt.Sprintf("10.1.0.%d:1", rapid.IntRange(0, 1).Draw(t, "at")*50+i%4),
		}
		b.Running = rapid.IntRange(0, 7).Draw(t, "running") == 0
		if !slices.ContainsFunc(w.Hosts, func(o fleet.HostSpec) bool { return o.Address == b.Address }) {
			w.Hosts = append(w.Hosts, b)
		}
	}
	for _, site := range sites {
		sum, most := 0.0, 0.0
		for _, b := range w.Hosts {
			if b.Role == fleet.Cache && b.Site == site {
				sum, most = sum+b.Share, max(most, b.Share)
			}
		}
		if sum == 0 {
			continue
		}
		floor := float64(rapid.IntRange(0, int(sum-most)).Draw(t, "floor"))
		n := rapid.IntRange(1, len(sources)).Draw(t, "sources")
		w.Locations = append(w.Locations, fleet.Location{
			Name: site, Floor: floor,
			Load: floor * rapid.SampledFrom([]float64{0.3, 0.6, 1}).Draw(t, "load"), Sources: slices.Clone(sources[:n]),
		})
	}
	w.Normalize()
	return w
}

// Build makes a fleet that is as wished, warm.
func Build(t interface{ Fatal(...any) }, wish fleet.DesiredState) fleet.Fleet {
	var f fleet.Fleet
	put := func(e fleet.Event) {
		e.No = f.Revision + 1
		var err error
		if f, err = f.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	put(fleet.Event{Rules: &wish.Rules})
	for i := range wish.Locations {
		put(fleet.Event{Location: &wish.Locations[i]})
	}
	for _, b := range wish.Hosts {
		put(fleet.Event{Host: &fleet.Host{HostSpec: b, State: fleet.InService, Serving: b.Share}})
	}
	return f
}

// Broken looks for broken constraints the plain way: for each box, what is left if it dies now.
func Broken(w fleet.ObservedState, death string) (all map[string]float64) {
	all = map[string]float64{}
	serves := func(m *fleet.Host) bool { return w.Serves(m) && m.Name != death }
	for l := range w.Locations() {
		warm, cold, serving, capacity, sources, caches := 0.0, 0.0, 0.0, 0.0, 0.0, 0
		n := 0
		for m := range w.InSite(l.Name) {
			if m.Role != fleet.Cache || !serves(m) {
				continue
			}
			caches++
			serving += m.Serving
			capacity += m.Share
			if w.IsWarmingUp(m) {
				cold += m.Share
				n++
			} else {
				warm += m.Serving
			}
		}
		for _, s := range l.Sources {
			if m := w.Host(s); m != nil && serves(m) {
				sources++
			}
		}
		if warm < l.Floor {
			all["floor "+l.Name] = l.Floor - warm
		}
		if caches+len(l.Sources) > 0 && sources == 0 {
			all["source "+l.Name] = 1
		}
		if l.Load == 0 || warm == 0 && (death != "" || caches == 1) {
			continue
		}
		if most := w.Rules().MaxWarmingShare * capacity; death == "" && n > 1 && cold > most+1e-9 {
			all["cold-most "+l.Name] = cold - most
		}
		for m := range w.InSite(l.Name) {
			if m.Role == fleet.Cache && serves(m) && w.IsWarmingUp(m) {
				if asked, bears := l.Load*m.Serving/serving, w.Rules().Cache.OverloadFactor*w.Rules().Cache.InitialShare*m.Share; asked > bears+1e-9 {
					all["cold "+m.Name] = asked - bears
				}
			}
		}
	}
	return all
}

// Main runs a package's tests. Random ones draw the same cases every time unless more than the usual number is asked
// for (-rapid.checks) or a seed is given (-rapid.seed): CI gives one verdict, long runs look further.
func Main(m *testing.M) {
	flag.Parse()
	if checks, seed := flag.Lookup("rapid.checks"), flag.Lookup("rapid.seed"); checks.Value.String() == checks.DefValue && seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
		_ = checks.Value.Set("1000")
	}
	os.Exit(m.Run())
}
