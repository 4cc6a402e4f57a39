package measure

import (
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// endpointsBody returns the body of the first answer to a director: a list of caches.
func endpointsBody(caches int) []byte {
	return encodeResponse(discovery.Event{
		Revision: 1,
		Endpoints: &discovery.EndpointList{
			Sequence:  1,
			Snapshot:  true,
			Endpoints: wireEndpoints(caches),
		},
	})
}

// purgesBody returns the body of an answer with purges that were issued at the current time.
func purgesBody(purges int) []byte {
	var events []discovery.Event
	now := float64(time.Now().UnixMilli())
	for i := range purges {
		events = append(events, discovery.Event{
			Revision: int64(i + 1),
			Purge:    &discovery.Purge{Object: objectName(i), IssuedMS: now},
		})
	}
	return encodeResponse(events...)
}

// membershipBody returns the body of an answer with a snapshot of the membership, followed by one event for each director that joins.
func membershipBody(directors, joining int) []byte {
	events := []discovery.Event{{
		Revision:   1,
		Endpoints:  &discovery.EndpointList{Sequence: 1, Snapshot: true},
		Membership: &discovery.Membership{Snapshot: true, Joined: wireDirectors(directors)},
	}}
	for i := range joining {
		revision := int64(i + 2)
		joined := []discovery.Director{discovery.Director(newDirector(directors + i))}
		events = append(events, discovery.Event{
			Revision:   revision,
			Endpoints:  &discovery.EndpointList{Sequence: revision},
			Membership: &discovery.Membership{Joined: joined},
		})
	}
	return encodeResponse(events...)
}

func encodeResponse(events ...discovery.Event) []byte {
	return mustJSON(discovery.WatchResponse{LastRevision: events[len(events)-1].Revision, Events: events})
}

// startDirector creates a director that has applied a response but serves no requests.
func startDirector(response discovery.WatchResponse) (*director.Program, error) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	unusedPort := netip.AddrPortFrom(loopback.Addr(), 1)
	return director.New(config.Config{
		Name:          "director-0000",
		Listen:        loopback,
		Discovery:     unusedPort,
		Seed:          1,
		MemoryMB:      192,
		Sockets:       1024,
		InitialEvents: response,
		Settings:      directorSettings(expectedDirectors),
		Membership: &config.Membership{
			Machine:     "machine-0000",
			Site:        "site-000",
			Incarnation: "QHTNMB5WJ6RZ3XKDVC2YFA0000",
			Version:     "v1.18.0",
			Health:      true,
		},
	})
}

// stopDirector shuts a director down. This takes about a second.
func stopDirector(p *director.Program) error {
	p.Post(p.Shutdown)
	return p.Run()
}

// directorHeap returns the heap, in bytes, of a director that has applied a response body. The decoded body is not counted.
func directorHeap(body []byte) (float64, error) {
	var p *director.Program
	var err error
	heap := retainedHeap(func() any {
		var response discovery.WatchResponse
		if response, err = discovery.Decode(body); err != nil {
			return nil
		}
		p, err = startDirector(response)
		clear(response.Events) // otherwise the configuration, which the director retains, would keep the events in memory
		return p
	})
	runtime.KeepAlive(body)
	if err != nil {
		return 0, err
	}
	return heap, stopDirector(p)
}

// membershipChangeTime returns the processor time of one join, in seconds. It is the difference between startups with and without
// directors that join after the snapshot, divided by their number.
func membershipChangeTime(directors int) (float64, error) {
	const joining = 200
	without, err := startupTime(membershipBody(directors, 0))
	if err != nil {
		return 0, err
	}
	with, err := startupTime(membershipBody(directors, joining))
	return (with - without) / joining, err
}

// startupTime returns the processor time, in seconds, in which a director applies a response body at startup.
func startupTime(body []byte) (float64, error) {
	response, err := discovery.Decode(body)
	if err != nil {
		return 0, err
	}
	var started []*director.Program
	var startErr error
	seconds := timeOfSingleOperation(nil, func() {
		p, err := startDirector(response)
		if err != nil {
			startErr = err
			return
		}
		started = append(started, p)
	})
	return seconds, errors.Join(stopDirectors(started), startErr)
}

// stopDirectors shuts directors down concurrently.
func stopDirectors(started []*director.Program) error {
	var group sync.WaitGroup
	errs := make([]error, len(started))
	for i, p := range started {
		group.Go(func() { errs[i] = stopDirector(p) })
	}
	group.Wait()
	return errors.Join(errs...)
}
