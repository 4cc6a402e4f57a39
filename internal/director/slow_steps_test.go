package director

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against closing a client, with its requests, that reads steadily but slowly: its kernel announces room only in large steps, so
// that it seems to take nothing for seconds (review/7).
func TestClientThatTakesAnswersInLargeStepsIsKept(t *testing.T) {
	const requests, pause = 31, 4 * time.Second
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	d.onLoop(func() { d.program.frontend.maxQueuedBytes = 1 << 20 })
	body := strings.Repeat("x", 240_000)
	for i := range requests {
		client.submit(fmt.Sprintf("%016x", 0xb000+i), objectA, "mem", "9000")
	}
	for range requests {
		id, _ := upstream.request()
		upstream.answer(id, "OK", "n=local", body)
	}
	for dropped := int64(0); dropped == 0; { // memory is short
		d.onLoop(func() { dropped = d.program.frontend.Counters.Dropped })
	}
	time.Sleep(pause)
	served := 0
	for range requests {
		if r := client.reply(); r.result == 0 {
			served++
		}
	}
	if served == 0 || served == requests {
		t.Errorf("%d of %d requests were served; some must be, and some must have found no room", served, requests)
	}
}
