package measure

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/acknowledged"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/tools/capacity"
)

var (
	eventLogLengths    = []int{10_000, 20_000, 40_000, 80_000, 160_000}
	directorsPerServer = []int{97, 194, 389, 778, 1556} // directors of one relay or replica
)

const storeWriters = 64

func replicaMeasures() []Measure {
	return []Measure{
		{
			Name: "replica.memory.history", About: "heap of so many events, encoded for answers", XUnit: "event",
			Unit: capacity.Bytes, Sizes: eventLogLengths, At: historyHeap,
		},
		{
			Name: "replica.memory.store", About: "heap of an open store whose fleet keeps so many purges", XUnit: "purge kept",
			Unit: capacity.Bytes, Sizes: []int{2000, 4000, 8000, 16_000, 32_000}, At: storeHeap,
		},
		{
			Name: "replica.time.answer", About: "answering so many watchers after one event, without sockets", XUnit: "watcher",
			Unit: capacity.Seconds, Sizes: directorsPerServer, At: answerTime,
		},
		{
			Name: "replica.time.watch_call", About: "taking in a watch call with quotas of so many cold caches, and writing its answer, without sockets", XUnit: "cold cache",
			Unit: capacity.Seconds, Sizes: coldCacheCounts, At: serverCallTime,
		},
		{
			Name: "replica.time.whole", About: "encoding the first answer to a director: 720 caches, 12,600 purges, 256 slots of claims and so many directors", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: snapshotTime,
		},
		{
			Name: "replica.time.acknowledged", About: "finding the lowest acknowledged revision of so many watchers", XUnit: "watcher",
			Unit: capacity.Seconds, Sizes: directorsPerServer, At: acknowledgedTime,
		},
		{
			Name: "replica.time.lease", About: "writing a lease call with so many directors, each with a renewal of 8 limits", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorsPerServer, At: leaseEncodingTime,
		},
		{
			Name: "replica.bytes.lease", About: "the body of that lease call", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorsPerServer, At: func(size int) (float64, error) { return float64(len(mustJSON(heartbeatsOf(size, 8, 1)))), nil },
		},
		{
			Name: "replica.time.commit", About: "making so many purges of 64 writers durable, by the clock, one store without a group", XUnit: "event",
			Unit: capacity.Seconds, Sizes: []int{500, 1000, 2000, 4000, 8000}, At: commitTime,
		},
	}
}

func historyHeap(events int) (float64, error) {
	var err error
	heap := heapOf(func() any {
		var log *eventlog.Log
		log, err = eventlog.New(1, nil, fleet.Fleet{}, unlimitedEvents)
		for no := int64(1); err == nil && no <= int64(events); no++ {
			err = log.Add([]fleet.Event{purgeEvent(no, 1_790_000_000_000)}, fleet.Fleet{Revision: no})
		}
		return log
	})
	return heap, err
}

// fillStore opens a store and has 64 writers put so many purges into it.
func fillStore(folder string, events int, options store.Options) (*store.Store, time.Duration, error) {
	s, err := store.Open(filepath.Join(folder, "store"), options)
	if err != nil {
		return nil, 0, err
	}
	begin := time.Now()
	faults := make([]error, storeWriters)
	var group sync.WaitGroup
	for writer := range storeWriters {
		group.Go(func() {
			for no := writer; no < events && faults[writer] == nil; no += storeWriters {
				faults[writer] = s.Do(func(t *store.Tx) error {
					_, err := t.Append(fleet.Event{Who: "operator@example", Purge: &fleet.Purge{Object: objectName(no), IssuedMS: t.NowMS}})
					return err
				})
			}
		})
	}
	group.Wait()
	took := time.Since(begin)
	for _, fault := range faults {
		if fault != nil {
			return nil, 0, fault
		}
	}
	return s, took, nil
}

// storeHeap is that of a store that was filled in less than the time for which it keeps a purge.
func storeHeap(events int) (float64, error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	var s *store.Store
	heap := heapOf(func() any {
		s, _, err = fillStore(folder, events, store.Options{KeepEvents: unlimitedEvents, NoSync: true})
		return s
	})
	if err != nil {
		return 0, err
	}
	s.Close()
	return heap, nil
}

func commitTime(events int) (float64, error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(folder)
	s, took, err := fillStore(folder, events, store.Options{})
	if err != nil {
		return 0, err
	}
	s.Close()
	return took.Seconds(), nil
}

// answerTime is what the watch server does for one event: it adds it and answers all that wait.
func answerTime(watchers int) (float64, error) {
	log, err := eventlog.New(1, nil, fleet.Fleet{}, 10_000)
	if err != nil {
		return 0, err
	}
	var fault error
	var out []byte
	took := timeOf(func(n int) {
		no := int64(n + 1)
		if err := log.Add([]fleet.Event{purgeEvent(no, 1_790_000_000_000)}, fleet.Fleet{Revision: no}); err != nil {
			fault = err
			return
		}
		for range watchers {
			parts, size, err := log.Answer(no-1, true)
			if err != nil || size == 0 {
				fault = fmt.Errorf("answer of %d bytes: %w", size, err)
				return
			}
			out = discovery.AppendHead(out[:0], 200, size, false)
			for _, part := range parts {
				out = append(out, part...)
			}
		}
	})
	return took, fault
}

// snapshotTime has the log encode its first answer anew, as it does after each event.
func snapshotTime(directors int) (float64, error) {
	f, err := fleetOf(expectedCaches, directors)
	for no := f.Revision + 1; err == nil && no <= int64(expectedCaches+1+retainedPurges); no++ {
		f, err = f.Apply(purgeEvent(no, 1_790_000_000_000))
	}
	if err != nil {
		return 0, err
	}
	log, err := eventlog.New(f.Revision+1, nil, f, unlimitedEvents)
	if err != nil {
		return 0, err
	}
	size := 0
	took := timeOf(func(int) {
		if err = log.Add(nil, f); err != nil { // what was encoded is forgotten
			return
		}
		_, size, err = log.Answer(0, true)
	})
	if err == nil && size < retainedPurges {
		err = fmt.Errorf("the first answer has %d bytes", size)
	}
	return took, err
}

// serverCallTime is what a replica that follows does for one watch call: it reads it, takes the heartbeat in and writes an answer
// with the grant that the leader has given.
func serverCallTime(cold int) (float64, error) {
	c := newWatchClient(cold)
	call := append([]byte(nil), c.nextRequest()...)
	answer := append([]byte(nil), c.answer()...)
	response, _, _, err := discovery.ParseResponse(answer)
	if err != nil {
		return 0, err
	}
	feed, err := discovery.Decode(response.Body)
	if err != nil {
		return 0, err
	}
	var grant quota.Grant
	if err := json.Unmarshal(feed.QuotaGrant, &grant); err != nil {
		return 0, err
	}
	tracker := membership.New(membershipSettings)
	var fault error
	var out []byte
	took := timeOf(func(n int) {
		parsed, used, _, err := discovery.ParseWatchRequest(call)
		var renewal quota.Renewal
		if err == nil {
			err = json.Unmarshal(parsed.Announcement.QuotaRenewal, &renewal)
		}
		if err != nil || used != len(call) {
			fault = fmt.Errorf("%d of %d bytes used: %w", used, len(call), err)
			return
		}
		director := fleet.Director(parsed.Announcement.Director)
		tracker.RecordHeartbeat(membership.Heartbeat{ID: director.ID(), Director: &director, At: time.Duration(n) * time.Millisecond, Applied: parsed.After})
		body := append(discovery.Opening(parsed.After), "],\"turns\":"...)
		body = append(append(body, mustJSON(grant)...), '}')
		out = append(discovery.AppendHead(out[:0], 200, len(body), false), body...)
	})
	return took, fault
}

func acknowledgedTime(watchers int) (float64, error) {
	tracker := acknowledged.New(7000)
	for i := range watchers {
		tracker.Join(int64(i), netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
		tracker.Ack(int64(i), int64(1000+i))
	}
	lowest := int64(0)
	took := timeOf(func(int) { lowest = tracker.Told(1_000_000, 0) })
	if lowest != 1000 {
		return 0, fmt.Errorf("the lowest acknowledged revision is %d", lowest)
	}
	return took, nil
}

// heartbeatsOf is the body of a lease call: of each director a heartbeat and a renewal of so many limits; one in 40 says again what
// it is, which is done each 2 s.
func heartbeatsOf(directors, cold int, seq uint64) api.Heartbeats {
	var all api.Heartbeats
	limits := limitNames(cold)
	for i := range directors {
		d := directorOf(i)
		beat := api.Heartbeat{ID: d.ID(), AgeMS: int64(i % 50), AppliedRevision: int64(12345678 + seq)}
		if (i+int(seq))%40 == 0 {
			beat.Director, beat.Config = &d, "9c1185a5c5e9fc54"
		}
		all.Directors = append(all.Directors, beat)
		all.QuotaRenewals = append(all.QuotaRenewals, renewalOf(d.ID(), seq, limits))
	}
	return all
}

func leaseEncodingTime(directors int) (float64, error) {
	all := heartbeatsOf(directors, 8, 1)
	return timeOf(func(int) { mustJSON(all) }), nil
}
