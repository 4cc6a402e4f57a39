package fleet

import "testing"

// Plan files contain the text of the rules, and a plan is identified by the checksum of its file: the text must not change when a field is
// renamed.
func TestRulesBriefIsStable(t *testing.T) {
	want := "{Cache:{Start:0.17 WarmMS:16000 Fall:4} Hub:{Start:0.061 WarmMS:20000 Fall:2} Miss:0.25 ColdMost:0.25 Width:8 " +
		"OnTrouble:pause DrainSettleMS:6500 ToldWithinMS:7000 GiveUpMS:120000}"
	if got := (ObservedState{}).ReadRules().Brief; got != want {
		t.Errorf("%s\nnot\n%s", got, want)
	}
}
