// Package transport serves non-blocking sockets from one epoll loop. Connections are objects with callbacks, timers
// sit on a coarse wheel, and everything runs on the goroutine that calls Run. It knows no protocol.
package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A round takes in all that is there: a director has fewer descriptors than this.
	eventBatch = 1024
	readSpace  = 512 << 10 // shared by all connections; holds a whole message of any protocol here
)

// source is what epoll reports on.
type source interface{ ready(events uint32) }

// Loop is the one loop of a process.
type Loop struct {
	epoll     int
	wake      int // eventfd
	sources   map[int]source
	closing   []int // closed only between batches, so that a number is not reused within one
	wheel     wheel
	origin    time.Time // Now counts from the Unix epoch, but only the monotonic clock moves it
	offset    time.Duration
	now       time.Duration
	scratch   []byte
	spare     pool
	queued    int
	posts     chan func()
	stopped   bool
	inRound   bool
	later     []func()
	reusePort bool
	ended     chan struct{} // closed when nothing will run any more
	OnWake    func()        // after Poke; set before Run
	wakeMu    sync.Mutex    // Post and the end: a descriptor that is closed may be another's by then
}

// NewLoop makes a loop. Only Post may be called from other goroutines.
func NewLoop() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	start := time.Now()
	l := &Loop{
		epoll: epoll, wake: wake, sources: map[int]source{}, origin: start,
		offset: time.Duration(start.UnixNano()), scratch: make([]byte, readSpace), posts: make(chan func(), 16), ended: make(chan struct{}),
	}
	l.refresh()
	l.wheel.done = int64(l.now / Tick)
	if err := l.add(wake, unix.EPOLLIN, nil); err != nil {
		l.release()
		return nil, err
	}
	return l, nil
}

func (l *Loop) refresh() { l.now = l.offset + time.Since(l.origin) }

// Now is the clock of all that the loop drives: Unix time at the start, moved by the monotonic clock alone.
func (l *Loop) Now() time.Duration {
	l.refresh()
	return l.now
}

// Set sets a timer to fire at a time of the loop's clock.
func (l *Loop) Set(t *Timer, at time.Duration) { l.wheel.set(t, at) }

// Queued is how many bytes all connections together hold because their peers do not take them.
func (l *Loop) Queued() int { return l.queued }

// Post runs f on the loop, unless that has ended. It is the one way in for other goroutines.
func (l *Loop) Post(f func()) {
	select {
	case l.posts <- f:
	case <-l.ended:
		return
	}
	l.Poke()
}

// Poke has the loop call OnWake soon. It never waits for the loop, and calls that come together are one.
func (l *Loop) Poke() {
	l.wakeMu.Lock()
	defer l.wakeMu.Unlock()
	select {
	case <-l.ended:
		return
	default:
	}
	one := [8]byte{1}
	_, _ = unix.Write(l.wake, one[:]) // full means that a wake-up is already due
}

// Stop makes Run return after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Later runs f when the round that is going on has taken in all that came and all timers that are due; at once where there is no
// round. What rests on the whole of a round, such as whether a request's client or a connection is still there, is decided there.
func (l *Loop) Later(f func()) {
	if !l.inRound {
		f()
		return
	}
	l.later = append(l.later, f)
}

// Run serves until Stop.
func (l *Loop) Run() error {
	defer l.release()
	return l.serve()
}

func (l *Loop) serve() error {
	events := make([]unix.EpollEvent, eventBatch)
	for !l.stopped {
		l.refresh()
		wait := max(0, l.wheel.wait(l.now))
		n, err := unix.EpollWait(l.epoll, events, int((wait+time.Millisecond-1)/time.Millisecond))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.refresh()
		polled := l.now
		l.inRound = true
		for _, ev := range events[:max(n, 0)] {
			if int(ev.Fd) == l.wake {
				l.drainPosts()
			} else if s := l.sources[int(ev.Fd)]; s != nil {
				s.ready(ev.Events)
			}
		}
		// Only what was due when the events were asked for: a round may take long, and what came meanwhile goes first. An answer
		// that is there must not be found overdue because the loop was held up.
		l.wheel.advance(polled)
		for i := 0; i < len(l.later); i++ { // they may add some
			l.later[i]()
		}
		clear(l.later)
		l.later = l.later[:0]
		l.inRound = false
		l.closeNow()
	}
	return nil
}

func (l *Loop) drainPosts() {
	var count [8]byte
	_, _ = unix.Read(l.wake, count[:])
	if l.OnWake != nil {
		l.OnWake()
	}
	for {
		select {
		case f := <-l.posts:
			f()
		default:
			return
		}
	}
}

func (l *Loop) add(fd int, events uint32, s source) error {
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	l.sources[fd] = s
	return nil
}

// drop stops watching a descriptor and closes it when the batch is over.
func (l *Loop) drop(fd int) {
	delete(l.sources, fd)
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	l.closing = append(l.closing, fd)
}

func (l *Loop) closeNow() {
	for _, fd := range l.closing {
		unix.Close(fd)
	}
	l.closing = l.closing[:0]
}

func (l *Loop) release() {
	l.wakeMu.Lock()
	close(l.ended)
	l.wakeMu.Unlock()
	l.closeNow()
	for fd := range l.sources {
		if fd != l.wake {
			unix.Close(fd)
		}
	}
	unix.Close(l.wake)
	unix.Close(l.epoll)
}

// Release gives up a loop that never ran.
func (l *Loop) Release() { l.release() }
