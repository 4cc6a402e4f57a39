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

// directorCmd runs a director with what the operator's file says beyond LB_CONFIG.
type directorCmd struct {
	Config string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm; (director ...) is read."`
}

// Run serves as stairvane does without arguments, with what the file says beyond LB_CONFIG.
func (c directorCmd) Run() error {
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	d := settings.Director
	operator := config.OperatorSettings{Cores: d.Cores, ControlPlanes: d.ControlPlanes}
	if d.Machine != "" {
		if d.Cores > 1 {
			return errors.New(c.Config + ": director.machine: a director on the roll has one core")
		}
		operator.Membership = &config.Membership{
			Machine:      d.Machine,
			Site:         d.Site,
			Incarnation:  rand.Text(),
			Version:      buildVersion(),
			MaxStaleness: d.MaxStaleness,
			Health:       d.Health,
		}
	}
	if d.Claims.Listen.IsValid() {
		operator.Claims = &config.Claims{
			Listen:            d.Claims.Listen,
			Allows:            allows(d.Claims.Peers),
			MaxClaims:         d.Claims.MaxClaims,
			UnreachablePolicy: d.Claims.UnreachablePolicy,
			PolicyByClass:     d.Claims.PolicyByClass,
		}
	}
	return director.Serve(operator)
}

// allows tells which addresses may call; without a list only loopback may.
func allows(peers *bart.Lite) func(netip.Addr) bool {
	if peers == nil {
		return netip.Addr.IsLoopback
	}
	return peers.Contains
}

// shortRevision is how many digits of a revision name a build.
const shortRevision = 12

// buildVersion is the revision that the program was built from, as far as the build tells.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if revision := buildSetting(info, "vcs.revision"); len(revision) >= shortRevision {
		return revision[:shortRevision]
	}
	return "unknown"
}
