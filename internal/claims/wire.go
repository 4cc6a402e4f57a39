package claims

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// A message is encoded as an array of bulk strings, like the commands of caches: a head of numbers, followed by the claims, one per
// line, in bulk strings of a bounded size. Fields are separated by spaces, so no field may contain one.

// MaxBulks is the maximum number of bulk strings of claims in a message. A shard of about ten thousand claims fits.
const MaxBulks = 6

// errMalformed is returned by Decode if a message cannot be parsed.
var errMalformed = errors.New("claims: malformed message")

// Numbers of fields in the encoding, and bounds of encoded values.
const (
	headFields  = 6
	claimFields = 9
	maxMicros   = uint64(1 << 53) // upper bound of a window or an age
)

// Head returns the encoding of a message without its claims.
func (m Message) Head() []byte {
	mayMove := 0
	if m.MayMove {
		mayMove = 1
	}
	return fmt.Appendf(nil, "%d %d %d %d %d %d", m.Kind, m.Seq, m.Epoch, m.Shard, m.Verdict, mayMove)
}

// Bulks returns the encoding of the claims of a message as bulk strings of at most maxBytes. It returns an error if they need more
// than MaxBulks bulk strings.
func (m Message) Bulks(maxBytes int) (bulks [][]byte, err error) {
	var b []byte
	for _, c := range m.Claims {
		at := len(b)
		b = fmt.Appendf(b, "%s %x %s %s %s %d %d %d %d\n",
			encodeText(c.Token), c.Object, encodeText(c.Group), encodeText(c.Owner), encodeText(c.Request),
			c.Version, c.Seq, c.Window.Microseconds(), c.At.Microseconds())
		if len(b) > maxBytes {
			bulks = append(bulks, bytes.Clone(b[:at]))
			b = append(b[:0], b[at:]...)
		}
	}
	if len(b) > 0 {
		bulks = append(bulks, b)
	}
	if len(bulks) > MaxBulks {
		return nil, fmt.Errorf("claims: %d claims of one shard exceed the maximum size of a message", len(m.Claims))
	}
	return bulks, nil
}

// encodeText returns the encoding of a text field; an empty one is encoded as "-".
func encodeText(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Decode decodes a message from its head and bulk strings. It returns errMalformed if they cannot be parsed.
func Decode(head []byte, bulks [][]byte) (m Message, err error) {
	fields := bytes.Fields(head)
	if len(fields) != headFields {
		return m, errMalformed
	}
	var n [headFields]int64
	for i, w := range fields {
		if n[i], err = strconv.ParseInt(string(w), 10, 64); err != nil || n[i] < 0 {
			return m, errMalformed
		}
	}
	if n[0] > int64(EpochClosed) || n[4] > int64(Unreachable) {
		return m, errMalformed
	}
	m = Message{
		Kind:    Kind(n[0]),
		Seq:     uint64(n[1]),
		Epoch:   n[2],
		Shard:   int(n[3]),
		Verdict: Verdict(n[4]),
		MayMove: n[5] == 1,
	}
	for _, b := range bulks {
		for line := range bytes.Lines(b) {
			c, err := decodeClaim(line)
			if err != nil {
				return m, err
			}
			m.Claims = append(m.Claims, c)
		}
	}
	return m, nil
}

// decodeClaim decodes a claim from a line of a bulk string.
func decodeClaim(line []byte) (c Claim, err error) {
	fields := bytes.Fields(line)
	if len(fields) != claimFields {
		return c, errMalformed
	}
	decodeText := func(b []byte) string {
		if string(b) == "-" {
			return ""
		}
		return string(b)
	}
	c = Claim{Token: decodeText(fields[0]), Group: decodeText(fields[2]), Owner: decodeText(fields[3]), Request: decodeText(fields[4])}
	if c.Object, err = strconv.ParseUint(string(fields[1]), 16, 64); err != nil {
		return c, errMalformed
	}
	var n [4]uint64
	for i, b := range fields[5:] {
		if n[i], err = strconv.ParseUint(string(b), 10, 62); err != nil {
			return c, errMalformed
		}
	}
	if n[0] > math.MaxUint32 || n[2] > maxMicros || n[3] > maxMicros {
		return c, errMalformed
	}
	c.Version = uint32(n[0])
	c.Seq = n[1]
	c.Window = time.Duration(n[2]) * time.Microsecond
	c.At = time.Duration(n[3]) * time.Microsecond
	return c, nil
}
