package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/capacity"
)

var operatorMeasures = []Measure{
	{
		Name:    "operator.bytes.members",
		About:   "the answer that lists so many directors",
		XUnit:   "director",
		Unit:    capacity.Bytes,
		Sizes:   directorCounts,
		ValueAt: membersAnswerBytes,
	},
	{
		Name:    "operator.bytes.adoption",
		About:   "the answer that says when so many directors applied one event",
		XUnit:   "director",
		Unit:    capacity.Bytes,
		Sizes:   directorCounts,
		ValueAt: adoptionAnswerBytes,
	},
	{
		Name:    "operator.bytes.world",
		About:   "the answer that shows so many caches, declared and observed",
		XUnit:   "cache",
		Unit:    capacity.Bytes,
		Sizes:   cacheCounts,
		ValueAt: stateAnswerBytes,
	},
}

func membersAnswerBytes(directors int) (float64, error) {
	answer := api.Members{Revision: watchedRevision}
	for _, d := range newDirectors(directors) {
		answer.Directors = append(answer.Directors, api.MemberStatus{
			Director:        d,
			LastHeardMS:     47,
			AppliedRevision: watchedRevision,
			Config:          "9c1185a5c5e9fc54",
			Shards:          1,
		})
	}
	return float64(len(mustJSON(answer))), nil
}

func adoptionAnswerBytes(directors int) (float64, error) {
	record := adoption.New(recordedEvents, 0)
	members := newDirectors(directors)
	for _, d := range members {
		record.RecordApplied(d.ID(), 0, time.Hour)
	}
	record.RecordCommitted(1, time.Hour)
	for i, d := range members {
		record.RecordApplied(d.ID(), 1, time.Hour+time.Duration(i%100)*time.Millisecond)
	}
	event, _, _, isRecorded := record.Event(1, time.Hour+time.Second)
	if !isRecorded || len(event.Applied) != directors {
		return 0, fmt.Errorf("the record has %d of %d directors that applied the event", len(event.Applied), directors)
	}
	return float64(len(mustJSON(event))), nil
}

func stateAnswerBytes(caches int) (float64, error) {
	f, err := newFleet(caches, 0)
	if err != nil {
		return 0, err
	}
	answer := api.State{
		Fleet:    f.Dump(),
		Observed: map[string]fleet.Observation{},
		NowMS:    purgeTimeMS,
		Observer: true,
	}
	for host := range f.Hosts() {
		answer.Observed[host.Name] = fleet.Observation{Reachability: fleet.Up}
	}
	return float64(len(mustJSON(answer))), nil
}
