package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/capacity"
)

func operatorMeasures() []Measure {
	return []Measure{
		{
			Name: "operator.bytes.members", About: "the answer that lists so many directors", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorCounts, At: membersAnswerBytes,
		},
		{
			Name: "operator.bytes.adoption", About: "the answer that says when so many directors applied one event", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorCounts, At: adoptionAnswerBytes,
		},
		{
			Name: "operator.bytes.world", About: "the answer that shows so many caches, declared and observed", XUnit: "cache",
			Unit: capacity.Bytes, Sizes: cacheCounts, At: stateAnswerBytes,
		},
	}
}

func membersAnswerBytes(directors int) (float64, error) {
	out := api.Members{Revision: 12345678}
	for _, d := range directorsOf(directors) {
		out.Directors = append(out.Directors, api.MemberStatus{Director: d, LastHeardMS: 47, AppliedRevision: 12345678, Config: "9c1185a5c5e9fc54", Shards: 1})
	}
	return float64(len(mustJSON(out))), nil
}

func adoptionAnswerBytes(directors int) (float64, error) {
	record := adoption.New(recordedEvents, 0)
	all := directorsOf(directors)
	for _, d := range all {
		record.Heard(d.ID(), 0, time.Hour)
	}
	record.Told(1, time.Hour)
	for i, d := range all {
		record.Heard(d.ID(), 1, time.Hour+time.Duration(i%100)*time.Millisecond)
	}
	event, _, _, is := record.Event(1, time.Hour+time.Second)
	if !is || len(event.Taken) != directors {
		return 0, fmt.Errorf("%d of %d directors have applied it", len(event.Taken), directors)
	}
	return float64(len(mustJSON(event))), nil
}

func stateAnswerBytes(caches int) (float64, error) {
	f, err := fleetOf(caches, 0)
	if err != nil {
		return 0, err
	}
	out := api.State{Fleet: f.Dump(), Observed: map[string]fleet.Observation{}, NowMS: 1_790_000_000_000, Observer: true}
	for m := range f.Hosts() {
		out.Observed[m.Name] = fleet.Observation{Sight: fleet.Up}
	}
	return float64(len(mustJSON(out))), nil
}
