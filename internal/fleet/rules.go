package fleet

import "fmt"

// SlowStart describes the warm-up of a host that has just started with an empty cache.
type SlowStart struct {
	InitialShare   float64 `json:"start"`   // part of the capacity that a host has when it starts
	WarmUpMS       int64   `json:"warm_ms"` // time until the host has its full capacity
	OverloadFactor float64 `json:"fall"`    // load, as a multiple of the present capacity, at which the host fails
}

// MaxLoadAtStart returns the highest load that a host with the capacity share can handle immediately after it has started.
func (c SlowStart) MaxLoadAtStart(share float64) float64 {
	return c.OverloadFactor * c.InitialShare * share
}

// Rules are the parameters of the constraints and of the execution of plans.
type Rules struct {
	Cache            SlowStart `json:"cache"`
	Parent           SlowStart `json:"hub"`
	MissShare        float64   `json:"miss"`            // part of a warm cache's requests that are filled from a source
	MaxWarmingShare  float64   `json:"cold_most"`       // part of a location's capacity that may warm up at once; always allows one host
	MaxParallelSteps int       `json:"width"`           // steps in progress at once
	OnFault          string    `json:"on_trouble"`      // Pause or Revert
	DrainSettleMS    int64     `json:"drain_settle_ms"` // time from the acknowledgement of a drain until the last requests are answered
	NotifiedWithinMS int64     `json:"told_within_ms"`  // time after which an event counts as acknowledged even if it did not arrive
	StepTimeoutMS    int64     `json:"give_up_ms"`      // time after which a step that is not completed is a fault
}

// Values of Rules.OnFault: what an apply does after a fault.
const (
	Pause  = "pause"
	Revert = "revert"
)

// DefaultRules returns the rules of the operators' first deployment: how caches and parent caches warm up, and how long a drain, a
// notification and a step may take.
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

// SlowStart returns the warm-up of hosts of a role.
func (r Rules) SlowStart(role Role) SlowStart {
	if role == Parent {
		return r.Parent
	}
	return r.Cache
}

// FillLoad returns the load from fills that a location puts on its sources, in units of share: the misses of its warm caches, and all
// requests to its warming caches. warm and warming are the serving shares of these caches.
func (r Rules) FillLoad(load, warm, warming float64) float64 {
	if warm+warming <= 0 {
		return 0
	}
	return load * (r.MissShare + (1-r.MissShare)*warming/(warm+warming))
}

// brief returns the text of the rules in plan files and messages. The text is stored, so it must not change with the names of the fields.
func (r Rules) brief() string {
	return fmt.Sprintf("{Cache:%s Hub:%s Miss:%v ColdMost:%v Width:%d OnTrouble:%s DrainSettleMS:%d ToldWithinMS:%d GiveUpMS:%d}",
		r.Cache.brief(), r.Parent.brief(), r.MissShare, r.MaxWarmingShare, r.MaxParallelSteps, r.OnFault,
		r.DrainSettleMS, r.NotifiedWithinMS, r.StepTimeoutMS)
}

func (c SlowStart) brief() string {
	return fmt.Sprintf("{Start:%v WarmMS:%d Fall:%v}", c.InitialShare, c.WarmUpMS, c.OverloadFactor)
}
