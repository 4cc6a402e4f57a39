package director

import (
	"fmt"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
)

// Timing of connections to caches. A hanging connection is closed after the sum of both keepalive times, before most of its
// attempts time out.
const (
	keepaliveAfter   = 50 * time.Millisecond
	keepaliveTimeout = 100 * time.Millisecond // far more than a working cache needs to answer a ping
	closeDelay       = 5 * time.Millisecond   // more than a working cache needs to notice a close
	silentTimeout    = time.Second            // longer than most transfers; a false positive costs one extra connection
)

// Defaults of the settings.
const (
	defaultStreams     = 32
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 400 * time.Millisecond
	defaultDirectors   = 1
)

// Division of the descriptors of the process.
const (
	reservedSockets = 32 // for the listener, the loop, the event stream, logs, and sockets closed in the current round
	maxConnsPerHost = 16
	expectedHosts   = 24

	// Clients may use the number of descriptors divided by clientSocketDivisor plus that number divided by extraSocketDivisor.
	clientSocketDivisor = 3
	extraSocketDivisor  = 20
)

// Connections to caches are closed after this fraction of the idle timeout.
const (
	idleNumerator   = 4
	idleDenominator = 5
)

// programLimits are the limits of one Program.
type programLimits struct {
	routing     routing.Limits
	directors   int           // number of directors that share common limits
	idleTimeout time.Duration // of clients' connections
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
			// Caches close idle connections after idleTimeout: a request that crosses that close would be lost.
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

// orDefault returns the value of a setting. If it is absent, 0 or less, orDefault logs that and returns the default.
func orDefault[T int | time.Duration](key string, value, defaultValue T) T {
	if value > 0 {
		return value
	}
	slog.Warn("settings.defaulted", "key", key, "taken", fmt.Sprint(defaultValue))
	return defaultValue
}
