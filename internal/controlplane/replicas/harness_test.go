package replicas_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// waitTimeout limits the wait for an expected event. It is long enough for a busy machine.
const waitTimeout = 30 * time.Second

// fleetBinary is the path of the built stairvane-fleet.
var fleetBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "copies")
	if err != nil {
		panic(err)
	}
	fleetBinary = filepath.Join(folder, "stairvane-fleet")
	build := []string{"build", "-o", folder + "/"}
	if os.Getenv("STAIRVANE_RACE") != "" { // a process that reports a race exits with status 66
		build = append(build, "-race")
	}
	// A director with a settings file is started by stairvane-fleet and runs in stairvane.
	programs := []string{"stairvane.org/stairvane/cmd/stairvane", "stairvane.org/stairvane/cmd/stairvane-fleet"}
	if out, err := exec.Command("go", append(build, programs...)...).CombinedOutput(); err != nil {
		fmt.Printf("%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder) // a leftover in the temporary directory is harmless
	os.Exit(status)
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// envInt returns the integer in an environment variable, or fallback if it is not set to one.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// startGroup starts a cluster of replicas and standbys, and prints their logs if the test fails.
func startGroup(t testing.TB, replicas, standbys int, options ...func(*testharness.Cluster)) *testharness.Cluster {
	t.Helper()
	cluster, err := testharness.NewCluster(fleetBinary, t.TempDir(), replicas, standbys)
	check(t, err)
	for _, option := range options {
		option(cluster)
	}
	if os.Getenv("STAIRVANE_MEASURE") != "" {
		cluster.SnapshotEvery = 10_000
	}
	t.Cleanup(func() {
		cluster.Close()
		if t.Failed() {
			for _, r := range cluster.Replicas {
				if r.Process != nil {
					t.Logf("replica %s:\n%s", r.Name, strings.Join(r.Log(), "\n"))
				}
			}
		}
	})
	check(t, cluster.Bootstrap(waitTimeout))
	return cluster
}

// within returns a time limit adapted to the machine's load. The limit d applies to an idle machine,
// and is enforced as it is if STAIRVANE_TIMES is set. Otherwise, as in CI, where other tests run at
// the same time, four times the limit is allowed, which still detects a fault.
func within(d time.Duration) time.Duration {
	if os.Getenv("STAIRVANE_TIMES") == "" {
		return 4 * d
	}
	return d
}

func startCaches(t *testing.T, n int) (caches []*fakes.Cache) {
	t.Helper()
	for range n {
		cache, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(cache.Close)
		caches = append(caches, cache)
	}
	return caches
}

// awaitServing waits until a director serves requests.
func awaitServing(t *testing.T, d *testharness.Director) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		if tally, err := fakes.Load(d.Addr, 100, 30*time.Millisecond); err == nil && tally.Served > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s serves no requests", d.Name)
		}
	}
}

// desiredStates returns the desired state of a fleet with three caches, and a second one in which the
// second cache is drained and a fourth is added.
func desiredStates(caches []*fakes.Cache) (before, after fleet.DesiredState) {
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS = 0
	rules.Parent.WarmUpMS = 0
	origin := fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: caches[4].Addr(), Site: "hub", Class: "origin", Share: 40}
	withCaches := func(which ...int) fleet.DesiredState {
		desired := fleet.DesiredState{Rules: rules, Hosts: []fleet.HostSpec{origin}}
		for _, i := range which {
			desired.Hosts = append(desired.Hosts, cacheSpec(i, caches[i].Addr(), i < 3))
		}
		desired.Locations = []fleet.Location{{Name: "west", Floor: 4, Load: 4, Sources: []string{"store"}}}
		desired.Normalize()
		return desired
	}
	return withCaches(0, 1, 2), withCaches(0, 2, 3)
}

func cacheSpec(i int, address string, isRunning bool) fleet.HostSpec {
	return fleet.HostSpec{
		Name:    fmt.Sprintf("c-%d", i),
		Role:    fleet.Cache,
		Address: address,
		Site:    "west",
		Class:   "std",
		Share:   4,
		Running: isRunning,
	}
}

// submitPlan computes a plan from the observed state to a desired state, submits it, and returns the
// ID of the apply.
func submitPlan(t *testing.T, cluster *testharness.Cluster, desired fleet.DesiredState) int64 {
	t.Helper()
	c, err := cluster.Client()
	check(t, err)
	for end := time.Now().Add(2 * waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		state, err := c.State()
		if err == nil {
			var observed fleet.ObservedState
			observed, err = state.ObservedState()
			check(t, err)
			p, err := plan.Make(observed, desired, "")
			check(t, err)
			file, err := plan.Encode(p)
			check(t, err)
			submitted, err := c.Submit(file)
			if err == nil {
				return submitted.ID
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the plan was not accepted: %v", err)
		}
	}
}

// awaitApply waits until an apply is done.
func awaitApply(t *testing.T, cluster *testharness.Cluster, id int64) {
	t.Helper()
	c, err := cluster.Client()
	check(t, err)
	var now api.Apply
	for end := time.Now().Add(3 * waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now, err = c.Apply(id); err == nil && now.Status == apply.Done {
			return
		}
	}
	t.Fatalf("apply %d is not done: %+v %v", id, now.Record, err)
}
