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

// directorCmd runs a director with the settings of a program file in addition to the configuration in LB_CONFIG.
type directorCmd struct {
	Config string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm; (director ...) is read."`
}

// Run serves like stairvane without arguments, with the settings of the file in addition to LB_CONFIG.
func (c directorCmd) Run() error {
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	d := settings.Director
	operator := config.OperatorSettings{Cores: d.Cores, ControlPlanes: d.ControlPlanes}
	if d.Machine != "" {
		if d.Cores > 1 {
			return errors.New(c.Config + ": director.machine: a director that registers as a member has one core")
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
			Allows:            allowFunc(d.Claims.Peers),
			MaxClaims:         d.Claims.MaxClaims,
			UnreachablePolicy: d.Claims.UnreachablePolicy,
			PolicyByClass:     d.Claims.PolicyByClass,
		}
	}
	return director.Serve(operator)
}

// allowFunc returns a function that reports whether an address may connect. If peers is nil, only loopback may.
func allowFunc(peers *bart.Lite) func(netip.Addr) bool {
	if peers == nil {
		return netip.Addr.IsLoopback
	}
	return peers.Contains
}

// shortRevisionLength is the number of digits to which a revision is shortened.
const shortRevisionLength = 12

// buildVersion returns the shortened revision from which the program was built, or "unknown" if the build information lacks it.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if revision := buildSetting(info, "vcs.revision"); len(revision) >= shortRevisionLength {
		return revision[:shortRevisionLength]
	}
	return "unknown"
}
