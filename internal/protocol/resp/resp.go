// Package resp parses and encodes the messages of caches: RESP arrays of bulk strings. It does no I/O; what it parses are
// slices of the caller's buffer.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits of a message.
const (
	MaxBulk  = 240_000 // bytes of a bulk string
	maxWords = 8       // bulk strings of an array
	maxLine  = 16      // bytes of a line with a count
)

var (
	errBulkLength   = errors.New("resp: bulk string is not as long as it says")
	errEndlessCount = errors.New("resp: count without an end")
)

// Words is the bulk strings of a message.
type Words [][]byte

// Parse reads an array from the start of b; words is reused. used is 0 while the array is incomplete; then need is how
// many bytes must be there before it can be complete.
func Parse(b []byte, words Words) (w Words, used, need int, err error) {
	words = words[:0]
	count, at, need, err := parseCount(b, 0, '*', maxWords)
	if err != nil || need > 0 {
		return words, 0, need, err
	}
	for range count {
		size, body, need, err := parseCount(b, at, '$', MaxBulk)
		if err != nil || need > 0 {
			return words, 0, need, err
		}
		end := body + size
		if len(b) < end+2 {
			return words, 0, end + 2, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return words, 0, 0, errBulkLength
		}
		words = append(words, b[body:end:end])
		at = end + 2
	}
	return words, at, 0, nil
}

// parseCount reads a line at an offset: a mark and a count.
func parseCount(b []byte, from int, mark byte, limit int) (n, next, need int, err error) {
	if len(b) <= from {
		return 0, 0, from + 1, nil
	}
	if b[from] != mark {
		return 0, 0, 0, fmt.Errorf("resp: %q where %q must stand", b[from], mark)
	}
	line := b[from:min(len(b), from+maxLine)]
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		if len(line) == maxLine {
			return 0, 0, 0, errEndlessCount
		}
		return 0, 0, len(b) + 1, nil
	}
	digits, ended := bytes.CutSuffix(line[1:end], []byte{'\r'})
	if !ended || len(digits) == 0 {
		return 0, 0, 0, fmt.Errorf("resp: bad count %q", line[:end])
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, 0, 0, fmt.Errorf("resp: bad count %q", digits)
		}
		n = n*10 + int(d-'0') // maxLine keeps it in range
	}
	if n > limit {
		return 0, 0, 0, fmt.Errorf("resp: count %d, more than %d", n, limit)
	}
	return n, from + end + 1, 0, nil
}

// None is the value of an empty list of fields.
const None = "-"

// Fields calls f for each field of name=value,name=value, until one is malformed or f returns an error.
func Fields(b []byte, f func(name, value []byte) error) error {
	if len(b) == 0 || string(b) == None {
		return nil
	}
	for pair := range bytes.SplitSeq(b, []byte{','}) {
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found || len(name) == 0 {
			return fmt.Errorf("resp: %q is no name=value", pair)
		}
		if err := f(name, value); err != nil {
			return err
		}
	}
	return nil
}

// AppendHead appends the start of an array of n bulk strings.
func AppendHead(b []byte, n int) []byte { return appendCount(b, '*', n) }

// AppendBulk appends one bulk string.
func AppendBulk[T string | []byte](b []byte, v T) []byte {
	b = appendCount(b, '$', len(v))
	b = append(b, v...)
	return append(b, '\r', '\n')
}

// AppendField appends a field to a list of fields that starts at an offset of b.
func AppendField[T string | []byte](b []byte, start int, name string, value T) []byte {
	if len(b) > start {
		b = append(b, ',')
	}
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

func appendCount(b []byte, mark byte, n int) []byte {
	b = append(b, mark)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, '\r', '\n')
}
