package director

import (
	"testing"
	"time"
)

// Guards against a client that keeps its connection for good by sending a message byte by byte.
func TestMessageThatIsNeverCompleteEndsItsConnection(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, _ := d.serveFirstRequest(c)
	const limit = time.Second
	d.onLoop(func() { d.program.frontend.stuckTimeout = limit })
	text := client.submitText(requestA, objectA, 5*time.Second)
	started := time.Now()
	ended := make(chan time.Duration, 1)
	go func() {
		_, _ = client.reader.ReadByte() // fails when the director closes the connection
		ended <- time.Since(started)
	}()
	for i := range text[:len(text)-1] {
		if _, err := client.conn.Write([]byte{text[i]}); err != nil {
			break
		}
		select {
		case after := <-ended:
			if after < limit {
				t.Errorf("the connection was closed after %v", after)
			}
			d.onLoop(func() {
				if n := d.program.frontend.Counters.Unfinished; n != 1 {
					t.Errorf("counted %d times", n)
				}
			})
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Error("the connection is still open")
}
