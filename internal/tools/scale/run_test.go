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
	if out, err := exec.Command("go", "build", "-o", program, "stairvane.org/stairvane/cmd/stairvane-fleet").CombinedOutput(); err != nil {
		fmt.Printf("%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder) // a temporary folder
	os.Exit(status)
}

// All simulated directors get each purge once and in order, none is removed from the membership, and all figures are there.
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
		t.Errorf("%d directors on the membership", row.Joined)
	}
	if row.Accepted.Count == 0 || row.Delay.Count != size*row.Accepted.Count || row.Missing != 0 || row.Repeated != 0 {
		t.Errorf("%d arrivals of %d purges at %d directors, %d missing, %d repeated",
			row.Delay.Count, row.Accepted.Count, size, row.Missing, row.Repeated)
	}
	if row.MembershipLost != 0 {
		t.Errorf("taken off the membership: %v", row.LostNames)
	}
	if row.Changes == 0 || row.Grants == 0 || row.DirectorUp == 0 || row.DirectorDown == 0 {
		t.Errorf("%d changes, %g grants/s, %g B/s up, %g B/s down", row.Changes, row.Grants, row.DirectorUp, row.DirectorDown)
	}
	if row.LargestPartSum <= 0 || row.LargestPartSum > 1 {
		t.Errorf("parts of a limit of 1 add up to %g", row.LargestPartSum)
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

// A run whose processes do not start ends with the reason.
func TestRunEndsWhereAProcessDoesNotStart(t *testing.T) {
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
