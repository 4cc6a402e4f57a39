// Package transport implements an epoll event loop for non-blocking sockets: connections and listeners with callbacks, and
// timers on a timing wheel. It is independent of the protocol.
//
// A loop runs in rounds. A round handles all events that epoll reports, then the timers that are due, then the functions
// passed to AfterRound. Descriptors are closed only at the end of a round, so that a descriptor number is not reused within
// the round.
//
// The package is not safe for concurrent use: everything must be called on the goroutine that calls Run, which also runs all
// callbacks. Only Loop.Post and Loop.Wake may be called from other goroutines.
package transport

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxEvents exceeds the number of descriptors of a director, so that a round handles all input.
	maxEvents = 1024
	// readBufferSize is large enough for a complete message of every protocol in use.
	readBufferSize = 512 << 10
	postQueueSize  = 16
)

// eventSource handles the events that epoll reports for a descriptor.
type eventSource interface{ handleEvents(events uint32) }

// Loop is an event loop.
type Loop struct {
	// OnWake, if not nil, is called on the loop after Wake or Post. It must be set before Run.
	OnWake func()

	epoll      int // descriptor
	wakeFD     int // eventfd
	sources    map[int]eventSource
	closingFDs []int // descriptors to close at the end of the round

	wheel     timerWheel
	startedAt time.Time
	unixStart time.Duration // Unix time at startedAt
	now       time.Duration // the last reading of the clock

	readBuffer  []byte // shared by all connections
	buffers     bufferPool
	input       inputBudget
	queuedBytes int // output of all connections that the kernel has not accepted yet
	reusePort   bool

	stopped    bool
	inRound    bool
	afterRound []func()

	posts  chan func()
	done   chan struct{} // closed by Release
	wakeMu sync.Mutex    // prevents Wake from writing to wakeFD after its close, when the number may be reused
}

// NewLoop returns a new loop. The caller must call Run or Release to free its descriptors.
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
		posts:      make(chan func(), postQueueSize),
		done:       make(chan struct{}),
	}
	l.updateClock()
	l.wheel.lastTick = int64(l.now / Tick)
	if err := l.register(wakeFD, unix.EPOLLIN, nil); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// closeFD closes a descriptor. It ignores errors, since Linux frees the descriptor in any case.
func closeFD(fd int) { _ = unix.Close(fd) }

func (l *Loop) updateClock() { l.now = l.unixStart + time.Since(l.startedAt) }

// Now returns the time of the loop's clock: the Unix time at the start of the loop plus the monotonic time since.
func (l *Loop) Now() time.Duration {
	l.updateClock()
	return l.now
}

// Set sets or resets a timer to fire at a time of the loop's clock.
func (l *Loop) Set(t *Timer, at time.Duration) { l.wheel.set(t, at) }

// Queued returns the number of bytes written to all connections that the kernel has not accepted yet.
func (l *Loop) Queued() int { return l.queuedBytes }

// Post schedules f to run on the loop. It does nothing if the loop has been released. It may be called from any goroutine,
// and blocks while postQueueSize functions are pending.
func (l *Loop) Post(f func()) {
	select {
	case l.posts <- f:
	case <-l.done:
		return
	}
	l.Wake()
}

// Wake wakes the loop, which then calls OnWake. It may be called from any goroutine and does not wait for the loop. Calls in
// quick succession may be combined into one.
func (l *Loop) Wake() {
	l.wakeMu.Lock()
	defer l.wakeMu.Unlock()
	select {
	case <-l.done:
		return
	default:
	}
	one := [8]byte{1}
	_, _ = unix.Write(l.wakeFD, one[:]) // fails if a wake-up is already pending
}

// Stop makes Run return after the current round.
func (l *Loop) Stop() { l.stopped = true }

// AfterRound runs f when the current round has handled all input and timers, or immediately if no round is in progress. It
// is meant for decisions that depend on all input of a round, such as whether a request's client is still connected.
func (l *Loop) AfterRound(f func()) {
	if !l.inRound {
		f()
		return
	}
	l.afterRound = append(l.afterRound, f)
}

// Run runs the loop until Stop is called or an error occurs, and then releases it.
func (l *Loop) Run() error {
	defer l.Release()
	return l.serve()
}

func (l *Loop) serve() error {
	events := make([]unix.EpollEvent, maxEvents)
	for !l.stopped {
		l.updateClock()
		wait := max(0, l.wheel.nextWait(l.now))
		n, err := unix.EpollWait(l.epoll, events, int((wait+time.Millisecond-1)/time.Millisecond))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.updateClock()
		l.runRound(events[:max(n, 0)])
	}
	return nil
}

func (l *Loop) runRound(events []unix.EpollEvent) {
	polledAt := l.now
	l.inRound = true
	for _, event := range events {
		fd := int(event.Fd)
		if fd == l.wakeFD {
			l.runPosted()
		} else if source := l.sources[fd]; source != nil {
			source.handleEvents(event.Events)
		}
	}
	// Only timers that were due at the time of the poll fire: a round may take long, and input that arrives during it must be
	// handled first, so that a response that has arrived is not treated as timed out.
	l.wheel.advance(polledAt)
	for i := 0; i < len(l.afterRound); i++ { // the functions may append more
		l.afterRound[i]()
	}
	clear(l.afterRound)
	l.afterRound = l.afterRound[:0]
	l.inRound = false
	l.closePendingFDs()
}

func (l *Loop) runPosted() {
	var count [8]byte
	_, _ = unix.Read(l.wakeFD, count[:]) // resets the eventfd; an error needs no handling
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

func (l *Loop) register(fd int, mask uint32, source eventSource) error {
	event := unix.EpollEvent{Events: mask, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	l.sources[fd] = source
	return nil
}

// unregister removes a descriptor from epoll and schedules its close for the end of the round.
func (l *Loop) unregister(fd int) {
	delete(l.sources, fd)
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, nil) // on failure the close removes the descriptor
	l.closingFDs = append(l.closingFDs, fd)
}

func (l *Loop) closePendingFDs() {
	for _, fd := range l.closingFDs {
		closeFD(fd)
	}
	l.closingFDs = l.closingFDs[:0]
}

// Release closes all descriptors of the loop. It must be called at most once, and not while the loop runs.
func (l *Loop) Release() {
	l.wakeMu.Lock()
	close(l.done)
	l.wakeMu.Unlock()
	l.closePendingFDs()
	for fd := range l.sources {
		if fd != l.wakeFD {
			closeFD(fd)
		}
	}
	closeFD(l.wakeFD)
	closeFD(l.epoll)
}
