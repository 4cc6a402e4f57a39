// Package wire speaks the simulator's wire: it parses batches of events, hands them to the instances and
// formats their actions. It decides nothing.
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

// maxTables is how many numbered lists the wire has.
const maxTables = 16

type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int // number of the line read last
	now       time.Duration
	tables    [maxTables][]decision.Endpoint
	known     [maxTables]bool
	instances map[int]*decision.Router
}

// Serve answers batches until the input ends between two of them.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{
		in:        bufio.NewReaderSize(r, 1<<20),
		out:       bufio.NewWriterSize(w, 1<<20),
		instances: map[int]*decision.Router{},
	}
	for {
		line, err := s.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.batch(line)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
	}
}

// read gives the next line. A last line without its end counts as broken off.
func (s *server) read() (string, error) {
	line, err := s.in.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && line != "" {
			s.line++
			return "", errors.New("input ends inside a line")
		}
		return "", err
	}
	s.line++
	return strings.TrimSuffix(line[:len(line)-1], "\r"), nil
}

// more reads a line that must come because a batch is open.
func (s *server) more() (string, error) {
	line, err := s.read()
	if errors.Is(err, io.EOF) {
		return "", errors.New("input ends inside a batch")
	}
	return line, err
}

func (s *server) batch(line string) error {
	f := newFields(line)
	if f.name != "clock" {
		return fmt.Errorf("clock expected, got %q", f.name)
	}
	now := f.time("Now")
	if err := f.end(); err != nil {
		return err
	}
	s.now = now
	for {
		line, err := s.more()
		if err != nil {
			return err
		}
		if line == "go" {
			s.out.WriteString("finished\n")
			return s.out.Flush()
		}
		if err := s.event(line); err != nil {
			return err
		}
	}
}

func (s *server) event(line string) error {
	f := newFields(line)
	if f.name == "define_list" {
		return s.defineList(f)
	}
	slot := f.small("Dispatcher")
	if f.err != nil {
		if !messages[f.name] {
			return fmt.Errorf("unknown message %q", f.name)
		}
		return f.err
	}
	switch f.name {
	case "up":
		return s.up(slot, f)
	case "power_off":
		delete(s.instances, slot)
		return f.end()
	}
	var ev decision.Event
	var err error
	if f.name == "topology" {
		ev, err = s.topology(f)
	} else {
		ev, err = parseEvent(f)
	}
	if err != nil {
		return err
	}
	if r := s.instances[slot]; r != nil {
		for _, a := range r.Handle(s.now, ev) {
			writeAction(s.out, slot, a)
		}
	}
	return nil
}

// messages are the names an event line may have.
var messages = map[string]bool{
	"up": true, "define_list": true, "topology": true, "query": true, "invalidated": true, "peer": true,
	"left": true, "status_back": true, "power_off": true, "alarm": true, "answer": true, "first": true,
}

func (s *server) up(slot int, f *fields) error {
	seed, err := strconv.ParseUint(f.need("Prng"), 10, 64)
	if err != nil {
		f.fail("Prng", "not an integer")
	}
	if f.err != nil {
		return f.err
	}
	settings, _, err := ParseSettings(f.rest)
	if err != nil {
		return fmt.Errorf("up: %w", err)
	}
	r := decision.NewRouter(settings, seed)
	s.instances[slot] = r
	for _, a := range r.Start(s.now) {
		writeAction(s.out, slot, a)
	}
	return nil
}

func (s *server) defineList(f *fields) error {
	table, count := f.small("Table"), f.small("Lines")
	if f.err == nil && table >= maxTables {
		f.fail("Table", "out of range")
	}
	if err := f.end(); err != nil {
		return err
	}
	var members []decision.Endpoint
	for range count {
		line, err := s.more()
		if err != nil {
			return err
		}
		m, err := parseMember(line)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	s.tables[table], s.known[table] = members, true
	return nil
}

func (s *server) topology(f *fields) (decision.Event, error) {
	t := decision.EndpointUpdate{Kind: decision.EndpointUpdateKind(f.need("Kind")), Version: f.optionalInt("Stamp")}
	table := f.optionalInt("Table")
	switch t.Kind {
	case decision.UpdateRejected:
	case decision.UpdateSnapshot, decision.UpdateDelta, decision.UpdateCached:
		if table < 0 || table >= maxTables || !s.known[table] {
			f.fail("Table", "no such list")
		} else {
			t.Endpoints = s.tables[table]
		}
	default:
		f.fail("Kind", "unknown")
	}
	return t, f.end()
}
