package main

import (
	"crypto/rand"
	"errors"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/operatorconfig"
)

type directorCmd struct {
	Config string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm; (director ...) is read."`
}

// Run serves as stairvane does without arguments, with what the file says beyond LB_CONFIG.
func (c directorCmd) Run() error {
	set, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	d := set.Director
	beyond := config.OperatorSettings{Cores: d.Cores, ControlPlanes: d.ControlPlanes}
	if d.Machine != "" {
		if d.Cores > 1 {
			return errors.New(c.Config + ": director.machine: a director on the roll has one core")
		}
		beyond.Membership = &config.Membership{Machine: d.Machine, Site: d.Site, Incarnation: rand.Text(), Version: buildVersion(), MaxStaleness: d.MaxStaleness, Health: d.Health}
	}
	if k := d.Claims; k.Listen.IsValid() {
		beyond.Claims = &config.Claims{Listen: k.Listen, Allows: allows(k.Peers), MaxClaims: k.MaxClaims, UnreachablePolicy: k.UnreachablePolicy, PolicyByClass: k.PolicyByClass}
	}
	return director.Serve(beyond)
}

func allows(peers *bart.Lite) func(netip.Addr) bool {
	if peers == nil {
		return netip.Addr.IsLoopback
	}
	return peers.Contains
}

// buildVersion is the revision that the program was built from, as far as the build tells.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, set := range info.Settings {
			if set.Key == "vcs.revision" && len(set.Value) >= 12 {
				return set.Value[:12]
			}
		}
	}
	return "unknown"
}
