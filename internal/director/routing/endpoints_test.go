package routing

import (
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/decision"
)

// Guards against an irregular endpoint list that is applied without a log line or causes the loss of a request in flight.
func TestListAnomaliesAreLoggedAndNoRequestIsLost(t *testing.T) {
	ready := testEndpoint("a", decision.Ready)
	draining := testEndpoint("a", decision.Draining)
	moved := testEndpoint("c", decision.Ready)
	moved.Address = "a"
	for _, c := range []struct {
		event     string // "": none
		version   int64
		snapshot  bool
		endpoints []Endpoint
		then      string // the answer to a request submitted after the list
	}{
		{"endpoints.empty", 6, true, nil, "r2 rejected"},
		{"", 6, false, []Endpoint{testEndpoint("b", decision.Gone)}, "r2 served y"},
		{"endpoints.host_repeated", 6, false, []Endpoint{draining, ready}, "r2 served y"},
		{"endpoints.out_of_order", 4, false, []Endpoint{testEndpoint("b", decision.Ready)}, "r2 served y"},
		{"endpoints.address_shared", 6, false, []Endpoint{moved}, "r2 served y"},
		{"endpoints.address_shared", 6, false, []Endpoint{ready, moved}, "r2 served y"},
	} {
		d, dialer, responses := newTestDirector(t, defaultLimits, "a")
		d.UpdateEndpoints(5, false, nil)
		d.Submit(newTestRequest(responses, "r1"))
		dialer.conns[0].handler.Connected()
		out := captureLog(t, func() { d.UpdateEndpoints(c.version, c.snapshot, c.endpoints) })
		if c.event != "" && !strings.Contains(out, c.event) || c.event == "" && out != "" {
			t.Errorf("%q: logged %q", c.event, out)
		}
		dialer.conns[0].handler.Received([]byte("r1"), okResponse("x"))
		d.Submit(newTestRequest(responses, "r2"))
		for _, conn := range dialer.conns {
			if !conn.closed && len(conn.requests) == 0 {
				conn.handler.Connected()
			}
			conn.handler.Received([]byte("r2"), okResponse("y"))
		}
		responses.want(t, "r1 served x", c.then)
	}
}

// Guards against a late delta that brings back a host that is gone, or whose drain is ignored.
func TestDeltaOutOfOrderAppliesDrainsOnly(t *testing.T) {
	d, _, _ := newTestDirector(t, defaultLimits, "a", "b")
	d.UpdateEndpoints(5, false, []Endpoint{testEndpoint("a", decision.Draining)})
	d.UpdateEndpoints(4, false, []Endpoint{testEndpoint("a", decision.Ready), testEndpoint("b", decision.Draining)})
	for _, name := range []string{"a", "b"} {
		if got := d.byName[name].Readiness; got != decision.Draining {
			t.Errorf("%s is %s", name, got)
		}
	}
}

// Guards against placing objects on different hosts than the simulator does.
func TestHostIDComesFromName(t *testing.T) {
	d, _, _ := newTestDirector(t, defaultLimits, "s-00c41f7a", "depot-seven", "t-00c41f7a")
	if d.byName["s-00c41f7a"].Host != 0x00c41f7a && d.byName["t-00c41f7a"].Host != 0x00c41f7a {
		t.Error("no host has the number in its name as its ID")
	}
	if len(d.hosts) != 3 || d.byName["depot-seven"].Host == 0 {
		t.Errorf("%d hosts, the ID of depot-seven is %d", len(d.hosts), d.byName["depot-seven"].Host)
	}
}
