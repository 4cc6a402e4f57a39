package controlplane

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// testTimeout is the timeout of each wait in a test. It is long enough for slow test runs.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if mode := os.Getenv(childMode); mode != "" {
		os.Exit(runChildProcess(mode))
	}
	os.Exit(m.Run())
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits until a condition holds, and fails the test if it does not within testTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func nonLoopback() netip.AddrPort { return netip.MustParseAddrPort("192.0.2.1:0") }

func prefixes(all ...string) *bart.Lite {
	t := &bart.Lite{}
	for _, p := range all {
		t.Insert(netip.MustParsePrefix(p))
	}
	return t
}

// settingsIn returns the settings of a standalone server that has its store and its socket in a folder.
func settingsIn(folder string) operatorconfig.ControlPlane {
	return operatorconfig.ControlPlane{
		Listen:        loopback(),
		Store:         filepath.Join(folder, "board.db"),
		Write:         operatorconfig.Write{Unix: filepath.Join(folder, "s")},
		SnapshotEvery: 1000,
		KeepEvents:    1000,
		Batch:         64,
		Relays:        true,
	}
}

// start runs a server until the test ends, and returns it with a client.
func start(t testing.TB, set operatorconfig.ControlPlane) (*Server, *api.Client) {
	t.Helper()
	return startServer(t, set), client(t, set, "")
}

// startServer runs a server until the test ends.
func startServer(t testing.TB, set operatorconfig.ControlPlane) *Server {
	t.Helper()
	s, err := New(set, Options{})
	check(t, err)
	run(t, s)
	waitUntil(t, "the server runs", func() bool { return s.started.Load() })
	return s
}

// client returns a client that claims a name and uses the server's Unix socket.
func client(t testing.TB, set operatorconfig.ControlPlane, who string) *api.Client {
	t.Helper()
	c, err := api.NewClient("unix:"+set.Write.Unix, who, api.Credentials{})
	check(t, err)
	return c
}

// process is a server or a relay.
type process interface {
	Run() error
	Stop()
}

// run runs a process until the test ends.
func run(t testing.TB, p process) {
	ended := make(chan error, 1)
	go func() { ended <- p.Run() }()
	t.Cleanup(func() {
		p.Stop()
		check(t, <-ended)
	})
}

// rulesWithoutWaits returns rules under which no step of an apply waits.
func rulesWithoutWaits() fleet.Rules {
	r := fleet.DefaultRules()
	r.Cache.WarmUpMS = 0
	r.Parent.WarmUpMS = 0
	r.DrainSettleMS = 0
	r.NotifiedWithinMS = 0
	return r
}

// desiredState returns a fleet with an origin and the given caches in one location.
func desiredState(rules fleet.Rules, caches ...fleet.HostSpec) fleet.DesiredState {
	origin := fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "127.0.0.1:9", Site: "hub", Class: "origin", Share: 40}
	desired := fleet.DesiredState{Rules: rules, Hosts: []fleet.HostSpec{origin}}
	for _, cache := range caches {
		cache.Role = fleet.Cache
		cache.Site = "west"
		cache.Class = "std"
		cache.Share = 4
		desired.Hosts = append(desired.Hosts, cache)
	}
	desired.Locations = []fleet.Location{{Name: "west", Floor: 4, Load: 4, Sources: []string{"store"}}}
	desired.Normalize()
	return desired
}

// cacheSpec returns a cache with an address at which no process listens.
func cacheSpec(n int, running bool) fleet.HostSpec {
	return fleet.HostSpec{Name: fmt.Sprintf("c-%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 10+n), Running: running}
}

// planTo returns the plan file that leads from the current state to a desired state.
func planTo(t testing.TB, c *api.Client, desired fleet.DesiredState) []byte {
	t.Helper()
	file, err := makePlan(c, desired)
	check(t, err)
	return file
}

// makePlan is planTo for a process that doesn't run a test.
func makePlan(c *api.Client, desired fleet.DesiredState) ([]byte, error) {
	known, err := c.State()
	if err != nil {
		return nil, err
	}
	state, err := known.ObservedState()
	if err != nil {
		return nil, err
	}
	p, err := plan.Make(state, desired, "")
	if err != nil {
		return nil, err
	}
	return plan.Encode(p)
}

// applyPlan submits a plan and waits until its apply is no longer running.
func applyPlan(t testing.TB, c *api.Client, file []byte) api.Apply {
	t.Helper()
	a, err := c.Submit(file)
	check(t, err)
	var now api.Apply
	waitUntil(t, "the apply stops", func() bool {
		now, err = c.Apply(a.ID)
		check(t, err)
		return now.Status != apply.Running
	})
	return now
}

// notDone returns an error unless an apply has the status Done.
func notDone(a api.Apply) error {
	if a.Status != apply.Done {
		return fmt.Errorf("apply %d is %s: %s", a.ID, a.Status, a.Reason)
	}
	return nil
}

// storePurge appends a purge of the object with number n.
func storePurge(s *store.Store, n int64) error {
	return s.Do(func(t *store.Tx) error {
		_, err := t.Append(fleet.Event{Who: "bench", Purge: &fleet.Purge{Object: fmt.Sprintf("%016x", n), IssuedMS: t.NowMS}})
		return err
	})
}
