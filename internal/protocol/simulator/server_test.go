package simulator

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// upLine starts director 3 in the zone west.
const upLine = "up 3 8565319633688438 Areas=hub,west Balancers=1 FamilyInfo.ParentKind=1 FamilyInfo.SourceKind=2 " +
	"FamilyInfo.Joins=true FamilyInfo.OneFlowKbPerS=1000.0 FamilyInfo.Tells=all FamilyInfo.GoodFor=0.0 " +
	"Grades.count=1 Grades.0.Name=clip Grades.0.Aim=400.0 Grades.0.AimStretch=2.0 Grades.0.Deadline=4000.0 " +
	"Grades.0.Effect=safe Limits.MaxAttempts=6 Limits.MaxRetryAfter=500.0 Models=cache,parent,origin Orgs= " +
	"Zone=west Not.Known=whatever\n"

// listLines define a list of a cache, a parent and an origin, and send it to the director.
const listLines = "define_list 0 3\nitem 51 west cache 0 IN 1 -\nitem 70 hub parent 1 IN 1.5 6100.0\n" +
	"item 90 hub origin 2 IN 1 -\ntopology 3 remembered 41 0\n"

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestEmptyBatchAndEnd(t *testing.T) {
	out, err := serve(t, "clock 8412.25\ngo\n")
	if err != nil || out != "finished\n" {
		t.Errorf("got %q, %v", out, err)
	}
}

func TestBatches(t *testing.T) {
	out, err := serve(t, "clock 10\n"+upLine+listLines+"go\n"+
		"clock 20\nquery 3 t/a 91f03b7c55d20a64 0 100 - 240.0 0 11 clip\ngo\n"+
		"clock 30\nanswer 3 t/a 1 9.4 51 0 2 ok 18.5 cpu_share:0.5,unknown:1\nalarm 3 watch:t/a:0\n"+
		"left 3 t/never\nstatus_back 3 51 ok 3.5 -\npeer 3 1 68\nfirst 3 t/a 0 51 1.5\n"+
		"invalidated 3 - 11 85.0\ninvalidated 3 0000007c55d20a01 11 85.0\ntopology 3 refused 41 -\ngo\n"+
		"clock 30\n"+upLine+"topology 3 remembered 41 0\npower_off 3\nquery 3 t/b 91f03b7c55d20a64 0 100 - 240 0 11 clip\ngo\n")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, "obtain 3 t/a 51 1 0 1 0 70\n") {
		t.Errorf("no attempt with its fields in order in:\n%s", out)
	}
	if got := strings.Count(out, "finished\n"); got != 4 {
		t.Errorf("%d replies, want 4", got)
	}
	if strings.Contains(out, "t/b") {
		t.Error("a director that was powered off still sends actions")
	}
}

func TestListNumberIsReusedWithinBatch(t *testing.T) {
	second := strings.ReplaceAll(listLines, " 51 ", " 52 ")
	out, err := serve(t, "clock 10\n"+upLine+listLines+second+"query 3 t/a 91f03b7c55d20a64 0 100 - 240 0 11 clip\ngo\n")
	if err != nil || !strings.Contains(out, "obtain 3 t/a 52 ") {
		t.Errorf("got %q, %v", out, err)
	}
}

func TestBadInput(t *testing.T) {
	head := "clock 10\n" + upLine
	for name, c := range map[string]struct{ in, want string }{
		"no clock":          {"go\n", "line 1: clock expected"},
		"bad clock":         {"clock x\n", "line 1: clock: field Now: not a number"},
		"unknown message":   {head + "hello 3\n", `line 3: unknown message "hello"`},
		"unknown, no value": {head + "hello\n", `line 3: unknown message "hello"`},
		"missing field":     {head + "left 3\n", "line 3: left: field Xid: missing"},
		"too many":          {head + "left 3 t/a x\n", "line 3: left: too many values: 1 extra"},
		"bad number":        {head + "query 3 t/a 91f03b7c55d20a64 0 ten - 1 0 1 clip\n", "field Kbytes: not a number"},
		"bad object":        {head + "query 3 t/a 91f0 0 1 - 1 0 1 clip\n", "field Key: not 16 hex digits"},
		"bad status":        {head + "answer 3 t/a 1 - 51 0 2 fine 1 -\n", "field Status: unknown"},
		"bad flag":          {head + "answer 3 t/a 2 - 51 0 2 ok 1 -\n", "field Terminal: not 1 or 0"},
		"bad report":        {head + "answer 3 t/a 1 - 51 0 2 ok 1 cpu\n", "field HealthInfo: not name:value"},
		"table range":       {head + "define_list 16 0\n", "field Table: out of range"},
		"no such table":     {head + "topology 3 all 1 4\n", "field Table: no such list"},
		"short list":        {head + "define_list 0 2\nitem 51 west cache 0 IN 1 -\ngo\n", "item line expected"},
		"bad readiness":     {head + "define_list 0 1\nitem 51 west cache 0 UP 1 -\n", "field Readiness: unknown"},
		"bad setting":       {"clock 10\nup 3 1 Grades.count=x\n", "line 2: up: setting Grades.count: not a number"},
		"no pair":           {"clock 10\nup 3 1 Zone\n", "is not path=value"},
		"end in batch":      {head, "input ends inside a batch"},
		"end in line":       {head + "left 3", "input ends inside a line"},
		"end in list":       {head + "define_list 0 1\n", "input ends inside a batch"},
	} {
		_, err := serve(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

// TestCommand builds and runs stairvane-sim in the same way as the deployment file.
func TestCommand(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "stairvane-sim")
	if out, err := exec.Command("go", "build", "-o", bin, "../../../cmd/stairvane-sim").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for in, code := range map[string]int{"clock 1\ngo\n": 0, "clock 1\nhello 3\n": 1} {
		cmd := exec.Command(bin)
		cmd.Stdin = strings.NewReader(in)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		_ = cmd.Run() // the exit code is checked below
		if got := cmd.ProcessState.ExitCode(); got != code {
			t.Errorf("%q: exit code %d, want %d", in, got, code)
		}
		if lines := strings.Count(stderr.String(), "\n"); lines != code {
			t.Errorf("%q: %d lines on standard error, want %d", in, lines, code)
		}
	}
	if _, err := os.Stat("../../../deploy/balancer.toml"); err != nil {
		t.Error(err)
	}
}
