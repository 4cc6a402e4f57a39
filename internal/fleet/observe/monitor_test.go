package observe

import (
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// scenario drives a monitor of one host and simulates the host.
type scenario struct {
	t       *testing.T
	monitor *Monitor
	nowMS   int64
	tag     string
}

func newScenario(t *testing.T) *scenario {
	s := &scenario{t: t, monitor: New(Settings{PingIntervalMS: 1000, TimeoutMS: 200, Misses: 3})}
	s.monitor.AddHost("c-1", "a:1", false, 0)
	return s
}

func (s *scenario) carryOut(actions []Action) (connect bool) {
	for _, a := range actions {
		if a.Address != "" {
			connect = true
		} else {
			s.tag = a.Tag
		}
	}
	return connect
}

func (s *scenario) connect() {
	s.t.Helper()
	for range 10 {
		if s.carryOut(s.monitor.Tick(s.nowMS)) {
			s.carryOut(s.monitor.Connected("c-1", s.nowMS))
			s.monitor.Pong("c-1", s.tag, s.nowMS+1)
			return
		}
		s.nowMS += 250
	}
	s.t.Fatal("never connected")
}

func (s *scenario) want(reachability fleet.Reachability, restarted bool) {
	s.t.Helper()
	if o := s.monitor.Observation("c-1"); o.Reachability != reachability || (o.RestartedMS > 0) != restarted {
		s.t.Errorf("%+v, want %v, restarted %v", o, reachability, restarted)
	}
}

// A host has restarted if it refused a connection after one was lost and then answers again.
func TestRestartAfterRefusedConnection(t *testing.T) {
	s := newScenario(t)
	s.want(fleet.Unknown, false)
	s.connect()
	s.want(fleet.Up, false)
	s.nowMS = 5000
	s.monitor.Disconnected("c-1", false, s.nowMS)
	s.carryOut(s.monitor.Tick(s.nowMS))
	s.monitor.Disconnected("c-1", true, s.nowMS)
	s.want(fleet.Up, false) // one refusal is fewer than three misses
	s.connect()
	s.want(fleet.Up, true)
}

// A lost connection to a host that keeps running is not a restart.
func TestLostConnectionIsNoRestart(t *testing.T) {
	s := newScenario(t)
	s.connect()
	s.nowMS = 5000
	s.monitor.Disconnected("c-1", false, s.nowMS)
	s.connect()
	s.want(fleet.Up, false)
}

// A host that does not answer is unreachable after the configured number of pings. If it later answers over its old connection, it has not
// restarted; if that connection is lost first, it has.
func TestUnreachableAfterMissedPings(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newScenario(t)
		s.connect()
		for s.nowMS = 2000; s.monitor.Observation("c-1").Reachability == fleet.Up && s.nowMS < 60_000; s.nowMS += 100 {
			s.carryOut(s.monitor.Tick(s.nowMS))
		}
		s.want(fleet.Unreachable, false)
		if s.nowMS > 4000 {
			t.Errorf("found unreachable after %d ms", s.nowMS-2000)
		}
		if lost {
			s.monitor.Disconnected("c-1", false, s.nowMS)
			s.connect()
		} else {
			s.nowMS += 1000
			s.carryOut(s.monitor.Tick(s.nowMS))
			s.monitor.Pong("c-1", s.tag, s.nowMS)
		}
		s.want(fleet.Up, lost)
	}
}

// A host that was put in service again under the same name and address is unknown.
func TestReplacedHostIsUnknown(t *testing.T) {
	s := newScenario(t)
	s.connect()
	s.monitor.AddHost("c-1", "a:1", true, 10)
	s.want(fleet.Unknown, false)
	if s.monitor.Pong("c-1", s.tag, 11) {
		t.Error("the answer over an old connection counts for the new host")
	}
}
