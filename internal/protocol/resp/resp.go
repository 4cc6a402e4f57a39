// Package resp parses and encodes the messages exchanged with caches: RESP arrays of bulk strings. It does no I/O. Parsed
// values are slices of the caller's buffer.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits of a message.
const (
	MaxBulk     = 240_000 // bytes in a bulk string
	maxElements = 8       // bulk strings in an array
	maxLine     = 16      // bytes in a line with a count, including its prefix and line end
)

// ArrayPrefix is the first byte of every message.
const ArrayPrefix = '*'

var (
	errBulkLength        = errors.New("resp: bulk string does not end at its declared length")
	errUnterminatedCount = errors.New("resp: count is not terminated")
)

// Words holds the bulk strings of a message.
type Words [][]byte

// Parse parses an array at the start of b and returns its bulk strings, for which it reuses words, and the number of bytes
// that it used. If the array is incomplete, used is 0 and need is the minimum length of b at which it can be complete.
func Parse(b []byte, words Words) (w Words, used, need int, err error) {
	words = words[:0]
	count, at, need, err := parseCount(b, 0, ArrayPrefix, maxElements)
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

// parseCount parses a line at an offset that consists of a prefix and a count of at most limit. It returns the count and
// the offset after the line; or, if the line is incomplete, the minimum length of b at which it can be complete.
func parseCount(b []byte, offset int, prefix byte, limit int) (n, next, need int, err error) {
	if len(b) <= offset {
		return 0, 0, offset + 1, nil
	}
	if b[offset] != prefix {
		return 0, 0, 0, fmt.Errorf("resp: got %q, want %q", b[offset], prefix)
	}
	line := b[offset:min(len(b), offset+maxLine)]
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		if len(line) == maxLine {
			return 0, 0, 0, errUnterminatedCount
		}
		return 0, 0, len(b) + 1, nil
	}
	digits, ended := bytes.CutSuffix(line[1:end], []byte{'\r'})
	if !ended || len(digits) == 0 {
		return 0, 0, 0, fmt.Errorf("resp: invalid count line %q", line[:end])
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, 0, 0, fmt.Errorf("resp: invalid count %q", digits)
		}
		n = n*10 + int(d-'0') // can't overflow: maxLine limits the digits
	}
	if n > limit {
		return 0, 0, 0, fmt.Errorf("resp: count %d exceeds the limit of %d", n, limit)
	}
	return n, offset + end + 1, 0, nil
}

// None is the encoding of an empty list of fields.
const None = "-"

// Fields parses a list of fields in the form name=value,name=value and calls f for each of them. It stops at a malformed
// field or at the first error of f, and returns that error.
func Fields(b []byte, f func(name, value []byte) error) error {
	if len(b) == 0 || string(b) == None {
		return nil
	}
	for pair := range bytes.SplitSeq(b, []byte{','}) {
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found || len(name) == 0 {
			return fmt.Errorf("resp: field %q is not of the form name=value", pair)
		}
		if err := f(name, value); err != nil {
			return err
		}
	}
	return nil
}

// AppendHead appends the header of an array of n bulk strings.
func AppendHead(b []byte, n int) []byte { return appendCount(b, ArrayPrefix, n) }

// AppendBulk appends one bulk string.
func AppendBulk[T string | []byte](b []byte, v T) []byte {
	b = appendCount(b, '$', len(v))
	b = append(b, v...)
	return append(b, '\r', '\n')
}

// AppendField appends a field to the list of fields that starts at offset start of b.
func AppendField[T string | []byte](b []byte, start int, name string, value T) []byte {
	if len(b) > start {
		b = append(b, ',')
	}
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

func appendCount(b []byte, prefix byte, n int) []byte {
	b = append(b, prefix)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, '\r', '\n')
}
