package measure

import (
	"errors"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/transport"
)

var errNoConnections = errors.New("measure: connections to caches are disabled")

// refusingDialer fails all connections, since measurements do not connect to caches.
type refusingDialer struct{}

func (refusingDialer) Dial(string, time.Duration, routing.ConnHandler) (routing.Conn, error) {
	return nil, errNoConnections
}

// hostChangeTime returns the processor time, in seconds, in which the routing package applies a change to one cache.
func hostChangeTime(caches int) (float64, error) {
	loop, err := transport.NewLoop()
	if err != nil {
		return 0, err
	}
	defer loop.Release()
	limits := routing.Limits{
		StreamsPerConn: 32,
		ConnsPerHost:   4,
		MaxAttempts:    6,
		MaxDeadline:    6 * time.Second,
		PurgeTimeout:   5300 * time.Millisecond,
	}
	director := routing.New(loop, directorSettings(expectedDirectors), 1, limits, refusingDialer{})
	director.Start()
	endpoints := routingEndpoints(caches)
	director.UpdateEndpoints(1, true, endpoints)
	return timePerOperation(func(n int) {
		changed := endpoints[n%caches]
		changed.Weight = 1 - 0.5*float64(n%2)
		director.UpdateEndpoints(int64(n+2), false, []routing.Endpoint{changed})
	}), nil
}

func routingEndpoints(caches int) []routing.Endpoint {
	var endpoints []routing.Endpoint
	for _, cache := range wireEndpoints(caches) {
		endpoint := routing.Endpoint{Name: cache.Name, Address: cache.Address}
		endpoint.Zone = cache.Site
		endpoint.Kind = cache.Class
		endpoint.Cell = cache.Cell
		endpoint.Readiness = "IN"
		endpoint.Weight = 1
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
