package director

import (
	"fmt"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
)

// The timing of connections to caches. A hanging connection is given up after both keepalive times together, sooner than
// most attempts time out.
const (
	keepaliveAfter   = 50 * time.Millisecond
	keepaliveTimeout = 100 * time.Millisecond // far more than a working cache takes
	closeDelay       = 5 * time.Millisecond   // more than a working cache takes to notice a close
	silentTimeout    = time.Second            // longer than most transfers; being wrong costs one more connection
)

// Defaults of the settings.
const (
	defaultStreams     = 32
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 400 * time.Millisecond
	defaultDirectors   = 1
)

// How the descriptors of the process are divided.
const (
	reservedSockets = 32 // for the listener, the loop, the event stream, logs, and what a round has closed
	maxConnsPerHost = 16
	expectedHosts   = 24

	// Clients get the descriptors divided by clientSocketDivisor, and those divided by extraSocketDivisor beside them.
	clientSocketDivisor = 3
	extraSocketDivisor  = 20
)

// Connections to caches are closed after this part of the idle timeout.
const (
	idleNumerator   = 4
	idleDenominator = 5
)

// programLimits are the limits of one program.
type programLimits struct {
	routing     routing.Limits
	directors   int           // that divide common limits
	idleTimeout time.Duration // of connections of clients
	maxClients  int
}

func newProgramLimits(c config.Config) programLimits {
	s := c.Settings
	idleTimeout := orDefault("settings.Limits.ConnIdle", c.Connections.ConnIdle, defaultIdleTimeout)
	clients := c.Sockets/clientSocketDivisor + c.Sockets/extraSocketDivisor
	upstream := c.Sockets - clients - reservedSockets
	limits := programLimits{
		directors:   orDefault("settings.Balancers", s.Directors, defaultDirectors),
		idleTimeout: idleTimeout,
		maxClients:  clients,
		routing: routing.Limits{
			MaxRequests:    s.MaxOpen,
			StreamsPerConn: orDefault("settings.Limits.Multiplex", c.Connections.Streams, defaultStreams),
			ConnsPerHost:   min(maxConnsPerHost, max(1, upstream/expectedHosts)),
			MaxConns:       max(expectedHosts, upstream-clients/lingeringDivisor),
			// Caches close after idleTimeout: a request sent into that close would be lost.
			IdleTimeout:      idleTimeout * idleNumerator / idleDenominator,
			SilentTimeout:    silentTimeout,
			DialTimeout:      orDefault("settings.Limits.DialTimeout", s.DialTimeout, defaultDialTimeout),
			CloseDelay:       closeDelay,
			KeepaliveAfter:   keepaliveAfter,
			KeepaliveTimeout: keepaliveTimeout,
			MaxAttempts:      s.MaxAttempts,
			DrainGrace:       s.DrainGrace,
			PurgeGrace:       s.PurgeGrace,
			PurgeTimeout:     s.PurgeDone,
			HedgedRequests:   s.HedgedRequests,
		},
	}
	for _, class := range s.Classes {
		limits.routing.MaxDeadline = max(limits.routing.MaxDeadline, class.Deadline)
	}
	return limits
}

// orDefault gives the default of a setting that is absent, 0 or less, and logs that.
func orDefault[T int | time.Duration](key string, value, defaultValue T) T {
	if value > 0 {
		return value
	}
	slog.Warn("settings.defaulted", "key", key, "taken", fmt.Sprint(defaultValue))
	return defaultValue
}
