package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// directorCmd runs a director with the settings of a program file in addition to the configuration in LB_CONFIG.
type directorCmd struct {
	Config string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm; (director ...) is read."`
}

// Run reads the file and then replaces the process with the director's program, which stands beside this one and is much smaller. It
// returns only if that fails.
func (c directorCmd) Run() error {
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	operator, err := operatorSettings(settings.Director)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Config, err)
	}
	handedOver, err := operator.Environment()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this executable: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), "stairvane")
	err = syscall.Exec(program, []string{"stairvane", "director"}, append(os.Environ(), handedOver))
	return fmt.Errorf("execute %s, which runs the director: %w", program, err)
}

var errCoresOfMember = errors.New("director.machine: a director that registers as a member has one core")

// operatorSettings returns what the director's program needs of the settings in the file.
func operatorSettings(d operatorconfig.Director) (config.OperatorSettings, error) {
	operator := config.OperatorSettings{Cores: d.Cores, ControlPlanes: d.ControlPlanes}
	if d.Machine != "" {
		if d.Cores > 1 {
			return operator, errCoresOfMember
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
			Peers:             networks(d.Claims.Peers),
			MaxClaims:         d.Claims.MaxClaims,
			UnreachablePolicy: d.Claims.UnreachablePolicy,
			PolicyByClass:     d.Claims.PolicyByClass,
		}
	}
	return operator, nil
}

// networks returns the networks of a table, or nil if there is no table.
func networks(table *bart.Lite) []netip.Prefix {
	if table == nil {
		return nil
	}
	return slices.AppendSeq([]netip.Prefix{}, table.All())
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
