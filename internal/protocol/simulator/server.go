package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// bufferBytes is the size of the input and output buffers. Few batches exceed it.
const bufferBytes = 1 << 20

var (
	errTruncatedLine  = errors.New("input ends inside a line")
	errTruncatedBatch = errors.New("input ends inside a batch")
)

// server hosts the Routers of the directors that the simulator has started.
type server struct {
	in         *bufio.Reader
	out        *bufio.Writer
	lineNumber int // number of the last line that was read, from 1
	now        time.Duration
	lists      endpointLists
	routers    map[int]*decision.Router // by director number
	line       []byte                   // buffer for the line of an action
}

func newServer(r io.Reader, w io.Writer) *server {
	return &server{
		in:      bufio.NewReaderSize(r, bufferBytes),
		out:     bufio.NewWriterSize(w, bufferBytes),
		routers: map[int]*decision.Router{},
	}
}

// Serve reads batches from r and writes the replies to w. It returns nil if the input ends between two
// batches. Otherwise the error contains the number of the line at fault.
func Serve(r io.Reader, w io.Writer) error {
	s := newServer(r, w)
	for {
		line, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.serveBatch(line)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
	}
}

// readLine returns the next line without its line terminator. It returns errTruncatedLine for a last
// line without a terminator.
func (s *server) readLine() (string, error) {
	line, err := s.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && line != "" {
			s.lineNumber++
			return "", errTruncatedLine
		}
		return "", err
	}
	s.lineNumber++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// readLineInBatch returns the next line of the current batch. It returns errTruncatedBatch at the end
// of the input.
func (s *server) readLineInBatch() (string, error) {
	line, err := s.readLine()
	if errors.Is(err, io.EOF) {
		return "", errTruncatedBatch
	}
	return line, err
}

// serveBatch reads the rest of a batch after its first line, and writes the reply.
func (s *server) serveBatch(line string) error {
	f := newFields(line)
	if f.message != messageClock {
		return fmt.Errorf("%s expected, got %q", messageClock, f.message)
	}
	now := f.time("Now")
	if err := f.end(); err != nil {
		return err
	}
	s.now = now
	for {
		line, err := s.readLineInBatch()
		if err != nil {
			return err
		}
		if line == messageGo {
			_, _ = s.out.WriteString(messageFinished + "\n") // Flush returns the error
			return s.out.Flush()
		}
		if err := s.handleLine(line); err != nil {
			return err
		}
	}
}

// handleLine processes one line of a batch. Events for a director that is not running are ignored.
func (s *server) handleLine(line string) error {
	f := newFields(line)
	if f.message == messageDefineList {
		return s.defineList(f)
	}
	director := f.nonNegativeInt("Dispatcher")
	if f.err != nil {
		if !directorMessages[f.message] {
			return errUnknownMessage(f)
		}
		return f.err
	}
	switch f.message {
	case messageUp:
		return s.startRouter(director, f)
	case messagePowerOff:
		delete(s.routers, director)
		return f.end()
	}
	event, err := s.parseEvent(f)
	if err != nil {
		return err
	}
	if r := s.routers[director]; r != nil {
		s.writeActions(director, r.Handle(s.now, event))
	}
	return nil
}

func (s *server) parseEvent(f *fields) (decision.Event, error) {
	if f.message == messageEndpointUpdate {
		return s.parseEndpointUpdate(f)
	}
	return parseEvent(f)
}

// startRouter starts the Router of a director. It replaces an earlier Router of the director.
func (s *server) startRouter(director int, f *fields) error {
	seed, err := strconv.ParseUint(f.required("Prng"), 10, 64)
	if err != nil {
		f.fail("Prng", "not an integer")
	}
	if f.err != nil {
		return f.err
	}
	settings, _, err := ParseSettings(f.rest)
	if err != nil {
		return fmt.Errorf("%s: %w", messageUp, err)
	}
	r := decision.NewRouter(settings, seed)
	s.routers[director] = r
	s.writeActions(director, r.Start(s.now))
	return nil
}

func (s *server) writeActions(director int, actions []decision.Action) {
	for _, a := range actions {
		s.line = appendAction(s.line[:0], director, a)
		_, _ = s.out.Write(s.line) // Flush returns the error
	}
}
