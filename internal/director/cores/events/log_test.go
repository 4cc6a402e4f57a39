package events

import (
	"sync"
	"testing"
)

// Guards against a reader that misses a value, reads one twice or out of order, or finds none although HasNext reported one.
func TestEveryReaderGetsAll(t *testing.T) {
	const values, readers = 20_000, 4
	l := New[int]()
	var wg sync.WaitGroup
	for range readers {
		c := l.NewCursor()
		wg.Go(func() {
			for want := 0; want < values; {
				hasNext := c.HasNext()
				v, ok := c.Next()
				if hasNext && !ok {
					t.Error("HasNext returned true, but Next returned no value")
					return
				}
				if !ok {
					continue
				}
				if v != want {
					t.Errorf("got %d, want %d", v, want)
					return
				}
				want++
			}
			if c.HasNext() || c.read != values {
				t.Errorf("%d values read", c.read)
			}
		})
	}
	l.Seal()
	for i := range values {
		l.Publish(i)
	}
	wg.Wait()
}

func BenchmarkHasNext(b *testing.B) {
	l := New[int]()
	c := l.NewCursor()
	b.ReportAllocs()
	for b.Loop() {
		if c.HasNext() {
			b.Fatal()
		}
	}
}
