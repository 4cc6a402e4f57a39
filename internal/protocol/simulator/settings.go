package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// pairs reads the path=value settings of an up line. Keys that nobody asks for are skipped.
type pairs struct {
	values map[string]string
	err    error
}

func newPairs(words []string) (*pairs, error) {
	p := &pairs{values: make(map[string]string, len(words))}
	for _, w := range words {
		key, value, found := strings.Cut(w, "=")
		if !found || key == "" {
			return nil, fmt.Errorf("field Options: %q is not path=value", w)
		}
		p.values[key] = value
	}
	return p, nil
}

func (p *pairs) fail(key, problem string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", key, problem)
	}
}

func (p *pairs) text(key string) string { return p.values[key] }

func (p *pairs) list(key string) []string {
	v := p.values[key]
	if v == "" || v == absent {
		return nil
	}
	return strings.Split(v, ",")
}

func (p *pairs) parse(key, v string) float64 {
	if v == "" || v == absent {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || x > 1e15 || x < -1e15 {
		p.fail(key, "not a number")
		return 0
	}
	return x
}

func (p *pairs) number(key string) float64     { return p.parse(key, p.values[key]) }
func (p *pairs) integer(key string) int        { return int(p.number(key)) }
func (p *pairs) time(key string) time.Duration { return fromMillis(min(p.number(key), 1e12)) }

func (p *pairs) numbers(key string) []float64 {
	var out []float64
	for _, v := range p.list(key) {
		out = append(out, p.parse(key, v))
	}
	return out
}

func (p *pairs) integers(key string) []int {
	var out []int
	for _, x := range p.numbers(key) {
		out = append(out, int(x))
	}
	return out
}

func (p *pairs) flags(key string) []bool {
	var out []bool
	for _, v := range p.list(key) {
		out = append(out, p.truth(key, v))
	}
	return out
}

func (p *pairs) flag(key string) bool { return p.truth(key, p.values[key]) }

func (p *pairs) truth(key, v string) bool {
	switch v {
	case "true", "1":
		return true
	case "false", "0", "", absent:
	default:
		p.fail(key, "not true or false")
	}
	return false
}

// at is values[i], or the zero value where the list is shorter.
func at[T any](values []T, i int) T {
	var zero T
	if i < len(values) {
		return values[i]
	}
	return zero
}

// SocketSettings are the settings that the simulator keeps for itself and a director on sockets needs.
type SocketSettings struct {
	Streams  int           // attempts that one connection carries
	ConnIdle time.Duration // after which the other end closes an idle connection
	Reports  []string      // the load values that answers carry
}

// ParseSettings reads path=value words.
func ParseSettings(words []string) (decision.Settings, SocketSettings, error) {
	p, err := newPairs(words)
	if err != nil {
		return decision.Settings{}, SocketSettings{}, err
	}
	s := decision.Settings{
		Zone:            p.text("Zone"),
		Zones:           p.list("Areas"),
		Instance:        p.integer("SlotNo"),
		Directors:       p.integer("Balancers"),
		Kinds:           p.list("Models"),
		ParentKind:      p.integer("FamilyInfo.ParentKind"),
		OriginKind:      p.integer("FamilyInfo.SourceKind"),
		DirectorsByZone: p.integers("FamilyInfo.CountByZone"),
		ParentsByZone:   p.integers("FamilyInfo.HubByZone"),
		LinkKBPerS:      p.numbers("FamilyInfo.PipeKbPerS"),
		FlowKBPerS:      p.number("FamilyInfo.OneFlowKbPerS"),
		WeightMode:      decision.WeightMode(p.text("Weights")),
		CacheStatusMode: decision.CacheStatusMode(p.text("FamilyInfo.Tells")),
		SiblingMode:     decision.SiblingMode(p.text("FamilyInfo.Siblings")),
		JoinsFills:      p.flag("FamilyInfo.Joins"),
		DirectToSource:  p.flag("FamilyInfo.Direct"),
		MustWatch:       p.text("MembershipMode") == "subscribe",
		NotifiedAfter:   p.time("Rules.AskWithin"),
		Cancel:          p.flag("Limits.Cancel"),
		Probes:          p.flag("Limits.Probes"),
		HedgedRequests:  p.flag("Limits.SecondCopies"),
		RetryAfter:      p.flag("Limits.RetryAfter"),
		MaxAttempts:     p.integer("Limits.MaxAttempts"),
		MaxOpen:         p.integer("Limits.MostHeld"),
		MaxRetryAfter:   p.time("Limits.MaxRetryAfter"),
		DialTimeout:     p.time("Limits.DialTimeout"),
		ProbePrice:      p.number("Charges.Probe"),
		WastePrice:      p.number("Charges.Waste"),
		AnswerGrace:     p.time("Rules.GraceToAnswer"),
		DrainGrace:      p.time("Rules.DrainGrace"),
		PurgeGrace:      p.time("FamilyInfo.NoticeTime"),
		PurgeDone:       p.time("FamilyInfo.PurgeDone"),
		CacheSlowStart: decision.SlowStart{
			InitialShare: p.number("Rules.ColdFrom"), WarmUp: p.time("Rules.Cold"),
			OverloadFactor: p.number("Rules.TipMultiple"), Window: p.time("Rules.Fall"),
		},
		ParentSlowStart: decision.SlowStart{
			InitialShare: p.number("FamilyInfo.UpperColdFrom"), WarmUp: p.time("FamilyInfo.ParentWarmsIn"),
			OverloadFactor: p.number("FamilyInfo.ParentBreaksAt"), Window: p.time("Rules.Fall"),
		},
		OriginLimitFactor: p.number("FamilyInfo.OriginLimitFactor"),
		OriginFall:        p.time("FamilyInfo.RootFall"),
	}
	s.Classes = parseClasses(p)
	sockets := SocketSettings{Streams: p.integer("Limits.Multiplex"), ConnIdle: p.time("Limits.ConnIdle")}
	if p.text("Report.How") == "inline" {
		sockets.Reports = p.list("Report.Fields")
	}
	return s, sockets, p.err
}

func parseClasses(p *pairs) []decision.Class {
	n := p.integer("Grades.count")
	if n < 0 || n > len(p.values) {
		p.fail("Grades.count", "out of range")
		return nil
	}
	fresh, extra := p.numbers("FamilyInfo.GoodFor"), p.numbers("FamilyInfo.OlderBy")
	stale, parts := p.numbers("FamilyInfo.StaleEarns"), p.flags("FamilyInfo.MultiPart")
	pass := p.flags("FamilyInfo.PassOn")
	classes := make([]decision.Class, n)
	for i := range classes {
		at1 := func(key string) string { return fmt.Sprintf("Grades.%d.%s", i, key) }
		classes[i] = decision.Class{
			Name:             p.text(at1("Name")),
			LatencyObjective: p.time(at1("Aim")),
			ObjectiveStretch: p.number(at1("AimStretch")),
			Deadline:         p.time(at1("Deadline")),
			PriorityWeight:   p.number(at1("Worth")),
			LateWeight:       p.number(at1("LateWorth")),
			Idempotency:      decision.Idempotency(p.text(at1("Effect"))),
			DedupScope:       decision.DedupScope(p.text(at1("Group"))),
			DedupWindow:      p.time(at1("DedupWindow")),
			Stream:           p.flag(at1("Stream")),
			FreshFor:         fromMillis(at(fresh, i)),
			StaleFor:         fromMillis(at(extra, i)),
			StaleWeight:      at(stale, i),
			Uncacheable:      at(pass, i),
			MultiPart:        at(parts, i),
		}
	}
	return classes
}
