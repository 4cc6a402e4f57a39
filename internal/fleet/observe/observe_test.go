package observe

import (
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// script drives a watcher of one box; a function stands for what the box does.
type script struct {
	t   *testing.T
	w   *Watcher
	now int64
	tag string
}

func newScript(t *testing.T) *script {
	s := &script{t: t, w: New(Settings{EveryMS: 1000, TimeoutMS: 200, Misses: 3})}
	s.w.Declare("c-1", "a:1", false, 0)
	return s
}

func (s *script) take(do []Action) (dial bool) {
	for _, a := range do {
		if a.Address != "" {
			dial = true
		} else {
			s.tag = a.Tag
		}
	}
	return dial
}

func (s *script) up() {
	s.t.Helper()
	for range 10 {
		if s.take(s.w.Tick(s.now)) {
			s.take(s.w.Connected("c-1", s.now))
			s.w.Pong("c-1", s.tag, s.now+1)
			return
		}
		s.now += 250
	}
	s.t.Fatal("never dialled")
}

func (s *script) want(sight fleet.Sight, restarted bool) {
	s.t.Helper()
	if o := s.w.Look("c-1"); o.Sight != sight || (o.RestartedMS > 0) != restarted {
		s.t.Errorf("%+v, want %v, restarted %v", o, sight, restarted)
	}
}

// A process that died refuses connections; when it answers again it is a new one, and cold.
func TestRestartIsSeen(t *testing.T) {
	s := newScript(t)
	s.want(fleet.Unknown, false)
	s.up()
	s.want(fleet.Up, false)
	s.now = 5000
	s.w.Lost("c-1", false, s.now)
	s.take(s.w.Tick(s.now))
	s.w.Lost("c-1", true, s.now)
	s.want(fleet.Up, false) // one refusal is no three
	s.up()
	s.want(fleet.Up, true)
}

// A connection that was cut while the box goes on is no restart.
func TestCutConnectionIsNoRestart(t *testing.T) {
	s := newScript(t)
	s.up()
	s.now = 5000
	s.w.Lost("c-1", false, s.now)
	s.up()
	s.want(fleet.Up, false)
}

// A silent box is not reachable after some pings; if it answers on its old connection it was there all the time, if that
// is gone it may have restarted.
func TestSilence(t *testing.T) {
	for _, gone := range []bool{false, true} {
		s := newScript(t)
		s.up()
		for s.now = 2000; s.w.Look("c-1").Sight == fleet.Up && s.now < 60_000; s.now += 100 {
			s.take(s.w.Tick(s.now))
		}
		s.want(fleet.Unreachable, false)
		if s.now > 4000 {
			t.Errorf("seen after %d ms", s.now-2000)
		}
		if gone {
			s.w.Lost("c-1", false, s.now)
			s.up()
		} else {
			s.now += 1000
			s.take(s.w.Tick(s.now))
			s.w.Pong("c-1", s.tag, s.now)
		}
		s.want(fleet.Up, gone)
	}
}

// A box put in service anew under the same name and address is not known.
func TestAnewIsUnknown(t *testing.T) {
	s := newScript(t)
	s.up()
	s.w.Declare("c-1", "a:1", true, 10)
	s.want(fleet.Unknown, false)
	if s.w.Pong("c-1", s.tag, 11) {
		t.Error("an old connection's answer counts for the new box")
	}
}
