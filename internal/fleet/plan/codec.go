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
//	LENGTH bytes of CBOR in its deterministic encoding
//
// Programs of any version can read the line, which tells them whether they can read the rest. The hash is that of the rest, and names the
// plan.

const (
	// Version of the plan file that this program writes, and the only one that it reads.
	Version = 1
	// MaxBytes is the length of the longest plan file, in bytes.
	MaxBytes = 256 << 20

	magic        = "stairvane-plan"
	maxFirstLine = 128 // bytes
)

var (
	// ErrNewer is the error for a plan file of a version that this program does not know.
	ErrNewer = errors.New("the plan file is of a newer version")
	// ErrDamaged is the error for a plan file that is not as it was written.
	ErrDamaged = errors.New("the plan file is damaged")
)

// Encode makes the bytes of a plan file. Equal plans have equal bytes.
func Encode(p *Plan) ([]byte, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	return frame(body), nil
}

// frame puts the first line before an encoded plan.
func frame(body []byte) []byte {
	firstLine := fmt.Appendf(nil, "%s %d %d %x\n", magic, Version, len(body), blake3.Sum256(body))
	return append(firstLine, body...)
}

// Sum names a plan: the hash in its file, in hex.
func Sum(p *Plan) (string, error) {
	body, err := fleet.Encode(p)
	if err != nil {
		return "", fmt.Errorf("encode plan: %w", err)
	}
	return fmt.Sprintf("%x", blake3.Sum256(body)), nil
}

// strict decodes plans within limits, and rejects unknown fields and keys that occur twice.
var strict = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:   16,
		MaxArrayElements:  16 << 20,
		MaxMapPairs:       1 << 16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// Decode reads a plan file. Errors wrap ErrDamaged or ErrNewer.
func Decode(b []byte) (*Plan, error) {
	body, err := unframe(b)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := strict.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	// A plan with another encoding would be one plan under two names.
	again, err := fleet.Encode(&p)
	if err != nil || !bytes.Equal(again, body) {
		return nil, fmt.Errorf("%w: it is not in the one encoding", ErrDamaged)
	}
	return &p, nil
}

// unframe checks the first line of a plan file, and gives the rest.
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
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, version, Version)
	}
	if n, err := fmt.Sscanf(firstLine, magic+" %d %d %s", &version, &length, &sum); n != 3 || err != nil || version != Version {
		return nil, fmt.Errorf("%w: its first line can't be read", ErrDamaged)
	}
	if len(body) != length {
		return nil, fmt.Errorf("%w: %d bytes, not %d", ErrDamaged, len(body), length)
	}
	if is := fmt.Sprintf("%x", blake3.Sum256(body)); is != sum {
		return nil, fmt.Errorf("%w: its checksum is %s, not %s", ErrDamaged, is, sum)
	}
	return body, nil
}

// check checks the form of a plan, so that those who apply it may rely on it.
func (p *Plan) check() error {
	for i, s := range p.Steps {
		if s.ID != i+1 {
			return fmt.Errorf("step %d stands at place %d", s.ID, i+1)
		}
		for _, need := range s.After {
			if need < 1 || need >= s.ID {
				return fmt.Errorf("step %d comes after step %d", s.ID, need)
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

// check checks that a step has what its kind needs, and nothing else.
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
		return fmt.Errorf("a step %q lacks what it changes, or changes more", s.Kind)
	}
	return nil
}
