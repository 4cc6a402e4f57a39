package claims

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Messages travel in the caches' form, as arrays of bulk strings: a head of numbers, then claims, a line each, parted into
// bulk strings of a bounded size. Words are parted by blanks, so that none may hold one.

// MaxBulks is how many bulk strings of claims a message has at most; with so many bytes in each it holds a slot of some
// ten thousand claims.
const MaxBulks = 6

var errMessage = errors.New("claims: malformed message")

// Head writes what a message is, without its claims.
func (m Message) Head() []byte {
	moves := 0
	if m.Moves {
		moves = 1
	}
	return fmt.Appendf(nil, "%d %d %d %d %d %d", m.Kind, m.Seq, m.Epoch, m.Shard, m.Verdict, moves)
}

// Bulks writes the claims of a message, each part no longer than most bytes. An error means that they do not fit.
func (m Message) Bulks(most int) (bulks [][]byte, err error) {
	var b []byte
	for _, c := range m.Claims {
		at := len(b)
		b = fmt.Appendf(b, "%s %x %s %s %s %d %d %d %d\n", orNone(c.Token), c.Object, orNone(c.Group), orNone(c.Owner), orNone(c.Request),
			c.Version, c.Seq, c.Window.Microseconds(), c.At.Microseconds())
		if len(b) > most {
			bulks = append(bulks, bytes.Clone(b[:at]))
			b = append(b[:0], b[at:]...)
		}
	}
	if len(b) > 0 {
		bulks = append(bulks, b)
	}
	if len(bulks) > MaxBulks {
		return nil, fmt.Errorf("claims: %d claims of one slot do not fit a message", len(m.Claims))
	}
	return bulks, nil
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Decode reads a message from its head and its bulks.
func Decode(head []byte, bulks [][]byte) (m Message, err error) {
	words := bytes.Fields(head)
	if len(words) != 6 {
		return m, errMessage
	}
	var n [6]int64
	for i, w := range words {
		if n[i], err = strconv.ParseInt(string(w), 10, 64); err != nil || n[i] < 0 {
			return m, errMessage
		}
	}
	if n[0] > int64(Closed) || n[4] > int64(Unreached) {
		return m, errMessage
	}
	m = Message{Kind: Kind(n[0]), Seq: uint64(n[1]), Epoch: n[2], Shard: int(n[3]), Verdict: Verdict(n[4]), Moves: n[5] == 1}
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

func decodeClaim(line []byte) (c Claim, err error) {
	w := bytes.Fields(line)
	if len(w) != 9 {
		return c, errMessage
	}
	text := func(b []byte) string {
		if string(b) == "-" {
			return ""
		}
		return string(b)
	}
	c = Claim{Token: text(w[0]), Group: text(w[2]), Owner: text(w[3]), Request: text(w[4])}
	if c.Object, err = strconv.ParseUint(string(w[1]), 16, 64); err != nil {
		return c, errMessage
	}
	var n [4]uint64
	for i, b := range w[5:] {
		if n[i], err = strconv.ParseUint(string(b), 10, 62); err != nil {
			return c, errMessage
		}
	}
	const longest = uint64(1 << 53) // microseconds
	if n[0] > 1<<32-1 || n[2] > longest || n[3] > longest {
		return c, errMessage
	}
	c.Version, c.Seq = uint32(n[0]), n[1]
	c.Window, c.At = time.Duration(n[2])*time.Microsecond, time.Duration(n[3])*time.Microsecond
	return c, nil
}
