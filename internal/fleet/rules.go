package fleet

import "fmt"

// SlowStart is the rule for hosts of a role that have just started, with an empty cache.
type SlowStart struct {
	InitialShare   float64 `json:"start"`   // part of its capacity that a host has at first
	WarmUpMS       int64   `json:"warm_ms"` // after which it has all of its capacity
	OverloadFactor float64 `json:"fall"`    // times its present capacity at which it fails
}

// MaxLoadAtStart is the load that a host of a capacity bears the moment it has started.
func (c SlowStart) MaxLoadAtStart(share float64) float64 {
	return c.OverloadFactor * c.InitialShare * share
}

// Rules are the figures of the constraints, and how a plan is applied.
type Rules struct {
	Cache            SlowStart `json:"cache"`
	Parent           SlowStart `json:"hub"`
	MissShare        float64   `json:"miss"`            // part of a warm cache's requests that are filled from a source
	MaxWarmingShare  float64   `json:"cold_most"`       // part of a location's capacity that may warm up at once; one host always may
	MaxParallelSteps int       `json:"width"`           // steps under way at once
	OnFault          string    `json:"on_trouble"`      // Pause or Revert
	DrainSettleMS    int64     `json:"drain_settle_ms"` // from the acknowledged drain until the last requests are answered
	NotifiedWithinMS int64     `json:"told_within_ms"`  // after which an event counts as acknowledged whether it arrived or not
	StepTimeoutMS    int64     `json:"give_up_ms"`      // after which a step that is not done is a fault
}

// What an apply does after a fault.
const (
	Pause  = "pause"
	Revert = "revert"
)

// DefaultRules are the figures that the operators gave for their first deployment: how caches and parent caches warm up, and how long
// a drain, a notification and a step may take.
func DefaultRules() Rules {
	return Rules{
		Cache:            SlowStart{InitialShare: 0.17, WarmUpMS: 16_000, OverloadFactor: 4},
		Parent:           SlowStart{InitialShare: 0.061, WarmUpMS: 20_000, OverloadFactor: 2},
		MissShare:        0.25,
		MaxWarmingShare:  0.25,
		MaxParallelSteps: 8,
		OnFault:          Pause,
		DrainSettleMS:    6_500,
		NotifiedWithinMS: 7_000,
		StepTimeoutMS:    120_000,
	}
}

// SlowStart is the rule for a role.
func (r Rules) SlowStart(role Role) SlowStart {
	if role == Parent {
		return r.Parent
	}
	return r.Cache
}

// FillLoad is what a location asks of its sources, in units of share: the misses of its warm caches, and all that those that warm up are
// asked for.
func (r Rules) FillLoad(load, warm, warming float64) float64 {
	if warm+warming <= 0 {
		return 0
	}
	return load * (r.MissShare + (1-r.MissShare)*warming/(warm+warming))
}

// brief is the text of the rules in plan files and messages. It is stored, and so it does not follow the names of the fields.
func (r Rules) brief() string {
	return fmt.Sprintf("{Cache:%s Hub:%s Miss:%v ColdMost:%v Width:%d OnTrouble:%s DrainSettleMS:%d ToldWithinMS:%d GiveUpMS:%d}",
		r.Cache.brief(), r.Parent.brief(), r.MissShare, r.MaxWarmingShare, r.MaxParallelSteps, r.OnFault,
		r.DrainSettleMS, r.NotifiedWithinMS, r.StepTimeoutMS)
}

func (c SlowStart) brief() string {
	return fmt.Sprintf("{Start:%v WarmMS:%d Fall:%v}", c.InitialShare, c.WarmUpMS, c.OverloadFactor)
}
