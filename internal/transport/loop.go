// Package transport serves non-blocking sockets from one epoll loop: connections and listeners with callbacks, and timers
// on a timing wheel. It knows no protocol.
//
// A loop works in rounds. A round handles all input that epoll reports, then the timers that are due, then the functions
// that were given to AfterRound. Descriptors are closed only at the end of a round, so that a number is not reused in it.
//
// Everything belongs to the goroutine that calls Run, and all callbacks run there. Only Loop.Post and Loop.Wake may be
// called from other goroutines.
package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxEvents is more than the descriptors of a director, so that a round handles all input.
	maxEvents = 1024
	// readBufferSize holds a complete message of any protocol that is used.
	readBufferSize = 512 << 10
	postsQueue     = 16
)

// eventSource is what epoll reports events of.
type eventSource interface{ ready(events uint32) }

// Loop is an event loop.
type Loop struct {
	// OnWake, if set, is called soon after Wake or Post. It must be set before Run.
	OnWake func()

	epoll      int // descriptor
	wakeFD     int // eventfd
	sources    map[int]eventSource
	closingFDs []int // are closed at the end of the round

	wheel     timerWheel
	startedAt time.Time
	unixStart time.Duration // Unix time at startedAt
	now       time.Duration // when the clock was read last

	readBuffer  []byte // shared by all connections
	buffers     bufferPool
	queuedBytes int // of output that peers have not taken
	reusePort   bool

	stopped    bool
	inRound    bool
	afterRound []func()

	posts  chan func()
	done   chan struct{} // closed when nothing runs any more
	wakeMu sync.Mutex    // orders Wake before the close of wakeFD, whose number may be reused afterwards
}

// NewLoop makes a loop. It must be run, or released.
func NewLoop() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeFD(epoll)
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	start := time.Now()
	l := &Loop{
		epoll:      epoll,
		wakeFD:     wakeFD,
		sources:    map[int]eventSource{},
		startedAt:  start,
		unixStart:  time.Duration(start.UnixNano()),
		readBuffer: make([]byte, readBufferSize),
		posts:      make(chan func(), postsQueue),
		done:       make(chan struct{}),
	}
	l.updateNow()
	l.wheel.lastTick = int64(l.now / Tick)
	if err := l.add(wakeFD, unix.EPOLLIN, nil); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// closeFD closes a descriptor that nobody uses any more. An error of close leaves nothing to do: Linux frees the number
// in any case.
func closeFD(fd int) { _ = unix.Close(fd) }

func (l *Loop) updateNow() { l.now = l.unixStart + time.Since(l.startedAt) }

// Now is the loop's clock: Unix time at the start, advanced by the monotonic clock alone.
func (l *Loop) Now() time.Duration {
	l.updateNow()
	return l.now
}

// Set sets a timer to a time of the loop's clock.
func (l *Loop) Set(t *Timer, at time.Duration) { l.wheel.set(t, at) }

// Queued is the number of bytes written to all connections that their peers have not taken.
func (l *Loop) Queued() int { return l.queuedBytes }

// Post runs f on the loop, unless the loop has ended. It may be called from any goroutine, and waits while many functions
// are pending.
func (l *Loop) Post(f func()) {
	select {
	case l.posts <- f:
	case <-l.done:
		return
	}
	l.Wake()
}

// Wake has the loop call OnWake soon. It may be called from any goroutine and does not wait. Calls in quick succession
// are one.
func (l *Loop) Wake() {
	l.wakeMu.Lock()
	defer l.wakeMu.Unlock()
	select {
	case <-l.done:
		return
	default:
	}
	one := [8]byte{1}
	_, _ = unix.Write(l.wakeFD, one[:]) // it fails when a wake-up is pending already
}

// Stop makes Run return after the present round.
func (l *Loop) Stop() { l.stopped = true }

// AfterRound runs f when the present round has handled all input and timers; at once where there is no round. What depends
// on all input of a round, such as whether a request's client is still there, is decided then.
func (l *Loop) AfterRound(f func()) {
	if !l.inRound {
		f()
		return
	}
	l.afterRound = append(l.afterRound, f)
}

// Run serves until Stop, and releases the loop.
func (l *Loop) Run() error {
	defer l.Release()
	return l.serve()
}

func (l *Loop) serve() error {
	events := make([]unix.EpollEvent, maxEvents)
	for !l.stopped {
		l.updateNow()
		wait := max(0, l.wheel.nextWait(l.now))
		n, err := unix.EpollWait(l.epoll, events, int((wait+time.Millisecond-1)/time.Millisecond))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.updateNow()
		l.round(events[:max(n, 0)])
	}
	return nil
}

func (l *Loop) round(events []unix.EpollEvent) {
	polledAt := l.now
	l.inRound = true
	for _, event := range events {
		fd := int(event.Fd)
		if fd == l.wakeFD {
			l.runPosts()
		} else if source := l.sources[fd]; source != nil {
			source.ready(event.Events)
		}
	}
	// Only timers that were due when the events were polled: a round may take long, and input that came meanwhile goes
	// first. A response that is there must not be overtaken by its timeout.
	l.wheel.advance(polledAt)
	for i := 0; i < len(l.afterRound); i++ { // they may add more
		l.afterRound[i]()
	}
	clear(l.afterRound)
	l.afterRound = l.afterRound[:0]
	l.inRound = false
	l.closePending()
}

func (l *Loop) runPosts() {
	var count [8]byte
	_, _ = unix.Read(l.wakeFD, count[:]) // resets it; there is nothing to do about an error
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

func (l *Loop) add(fd int, mask uint32, source eventSource) error {
	event := unix.EpollEvent{Events: mask, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	l.sources[fd] = source
	return nil
}

// remove stops watching a descriptor, and closes it at the end of the round.
func (l *Loop) remove(fd int) {
	delete(l.sources, fd)
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, nil) // the close removes it in any case
	l.closingFDs = append(l.closingFDs, fd)
}

func (l *Loop) closePending() {
	for _, fd := range l.closingFDs {
		closeFD(fd)
	}
	l.closingFDs = l.closingFDs[:0]
}

// Release closes all descriptors of a loop that does not run.
func (l *Loop) Release() {
	l.wakeMu.Lock()
	close(l.done)
	l.wakeMu.Unlock()
	l.closePending()
	for fd := range l.sources {
		if fd != l.wakeFD {
			closeFD(fd)
		}
	}
	closeFD(l.wakeFD)
	closeFD(l.epoll)
}
