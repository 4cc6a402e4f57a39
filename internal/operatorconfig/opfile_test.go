package operatorconfig

import (
	"fmt"
	"io/fs"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

func files(m map[string]string) ReadFile {
	return func(name string) ([]byte, error) {
		if s, ok := m[name]; ok {
			return []byte(s), nil
		}
		return nil, fs.ErrNotExist
	}
}

const kinds = `(template small (class small-box) (share 4))
(template big (like small) (share 8) (block 2))
(pool west-boxes 10.1.0.0/24 fd00:1::/64)
`

const wished = `(include "kinds.scm")
(rules (width 4) (cold (warm 2s)) (on-trouble revert))
(origin store (at 10.9.0.1:9090) (site north) (class store) (share 40))
(hub h-1 (at 10.8.0.1:9090) (site north) (class hub) (share 20))
(location west
  (pool west-boxes) (floor 8) (sources h-1 store)
  (cache c-1 (like small) (at 10.1.0.1:9090)) ; first
  (cache c-2 (like small) (at 10.1.0.2:9090))
  (cache c-3 (like big) (at [fd00:1::3]:9090)))
`

func TestFleetIsRead(t *testing.T) {
	w, faults := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": wished, "d/kinds.scm": kinds}))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if len(w.Hosts) != 5 || w.Hosts[2].Share != 8 || w.Hosts[2].Class != "small-box" || w.Hosts[2].Block != 2 || w.Hosts[2].Site != "west" ||
		w.Hosts[3].Role != fleet.Parent || w.Locations[0].Load != 8 || w.Rules.MaxParallelSteps != 4 || w.Rules.Cache.WarmUpMS != 2000 ||
		w.Rules.Cache.OverloadFactor != 4 || w.Rules.OnFault != fleet.Revert {
		t.Errorf("%+v", w)
	}
}

// Each fault names file, line, column and key; all are told at once; a near word is proposed.
func TestFaultsArePlacedAndAllTold(t *testing.T) {
	text := strings.NewReplacer("(floor 8)", "(flor 8)", "(like big)", "(like bigg)", "10.1.0.2:9090", "10.2.0.2:9090",
		"(share 20)", "(share -1)", "(width 4)", "(width x)").Replace(wished)
	_, faults := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": text, "d/kinds.scm": kinds + "(pool"}))
	got := faults.Error()
	for _, want := range []string{
		`d/fleet.scm:2:15: rules.width: "x" is not a whole number`,
		`d/fleet.scm:4:61: hub h-1.share: "-1" is not a number`,
		`d/fleet.scm:6:21: location west: unknown word "flor"; did you mean "floor"?`,
		`d/fleet.scm:8:3: location west.cache c-2.at: address 10.2.0.2 is not in pool west-boxes`,
		`d/fleet.scm:9:3: location west.cache c-3.like: unknown template "bigg"; did you mean "big"?`,
		`d/kinds.scm:4:1: this form is not closed`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("missing: %s", want)
		}
	}
	if t.Failed() {
		t.Log(got)
	}
}

// What can't work in itself is told at its place: a floor that the death of one box breaks, sources that are none.
func TestWishThatCannotHold(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"(floor 8)", "(floor 8.5)"}:                              "location west.floor: floor 8.5 can't be kept: with c-3 dying 8 of 16 is left",
		{"(sources h-1 store)", "(sources c-1)"}:                  "source c-1 is a cache",
		{"(sources h-1 store)", "(sources)"}:                      "no source",
		{"cache c-2", "cache c-1"}:                                "box c-1",
		{"10.1.0.2:9090", "10.1.0.1:9090"}:                        "address 10.1.0.1:9090 is that of c-1",
		{`(include "kinds.scm")`, `(include "fleet.scm")`}:        "included twice",
		{`(include "kinds.scm")`, `(include "k.scm")`}:            "can't be read",
		{`(like small) (at 10.1.0.1:9090)`, `(at 10.1.0.1:9090)`}: "missing, and no template gives it",
		{`(rules (width 4)`, `(rules (width 4) (width 5)`}:        "given twice",
	} {
		_, faults := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": strings.Replace(wished, change[0], change[1], 1), "d/kinds.scm": kinds}))
		if want == "box c-1" {
			want = "declared twice"
		}
		if !strings.Contains(faults.Error(), want) {
			t.Errorf("%v: %v", change, faults)
		}
	}
}

func TestProgramIsRead(t *testing.T) {
	read := func(write string) (Program, error) {
		p, faults := ReadProgram("etc/stairvane.scm", files(map[string]string{"etc/stairvane.scm": fmt.Sprintf(
			"(board (listen 127.0.0.1:8500) (store board.db) (followers 10.0.0.0/8 127.0.0.1) (observer (every 1s)) (write %s))", write)}))
		if len(faults) > 0 {
			return p, faults
		}
		return p, nil
	}
	p, err := read("(unix board.sock)")
	if err != nil || p.ControlPlane.Store != "etc/board.db" || p.ControlPlane.Write.Unix != "etc/board.sock" || p.ControlPlane.Observer.Misses != 3 ||
		p.ControlPlane.Relays || !p.ControlPlane.Watchers.Contains(p.ControlPlane.Listen.Addr()) {
		t.Errorf("%v %+v", err, p)
	}
	if _, err = read("(tcp 10.1.1.1:80)"); err == nil || !strings.Contains(err.Error(), "only over TLS") {
		t.Error(err)
	}
	if _, err = read("(tcp 10.1.1.1:80) (tls (certificate a) (key b) (clients c))"); err != nil {
		t.Error(err)
	}
	if p, err = read("(unix board.sock)) (relays"); err != nil || !p.ControlPlane.Relays {
		t.Error(err, "relays are not let in by the form")
	}
	if _, err = read("(tcp 127.0.0.1:80) (unix x)"); err == nil {
		t.Error("both taken")
	}
}

func FuzzFleet(f *testing.F) {
	f.Add(kinds + wished)
	f.Add("(template a (like b)) (template b (like a)) (location x (cache y (like a) (at 1.1.1.1:1)))")
	f.Fuzz(func(t *testing.T, text string) {
		wish, faults := ReadFleet("fleet.scm", files(map[string]string{"fleet.scm": text}))
		if len(faults) == 0 && len(wish.Validate()) > 0 {
			t.Errorf("flaws not told: %v", wish.Validate())
		}
	})
}
