package events

import (
	"sync"
	"testing"
)

// Every reader gets every value once and in order, whenever it looks; one that is not behind has all.
func TestEveryReaderGetsAll(t *testing.T) {
	const values, readers = 20_000, 4
	l := New[int]()
	var wg sync.WaitGroup
	for range readers {
		c := l.Follow()
		wg.Go(func() {
			for want := 0; want < values; {
				behind := c.Behind()
				v, ok := c.Next()
				if behind && !ok {
					t.Error("behind, and nothing there")
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
			if c.Behind() || c.Number() != values {
				t.Errorf("at %d", c.Number())
			}
		})
	}
	l.Start()
	for i := range values {
		l.Publish(i)
	}
	wg.Wait()
}

func BenchmarkBehind(b *testing.B) {
	l := New[int]()
	c := l.Follow()
	b.ReportAllocs()
	for b.Loop() {
		if c.Behind() {
			b.Fatal()
		}
	}
}
