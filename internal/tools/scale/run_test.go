package scale_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/scale"
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "scale")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "stairvane-fleet")
	// A director with a settings file is started by stairvane-fleet and runs in stairvane.
	const commands = "stairvane.org/stairvane/cmd/"
	build := exec.Command("go", "build", "-o", folder+"/", commands+"stairvane", commands+"stairvane-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder) // a temporary folder
	os.Exit(status)
}

// TestRun checks that every simulated director gets each purge once and in order, that none is removed from the membership, and that
// all figures are filled in.
func TestRun(t *testing.T) {
	const size = 30
	set := scale.Settings{
		Program:          program,
		Folder:           t.TempDir(),
		Directors:        []int{size},
		Replicas:         3,
		RealDirectors:    1,
		Processes:        2,
		ColdCaches:       2,
		Demand:           1.5,
		Zipf:             1.1,
		PurgesPerSecond:  21,
		ChangesPerSecond: 1,
		StartPerSecond:   100,
		Settle:           time.Second,
		Window:           4 * time.Second,
		Seed:             5,
	}
	t.Logf("seed %d", set.Seed)
	result, err := scale.Run(t.Context(), set, func(scale.Row) {})
	if err != nil {
		t.Fatal(err)
	}
	row := result.Rows[0]
	t.Logf("%+v", row)
	if row.Joined != size+1 {
		t.Errorf("%d directors are members", row.Joined)
	}
	if row.PurgeAccepted.Count == 0 || row.PurgeDelay.Count != size*row.PurgeAccepted.Count ||
		row.PurgesMissing != 0 || row.PurgesRepeated != 0 {
		t.Errorf("%d arrivals of %d purges at %d directors, %d missing, %d repeated",
			row.PurgeDelay.Count, row.PurgeAccepted.Count, size, row.PurgesMissing, row.PurgesRepeated)
	}
	if row.MembershipLost != 0 {
		t.Errorf("removed from the membership: %v", row.LostNames)
	}
	if row.Changes == 0 || row.Grants == 0 || row.DirectorUp == 0 || row.DirectorDown == 0 {
		t.Errorf("%d changes, %g grants/s, %g B/s up, %g B/s down", row.Changes, row.Grants, row.DirectorUp, row.DirectorDown)
	}
	if row.LargestPartSum <= 0 || row.LargestPartSum > 1 {
		t.Errorf("shares of a limit of 1 add up to %g", row.LargestPartSum)
	}
	roles := map[string]int{}
	for _, use := range row.Roles {
		roles[use.Role] = use.Processes
		servesWatches := use.Role == scale.RoleLeader || use.Role == scale.RoleReplica
		if use.ResidentMB <= 0 || use.WriteBytes <= 0 || servesWatches && use.Requests <= 0 {
			t.Errorf("figures are missing: %+v", use)
		}
	}
	want := map[string]int{scale.RoleLeader: 1, scale.RoleReplica: 2, scale.RoleDirector: 1, scale.RoleSimulated: 2, scale.RoleRun: 1}
	if fmt.Sprint(roles) != fmt.Sprint(want) {
		t.Errorf("roles %v", roles)
	}
}

// TestRunReturnsStartErrors checks that a run whose folder can't be created, or whose processes don't start, returns the reason.
func TestRunReturnsStartErrors(t *testing.T) {
	set := scale.Settings{
		Program: program, Folder: t.TempDir(), Directors: []int{1}, Replicas: 1, Processes: 1, StartPerSecond: 1, Window: time.Second,
	}
	if err := os.WriteFile(filepath.Join(set.Folder, "size-1"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if result, err := scale.Run(t.Context(), set, func(scale.Row) {}); err == nil || len(result.Rows) > 0 || result.Stopped == "" {
		t.Errorf("%+v, %v", result, err)
	}
	set.Folder, set.Program = t.TempDir(), "/bin/false"
	if result, err := scale.Run(t.Context(), set, func(scale.Row) {}); err == nil || len(result.Rows) > 0 || result.Stopped == "" {
		t.Errorf("%+v, %v", result, err)
	}
}
