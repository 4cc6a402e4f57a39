package fleet

import "testing"

// The text of the rules is in plan files, whose checksum names a plan: it must not change with the name of a field.
func TestRulesBriefIsStable(t *testing.T) {
	want := "{Cache:{Start:0.17 WarmMS:16000 Fall:4} Hub:{Start:0.061 WarmMS:20000 Fall:2} Miss:0.25 ColdMost:0.25 Width:8 " +
		"OnTrouble:pause DrainSettleMS:6500 ToldWithinMS:7000 GiveUpMS:120000}"
	if got := (ObservedState{}).ReadRules().Brief; got != want {
		t.Errorf("%s\nnot\n%s", got, want)
	}
}
