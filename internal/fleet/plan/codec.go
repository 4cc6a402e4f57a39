package plan

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"

	"stairvane.org/stairvane/internal/fleet"
)

// A plan file consists of one line of text and the encoded plan:
//
//	stairvane-plan VERSION LENGTH BLAKE3\n
//	LENGTH bytes of CBOR in its deterministic encoding
//
// The line has the same form in all versions, so that a program can tell whether it can read the rest. The hash is that of the rest and
// identifies the plan.

const (
	// Version is the version of the plan file that this program writes, and the only one that it reads.
	Version = 1
	// MaxBytes is the maximum length of a plan file in bytes.
	MaxBytes = 256 << 20

	magic        = "stairvane-plan"
	maxFirstLine = 128 // bytes
)

var (
	// ErrNewer is returned for a plan file of a version newer than Version.
	ErrNewer = errors.New("the plan file is of a newer version")
	// ErrDamaged is returned for a plan file that is malformed or whose checksum does not match.
	ErrDamaged = errors.New("the plan file is damaged")
)

// Encode returns the contents of a plan file. Equal plans have equal bytes.
func Encode(p *Plan) ([]byte, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	return frame(body), nil
}

// frame prepends the first line to an encoded plan.
func frame(body []byte) []byte {
	firstLine := fmt.Appendf(nil, "%s %d %d %x\n", magic, Version, len(body), blake3.Sum256(body))
	return append(firstLine, body...)
}

// Sum returns the identifier of a plan: the hash in its file, in hex.
func Sum(p *Plan) (string, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return "", fmt.Errorf("encode plan: %w", err)
	}
	return fmt.Sprintf("%x", blake3.Sum256(body)), nil
}

// strictMode decodes plans within limits, and rejects unknown fields and duplicate keys.
var strictMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:   16,
		MaxArrayElements:  16 << 20,
		MaxMapPairs:       1 << 16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Decode decodes the contents of a plan file. Errors wrap ErrDamaged or ErrNewer.
func Decode(b []byte) (*Plan, error) {
	body, err := unframe(b)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := strictMode.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	// A second encoding of the same plan would give it a second identifier.
	again, err := fleet.Encode(&p)
	if err != nil || !bytes.Equal(again, body) {
		return nil, fmt.Errorf("%w: not in the deterministic encoding", ErrDamaged)
	}
	return &p, nil
}

// unframe checks the first line of a plan file and returns the encoded plan.
func unframe(b []byte) ([]byte, error) {
	end := bytes.IndexByte(b[:min(len(b), maxFirstLine)], '\n')
	if end < 0 {
		return nil, fmt.Errorf("%w: it does not begin with %q", ErrDamaged, magic)
	}
	firstLine := string(b[:end])
	body := b[end+1:]
	var version, length int
	var sum string
	if n, err := fmt.Sscanf(firstLine, magic+" %d", &version); n != 1 || err != nil {
		return nil, fmt.Errorf("%w: it does not begin with %q", ErrDamaged, magic)
	}
	if version > Version {
		return nil, fmt.Errorf("%w: version %d; this program reads version %d", ErrNewer, version, Version)
	}
	if n, err := fmt.Sscanf(firstLine, magic+" %d %d %s", &version, &length, &sum); n != 3 || err != nil || version != Version {
		return nil, fmt.Errorf("%w: malformed first line", ErrDamaged)
	}
	if len(body) != length {
		return nil, fmt.Errorf("%w: %d bytes, expected %d", ErrDamaged, len(body), length)
	}
	if actual := fmt.Sprintf("%x", blake3.Sum256(body)); actual != sum {
		return nil, fmt.Errorf("%w: checksum is %s, expected %s", ErrDamaged, actual, sum)
	}
	return body, nil
}

// check validates the structure of a plan, so that the code that applies it can rely on it.
func (p *Plan) check() error {
	for i, s := range p.Steps {
		if s.ID != i+1 {
			return fmt.Errorf("step with ID %d at position %d", s.ID, i+1)
		}
		for _, dependency := range s.After {
			if dependency < 1 || dependency >= s.ID {
				return fmt.Errorf("step %d depends on step %d, which is not an earlier step", s.ID, dependency)
			}
		}
		if s.Wait != Notified && s.Wait != Warm && s.Wait != Drained {
			return fmt.Errorf("step %d: unknown wait condition %q", s.ID, s.Wait)
		}
		if err := s.check(); err != nil {
			return fmt.Errorf("step %d: %w", s.ID, err)
		}
	}
	return nil
}

// check checks that a step sets exactly the fields that its kind requires.
func (s Step) check() error {
	hasOnlyHost := s.Host != nil && s.Location == nil && s.Rules == nil
	hasOnlyLocation := s.Location != nil && s.Host == nil && s.Rules == nil
	hasOnlyRules := s.Rules != nil && s.Host == nil && s.Location == nil
	var isComplete bool
	switch s.Kind {
	case SetRules:
		isComplete = hasOnlyRules
	case Locate, Widen, Narrow, Forget:
		isComplete = hasOnlyLocation
	case Add:
		isComplete = hasOnlyHost && s.Before == nil
	case Raise, Lower, Drain, Remove:
		isComplete = hasOnlyHost && s.Before != nil && s.Before.Name == s.Host.Name
	default:
		return fmt.Errorf("unknown kind %q", s.Kind)
	}
	if !isComplete {
		return fmt.Errorf("step of kind %q must set exactly the fields of its kind", s.Kind)
	}
	return nil
}
