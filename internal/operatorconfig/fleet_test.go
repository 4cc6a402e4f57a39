package operatorconfig

import (
	"io/fs"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// files returns a ReadFile that reads the given texts by name instead of the disk.
func files(m map[string]string) ReadFile {
	return func(name string) ([]byte, error) {
		if s, ok := m[name]; ok {
			return []byte(s), nil
		}
		return nil, fs.ErrNotExist
	}
}

const templates = `(template small (class small-box) (share 4))
(template big (like small) (share 8) (block 2))
(pool west-boxes 10.1.0.0/24 fd00:1::/64)
`

const fleetText = `(include "kinds.scm")
(rules (width 4) (cold (warm 2s)) (on-trouble revert))
(origin store (at 10.9.0.1:9090) (site north) (class store) (share 40))
(hub h-1 (at 10.8.0.1:9090) (site north) (class hub) (share 20))
(location west
  (pool west-boxes) (floor 8) (sources h-1 store)
  (cache c-1 (like small) (at 10.1.0.1:9090)) ; first
  (cache c-2 (like small) (at 10.1.0.2:9090))
  (cache c-3 (like big) (at [fd00:1::3]:9090)))
`

// Guards the reading of included files and the inheritance of hosts from templates.
func TestReadFleet(t *testing.T) {
	d, errors := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": fleetText, "d/kinds.scm": templates}))
	if len(errors) > 0 {
		t.Fatal(errors)
	}
	if len(d.Hosts) != 5 || d.Hosts[2].Share != 8 || d.Hosts[2].Class != "small-box" || d.Hosts[2].Block != 2 ||
		d.Hosts[2].Site != "west" || d.Hosts[3].Role != fleet.Parent {
		t.Errorf("%+v", d.Hosts)
	}
	if d.Locations[0].Load != 8 || d.Rules.MaxParallelSteps != 4 || d.Rules.Cache.WarmUpMS != 2000 ||
		d.Rules.Cache.OverloadFactor != 4 || d.Rules.OnFault != fleet.Revert {
		t.Errorf("%+v, %+v", d.Locations, d.Rules)
	}
}

// Guards against errors that an operator can't locate: each names file, line, column and key, all are reported at once, and the most
// similar known word is suggested.
func TestErrorsNameTheirPosition(t *testing.T) {
	text := strings.NewReplacer("(floor 8)", "(flor 8)", "(like big)", "(like bigg)", "10.1.0.2:9090", "10.2.0.2:9090",
		"(share 20)", "(share -1)", "(width 4)", "(width x)").Replace(fleetText)
	_, errors := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": text, "d/kinds.scm": templates + "(pool"}))
	got := errors.Error()
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

// Guards against reading an invalid desired state without an error at its declaration, such as a floor that the failure of one host
// violates.
func TestInvalidDesiredState(t *testing.T) {
	const floorError = "location west.floor: floor 8.5 can't be kept: if c-3 fails, 8 of 16 remains"
	for change, want := range map[[2]string]string{
		{"(floor 8)", "(floor 8.5)"}:                              floorError,
		{"(sources h-1 store)", "(sources c-1)"}:                  "source c-1 is a cache",
		{"(sources h-1 store)", "(sources)"}:                      "no source",
		{"cache c-2", "cache c-1"}:                                "declared twice",
		{"10.1.0.2:9090", "10.1.0.1:9090"}:                        "address 10.1.0.1:9090 is that of c-1",
		{`(include "kinds.scm")`, `(include "fleet.scm")`}:        "included twice",
		{`(include "kinds.scm")`, `(include "k.scm")`}:            "can't be read",
		{`(like small) (at 10.1.0.1:9090)`, `(at 10.1.0.1:9090)`}: "missing, and no template specifies it",
		{`(rules (width 4)`, `(rules (width 4) (width 5)`}:        "given twice",
	} {
		text := strings.Replace(fleetText, change[0], change[1], 1)
		_, errors := ReadFleet("d/fleet.scm", files(map[string]string{"d/fleet.scm": text, "d/kinds.scm": templates}))
		if !strings.Contains(errors.Error(), want) {
			t.Errorf("%v: %v", change, errors)
		}
	}
}

// Checks that a file without errors has a valid desired state.
func FuzzFleet(f *testing.F) {
	f.Add(templates + fleetText)
	f.Add("(template a (like b)) (template b (like a)) (location x (cache y (like a) (at 1.1.1.1:1)))")
	f.Fuzz(func(t *testing.T, text string) {
		desired, errors := ReadFleet("fleet.scm", files(map[string]string{"fleet.scm": text}))
		if len(errors) == 0 && len(desired.Validate()) > 0 {
			t.Errorf("validation errors are not reported: %v", desired.Validate())
		}
	})
}
