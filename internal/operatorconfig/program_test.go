package operatorconfig

import (
	"strings"
	"testing"
)

// Paths are relative to the folder of the file, the write side is either a socket or a TCP address, and a TCP address other than
// loopback requires TLS.
func TestReadProgram(t *testing.T) {
	read := func(write string) (Program, error) {
		text := "(board (listen 127.0.0.1:8500) (store board.db) (followers 10.0.0.0/8 127.0.0.1) (observer (every 1s)) " +
			"(write " + write + "))"
		p, errors := ReadProgram("etc/stairvane.scm", files(map[string]string{"etc/stairvane.scm": text}))
		if len(errors) > 0 {
			return p, errors
		}
		return p, nil
	}
	p, err := read("(unix board.sock)")
	if c := p.ControlPlane; err != nil || c.Store != "etc/board.db" || c.Write.Unix != "etc/board.sock" || c.Observer.Misses != 3 ||
		c.Relays || !c.Watchers.Contains(c.Listen.Addr()) {
		t.Errorf("%v %+v", err, p)
	}
	if _, err = read("(tcp 10.1.1.1:80)"); err == nil || !strings.Contains(err.Error(), "only over TLS") {
		t.Error(err)
	}
	if _, err = read("(tcp 10.1.1.1:80) (tls (certificate a) (key b) (clients c))"); err != nil {
		t.Error(err)
	}
	if p, err = read("(unix board.sock)) (relays"); err != nil || !p.ControlPlane.Relays {
		t.Error(err, "(relays) does not enable relays")
	}
	if _, err = read("(tcp 127.0.0.1:80) (unix x)"); err == nil {
		t.Error("a write side with both a socket and a TCP address was accepted")
	}
}
