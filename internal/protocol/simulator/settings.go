package simulator

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// SocketSettings are the settings that the decision module does not use.
type SocketSettings struct {
	Streams  int           // maximum number of concurrent attempts per connection
	ConnIdle time.Duration // time after which the other end closes an idle connection
	Reports  []string      // names of the load values that answers carry
	Unused   string        // encoded values of the settings that nothing uses; equal if and only if the values are equal
}

// reportInline is the mode of load reports in which answers carry them.
const reportInline = "inline"

// modeSubscribe is the mode of discovery in which a director must watch for changes.
const modeSubscribe = "subscribe"

// ParseSettings parses settings from words of the form key=value. Times are in milliseconds. The
// error contains the key at fault. Unknown keys are ignored.
func ParseSettings(words []string) (decision.Settings, SocketSettings, error) {
	r, err := newSettingReader(words)
	if err != nil {
		return decision.Settings{}, SocketSettings{}, err
	}
	settings := parseRouterSettings(r)
	settings.Classes = parseClasses(r)
	sockets := parseSocketSettings(r, len(settings.Classes))
	return settings, sockets, r.err
}

func parseRouterSettings(r *settingReader) decision.Settings {
	return decision.Settings{
		Zone:            r.text("Zone"),
		Zones:           r.list("Areas"),
		Directors:       r.integer("Balancers"),
		Kinds:           r.list("Models"),
		ParentKind:      r.integer("FamilyInfo.ParentKind"),
		OriginKind:      r.integer("FamilyInfo.SourceKind"),
		DirectorsByZone: r.integers("FamilyInfo.CountByZone"),
		FlowKBPerS:      r.number("FamilyInfo.OneFlowKbPerS"),
		WeightMode:      decision.WeightMode(r.text("Weights")),
		CacheStatusMode: decision.CacheStatusMode(r.text("FamilyInfo.Tells")),
		JoinsFills:      r.flag("FamilyInfo.Joins"),
		MustWatch:       r.text("MembershipMode") == modeSubscribe,
		NotifiedAfter:   r.time("Rules.AskWithin"),
		Cancel:          r.flag("Limits.Cancel"),
		HedgedRequests:  r.flag("Limits.SecondCopies"),
		MaxAttempts:     r.integer("Limits.MaxAttempts"),
		MaxOpen:         r.integer("Limits.MostHeld"),
		MaxRetryAfter:   r.time("Limits.MaxRetryAfter"),
		DialTimeout:     r.time("Limits.DialTimeout"),
		AnswerGrace:     r.time("Rules.GraceToAnswer"),
		DrainGrace:      r.time("Rules.DrainGrace"),
		PurgeGrace:      r.time("FamilyInfo.NoticeTime"),
		PurgeDone:       r.time("FamilyInfo.PurgeDone"),
		CacheSlowStart: decision.SlowStart{
			InitialShare:   r.number("Rules.ColdFrom"),
			WarmUp:         r.time("Rules.Cold"),
			OverloadFactor: r.number("Rules.TipMultiple"),
			Window:         r.time("Rules.Fall"),
		},
		ParentSlowStart: decision.SlowStart{
			InitialShare:   r.number("FamilyInfo.UpperColdFrom"),
			WarmUp:         r.time("FamilyInfo.ParentWarmsIn"),
			OverloadFactor: r.number("FamilyInfo.ParentBreaksAt"),
			Window:         r.time("Rules.Fall"),
		},
	}
}

const keyClassCount = "Grades.count"

// classKey returns the key of a setting of one class.
func classKey(class int, name string) string { return fmt.Sprintf("Grades.%d.%s", class, name) }

func parseClasses(r *settingReader) []decision.Class {
	count := r.integer(keyClassCount)
	if count < 0 || count > len(r.values) {
		r.fail(keyClassCount, "out of range")
		return nil
	}
	freshFor := r.numbers("FamilyInfo.GoodFor")
	staleFor := r.numbers("FamilyInfo.OlderBy")
	uncacheable := r.flags("FamilyInfo.PassOn")
	classes := make([]decision.Class, count)
	for i := range classes {
		classes[i] = decision.Class{
			Name:             r.text(classKey(i, "Name")),
			LatencyObjective: r.time(classKey(i, "Aim")),
			ObjectiveStretch: r.number(classKey(i, "AimStretch")),
			Deadline:         r.time(classKey(i, "Deadline")),
			Idempotency:      decision.Idempotency(r.text(classKey(i, "Effect"))),
			DedupScope:       decision.DedupScope(r.text(classKey(i, "Group"))),
			DedupWindow:      r.time(classKey(i, "DedupWindow")),
			FreshFor:         fromMillis(valueAt(freshFor, i)),
			StaleFor:         fromMillis(valueAt(staleFor, i)),
			Uncacheable:      valueAt(uncacheable, i),
		}
	}
	return classes
}

func parseSocketSettings(r *settingReader, classes int) SocketSettings {
	s := SocketSettings{
		Streams:  r.integer("Limits.Multiplex"),
		ConnIdle: r.time("Limits.ConnIdle"),
		Unused:   parseUnused(r, classes),
	}
	if r.text("Report.How") == reportInline {
		s.Reports = r.list("Report.Fields")
	}
	return s
}

// parseUnused reads the settings that nothing uses. An invalid value is still an error, and the result
// lets a reload of the configuration detect a changed value.
func parseUnused(r *settingReader, classes int) string {
	unused := fmt.Sprintln(
		r.integer("SlotNo"),
		r.integers("FamilyInfo.HubByZone"),
		r.numbers("FamilyInfo.PipeKbPerS"),
		r.text("FamilyInfo.Siblings"),
		r.flag("FamilyInfo.Direct"),
		r.flag("Limits.Probes"),
		r.flag("Limits.RetryAfter"),
		r.number("Charges.Probe"),
		r.number("Charges.Waste"),
		r.number("FamilyInfo.OriginLimitFactor"),
		r.time("FamilyInfo.RootFall"),
	)
	staleWeights := r.numbers("FamilyInfo.StaleEarns")
	multiPart := r.flags("FamilyInfo.MultiPart")
	for i := range classes {
		unused += fmt.Sprintln(
			r.number(classKey(i, "Worth")),
			r.number(classKey(i, "LateWorth")),
			r.flag(classKey(i, "Stream")),
			valueAt(staleWeights, i),
			valueAt(multiPart, i),
		)
	}
	return unused
}
