package director

import "testing"

// Guards against a core that stops watching the event stream while others still serve.
func TestWatchOwnerStopsLast(t *testing.T) {
	o := newWatchOwner(3)
	if o.mayStop(0) {
		t.Error("the core that watches may stop before the others")
	}
	if !o.mayStop(2) || !o.mayStop(1) {
		t.Error("a core that does not watch may not stop")
	}
	if !o.mayStop(0) {
		t.Error("the core that watches may not stop although it is the last one")
	}
	if _, ok := o.end(0); ok {
		t.Error("the watch is taken over although no core runs")
	}
}

// Guards against a watch that ends with a core that fails, and against one that is taken over by a core that has ended.
func TestWatchOwnerHandsOn(t *testing.T) {
	o := newWatchOwner(4)
	if _, ok := o.end(1); ok {
		t.Error("the watch is taken over although the core that watches runs")
	}
	if successor, ok := o.end(0); !ok || successor != 2 || o.current() != 2 {
		t.Errorf("successor %d %v, current %d", successor, ok, o.current())
	}
	if o.mayStop(2) || !o.mayStop(3) || !o.mayStop(2) {
		t.Error("the successor does not stop last")
	}
}
