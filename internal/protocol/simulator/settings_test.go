package simulator

import (
	"strings"
	"testing"
)

// For a setting that nothing uses, a reload must detect a changed value and a start must reject an
// invalid one.
func TestUnusedSettings(t *testing.T) {
	parse := func(words ...string) (string, error) {
		_, sockets, err := ParseSettings(append([]string{"Grades.count=1"}, words...))
		return sockets.Unused, err
	}
	base, err := parse()
	if err != nil {
		t.Fatal(err)
	}
	for key, values := range map[string]struct{ other, bad string }{
		"SlotNo":                       {"3", "x"},
		"FamilyInfo.HubByZone":         {"1,2", "1,x"},
		"FamilyInfo.PipeKbPerS":        {"9000,1", "x"},
		"FamilyInfo.Siblings":          {"any", ""},
		"FamilyInfo.Direct":            {"true", "x"},
		"Limits.Probes":                {"1", "2"},
		"Limits.RetryAfter":            {"true", "x"},
		"Charges.Probe":                {"0.5", "x"},
		"Charges.Waste":                {"0.5", "x"},
		"FamilyInfo.OriginLimitFactor": {"2", "x"},
		"FamilyInfo.RootFall":          {"500", "x"},
		"Grades.0.Worth":               {"2", "x"},
		"Grades.0.LateWorth":           {"0.3", "x"},
		"Grades.0.Stream":              {"true", "x"},
		"FamilyInfo.StaleEarns":        {"0.5", "x"},
		"FamilyInfo.MultiPart":         {"true", "x"},
	} {
		changed, err := parse(key + "=" + values.other)
		if err != nil || changed == base {
			t.Errorf("%s=%s: change not detected, error %v", key, values.other, err)
		}
		if values.bad == "" {
			continue
		}
		if _, err := parse(key + "=" + values.bad); err == nil || !strings.Contains(err.Error(), "setting "+key+": not ") {
			t.Errorf("%s=%s: error %v does not contain the key", key, values.bad, err)
		}
	}
	if again, err := parse("Charges.Probe=0.0", "Limits.Probes=false"); err != nil || again != base {
		t.Errorf("equivalent values differ: %q, %q, %v", base, again, err)
	}
}
