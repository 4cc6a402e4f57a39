//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["8"] = stalePlan }

const (
	exitDone     = 0
	exitHasSteps = 2
	exitStale    = 3
)

// stalePlan: a box dies and comes back empty between plan and apply, as the observer of the control plane sees. Then the replica that
// leads is lost. The plan is stale and has to be refused.
func stalePlan() (violations int) {
	answer := func(_ *cache, a *attempt) {
		a.answer("OK", fmt.Sprintf("n=local,rev=1,since=%d", time.Now().UnixMilli()), []byte("x"))
	}
	var boxes []*cache
	for i := range 7 {
		boxes = append(boxes, newCache(fmt.Sprintf("c-%d", i+1), "127.0.0.1:0", answer))
	}
	origin := newCache("store", "127.0.0.1:0", answer)
	fleetFile := func(name string, members int) string {
		var list strings.Builder
		for _, c := range boxes[:members] {
			fmt.Fprintf(&list, "  (cache %s (like small) (running) (at %s))\n", c.Name, c.addr())
		}
		return writeFile(name, fmt.Appendf(nil, `(template small (class small-box) (share 4))
(origin store (at %s) (site north) (class origin) (share 60))
(location west (floor 4) (load 4) (sources store)
%s)
`, origin.addr(), list.String()))
	}
	all, fewer := fleetFile("fleet.scm", 7), fleetFile("fleet-next.scm", 6)
	g := startGroup("(observer (every 1s))")
	first, next := folder+"/first.plan", folder+"/next.plan"
	if code, out := g.command("plan", "--wait", "10s", all, "--out", first); code != exitHasSteps {
		fail("plan: %s", out)
	}
	if code, out := g.command("apply", first); code != exitDone {
		fail("apply: %s", out)
	}
	time.Sleep(3 * time.Second) // the boxes are seen
	if code, out := g.command("plan", fewer, "--out", next); code != exitHasSteps {
		fail("plan: %s", out)
	}
	box := boxes[0]
	addr := box.addr()
	rec.printf("%s dies", box.Name)
	box.die()
	time.Sleep(5500 * time.Millisecond)
	rec.printf("%s comes back, empty", box.Name)
	box.listen(addr)
	time.Sleep(2500 * time.Millisecond)
	if code, out := g.command("state", "-o", "json"); code != exitDone || !strings.Contains(out, "restarted_ms") {
		fail("the restart was not seen: %s", out)
	}
	if trouble {
		leader := g.leader()
		g.running[leader].signal(syscall.SIGKILL)
		g.running[leader].waitEnd(time.Second)
		g.leader()
		time.Sleep(time.Second)
	}
	code, out := g.command("apply", next, "--detach")
	g.command("state")
	time.Sleep(time.Second)
	g.command("applies", "show", "2")
	switch code {
	case exitStale:
		rec.printf("the stale plan was refused")
	case exitDone:
		violations++
		rec.printf("VIOLATION: the plan was accepted, though %s has died and come back empty since it was made", box.Name)
	default:
		fail("apply: %s", out)
	}
	return violations
}
