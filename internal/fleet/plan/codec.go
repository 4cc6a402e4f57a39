package plan

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"

	"stairvane.org/stairvane/internal/fleet"
)

// The plan file is one line of text, then the plan:
//
//	stairvane-plan VERSION LENGTH BLAKE3\n
//	LENGTH bytes of CBOR in the one (deterministic) encoding
//
// Programs of any version can read the line: it tells them whether they can read the rest. The hash is that of the rest,
// and names the plan.

// Version of the plan file that this program writes, and the only one that it reads.
const Version = 1

const (
	magic   = "stairvane-plan"
	maxHead = 128
	// MaxBytes is the longest plan file.
	MaxBytes = 256 << 20
)

// ErrNewer says that a plan file is of a version that this program does not know.
var ErrNewer = errors.New("the plan file is of a newer version")

// ErrDamaged says that a plan file is not as it was written.
var ErrDamaged = errors.New("the plan file is damaged")

// Encode writes a plan file. Equal plans have equal bytes.
func Encode(p *Plan) ([]byte, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return frame(body), nil
}

func frame(body []byte) []byte {
	head := fmt.Appendf(nil, "%s %d %d %x\n", magic, Version, len(body), blake3.Sum256(body))
	return append(head, body...)
}

// Sum names a plan: the hash in its file, in hex.
func Sum(p *Plan) (string, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return "", fmt.Errorf("plan: %w", err)
	}
	return fmt.Sprintf("%x", blake3.Sum256(body)), nil
}

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 16 << 20, MaxMapPairs: 1 << 16, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// Decode reads a plan file. Errors wrap ErrDamaged or ErrNewer.
func Decode(b []byte) (*Plan, error) {
	end := bytes.IndexByte(b[:min(len(b), maxHead)], '\n')
	var version, length int
	var sum string
	if end < 0 {
		return nil, fmt.Errorf("%w: it does not begin with %q", ErrDamaged, magic)
	}
	if n, err := fmt.Sscanf(string(b[:end]), magic+" %d", &version); n != 1 || err != nil {
		return nil, fmt.Errorf("%w: it does not begin with %q", ErrDamaged, magic)
	}
	if version > Version {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, version, Version)
	}
	if n, err := fmt.Sscanf(string(b[:end]), magic+" %d %d %s", &version, &length, &sum); n != 3 || err != nil || version != Version {
		return nil, fmt.Errorf("%w: its first line can't be read", ErrDamaged)
	}
	body := b[end+1:]
	if len(body) != length {
		return nil, fmt.Errorf("%w: %d bytes, not %d", ErrDamaged, len(body), length)
	}
	if is := fmt.Sprintf("%x", blake3.Sum256(body)); is != sum {
		return nil, fmt.Errorf("%w: its checksum is %s, not %s", ErrDamaged, is, sum)
	}
	var p Plan
	if err := decoding.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	// What is read must be what is written again, or two files could be one plan.
	again, err := fleet.Encode(&p)
	if err != nil || !bytes.Equal(again, body) {
		return nil, fmt.Errorf("%w: it is not in the one encoding", ErrDamaged)
	}
	return &p, nil
}

// check looks at the form of a plan, so that who carries it out may rely on it.
func (p *Plan) check() error {
	for i, s := range p.Steps {
		if s.ID != i+1 {
			return fmt.Errorf("step %d stands at place %d", s.ID, i+1)
		}
		for _, a := range s.After {
			if a < 1 || a >= s.ID {
				return fmt.Errorf("step %d comes after step %d", s.ID, a)
			}
		}
		if s.Wait != Notified && s.Wait != Warm && s.Wait != Drained {
			return fmt.Errorf("step %d waits for %q", s.ID, s.Wait)
		}
		if err := s.check(); err != nil {
			return fmt.Errorf("step %d: %w", s.ID, err)
		}
	}
	return nil
}

func (s Step) check() error {
	need := func(has ...bool) error {
		for _, h := range has {
			if !h {
				return fmt.Errorf("a step %q lacks what it changes, or changes more", s.Kind)
			}
		}
		return nil
	}
	m, l, r := s.Host != nil, s.Location != nil, s.Rules != nil
	switch s.Kind {
	case SetRules:
		return need(r, !m, !l)
	case Locate, Widen, Narrow, Forget:
		return need(l, !m, !r)
	case Add:
		return need(m, !l, !r, s.Before == nil)
	case Raise, Lower, Drain, Remove:
		return need(m, !l, !r, s.Before != nil && m && s.Before.Name == s.Host.Name)
	}
	return fmt.Errorf("unknown kind %q", s.Kind)
}
